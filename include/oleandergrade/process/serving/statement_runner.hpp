/// Runs the statements of callers' sessions at targets, with retries.
#pragma once

#include <oleandergrade/connection/caller_session.hpp>
#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/process/configuration/active_configuration.hpp>
#include <oleandergrade/process/forwarding/statement_forwarder.hpp>
#include <oleandergrade/process/limits/operation_limiter.hpp>
#include <oleandergrade/process/serving/attempt_policy.hpp>
#include <oleandergrade/process/serving/byte_quota.hpp>
#include <oleandergrade/process/serving/serving_metrics.hpp>
#include <oleandergrade/process/serving/target_pool.hpp>
#include <oleandergrade/process/stop_schedule.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace oleandergrade
{

/// An open transaction that another VM runs.
struct forwarded_transaction
{
    /// Peer address of the VM.
    std::string address;
    /// Identifies the transaction at that VM.
    forwarded_session_id id;
};

/// A caller's session and the target session that its open transaction uses, if
/// any.
struct served_session
{
    /// The database name that the caller opened the session with; selects the
    /// route.
    std::string database;
    /// The caller's key; selects the client account. Empty if none was given.
    std::string key;
    /// Values, prepared statements, transaction state and log position.
    caller_session caller_state;
    /// What the session takes of the memory that the VM has for all of them.
    byte_reservation held_bytes;
    /// The session at a target that the open transaction is bound to. Set from
    /// the transaction's first statement until it ends.
    std::optional<placement> pinned_placement;
    /// Set instead of `pinned_placement` while another VM runs the open
    /// transaction.
    std::optional<forwarded_transaction> forwarded;
    /// The open transaction occupies a session at a target, here or at another
    /// VM.
    bool occupies_target() const { return pinned_placement || forwarded; }
    /// A statement or the rollback of the transaction is under way. Nothing
    /// else uses or releases the session at the target until it has ended.
    bool is_in_use = false;
    /// A write of the open transaction has been sent to the target.
    bool has_written = false;
    /// The route and the account under which the open transaction began; both
    /// stay in force until it ends.
    route transaction_route;
    std::string transaction_account;
};

/// The outcome of a statement, for metrics and logs.
struct statement_outcome
{
    session_error failure = session_error::none;
    /// Why the statement failed, or why an earlier attempt of it failed.
    std::string reason;
    /// Identifier of the target of the last attempt; empty if there was none.
    std::string target;
    /// Number of times that a session at a target was obtained.
    unsigned attempts = 0;
    /// Time after which the caller should retry; zero if there is no estimate.
    milliseconds retry_after{0};
    /// Peer address of the VM that the statement was last forwarded to; empty
    /// if it was not forwarded.
    std::string forwarded_to = {};
};

/// The encoded answer to a statement, and its outcome.
struct statement_reply
{
    std::string bytes;
    statement_outcome outcome;
};

/// Runs statements at the targets that the route, the session's position and
/// the state of the group allow. Answers are complete: the bytes that are
/// returned are written to the caller in one piece.
///
/// A statement that was never sent, or that a target rejected with an error
/// which guarantees that it had no effect, is retried until its deadline. A
/// read is also retried after it may have run. A write whose answer is lost is
/// never retried; its outcome is reported as unknown.
class statement_runner
{
public:
    /// The references must outlive the object.
    statement_runner(const session_codec& codec,
                     active_configuration& configuration, serving_view& view,
                     target_pool& pool, operation_limiter& limiter,
                     serving_metrics& metrics);

    /// Checks the database and the key of a new session. Returns `none` if the
    /// database has a route and the key an account (or the route needs no key),
    /// `malformed` if a key that is not needed is too long to be kept, `busy`
    /// if there is no configuration yet.
    session_error check_opening(const session_opening& opening) const;

    /// Borrows an operation for an account from another VM. Called
    /// when the account's share at this VM is used up; if not set, nothing is
    /// borrowed.
    std::function<boost::asio::awaitable<admission>(std::string account)>
        borrow_operation;

    /// The VM is stopping: limits the statements from now on to what can be
    /// answered in time.
    void set_stop_schedule(const stop_schedule& schedule)
    {
        stop_schedule_ = schedule;
    }

    /// Limits what the values and prepared statements of all callers take,
    /// those included whose statements are run for other VMs.
    void set_max_held_bytes(std::size_t bytes) { held_bytes_->limit = bytes; }

    bool is_stopping() const { return stop_schedule_.has_value(); }

    /// Statements are forwarded as this object chooses from now on. It must
    /// outlive the runner. Without one, all statements run at this VM.
    void set_forwarder(statement_forwarder& forwarder)
    {
        forwarder_ = &forwarder;
    }
    /// Runs a statement of another VM's caller. `session` keeps the state of
    /// its transaction. The statement is not forwarded again and its account's
    /// rate is not checked. Statements of one session must not overlap.
    boost::asio::awaitable<forwarded_answer>
    run_forwarded(served_session& session, const forwarded_statement& message);
    /// Appends the encoded answer to a statement that failed.
    void append_failure(std::string& out, session_error code,
                        const std::string& reason) const
    {
        codec_.append_failure(out, code, reason);
    }

    /// Runs one statement of a session and returns the answer for the caller.
    /// Statements of one session must not overlap.
    boost::asio::awaitable<statement_reply> run(served_session& session,
                                                const session_statement& call);

    /// Rolls back the open transaction, if any, and releases its target
    /// session. Nothing is sent to the caller.
    boost::asio::awaitable<void> abandon_transaction(served_session& session);
    /// Rolls back the open transaction, if any, by closing its target session,
    /// and marks it as failed, so that the caller's next statement of it fails.
    /// One that has failed already gives its target session back as well. Does
    /// nothing while a statement or a rollback of it is under way.
    void fail_transaction(served_session& session);

private:
    struct run_state;

    /// Whether another VM may run the statement: it came from a caller of this
    /// VM, and does not belong to a transaction that this VM runs.
    bool may_be_forwarded(const run_state& run) const;
    forwarded_statement make_forwarded_statement(const run_state& run) const;
    /// Answers the statement with the answer of the VM at `address`.
    void apply_forwarded_answer(run_state& run, const std::string& address,
                                const forwarded_answer& answer);
    /// Has another VM run the statement, if one holds the account's sessions.
    /// Returns false if this VM is to run it.
    boost::asio::awaitable<bool> forward_outside_transaction(run_state& run);
    /// Does the same for a statement or the commit of a transaction.
    boost::asio::awaitable<bool> forward_in_transaction(run_state& run);
    /// Has the other VM roll back the open transaction that it runs.
    boost::asio::awaitable<void> roll_back_forwarded(served_session& session);
    /// Runs a statement outside a transaction, with retries.
    boost::asio::awaitable<void> run_outside_transaction(run_state& run);
    /// Runs a statement of the open transaction. It is never retried.
    boost::asio::awaitable<void> run_in_transaction(run_state& run);
    /// Commits the open transaction.
    boost::asio::awaitable<void> commit(run_state& run);
    /// Binds the open transaction to a session at a target. On failure the
    /// statement is answered and the transaction marked as failed.
    boost::asio::awaitable<void> pin_transaction(run_state& run);
    /// Sends the session's values, the prepared statement and, if
    /// `begins_transaction` is set, the beginning of the transaction to the
    /// target, as far as the target session lacks them. Returns false if the
    /// target rejected one of them or the connection broke.
    boost::asio::awaitable<bool> prepare_session(run_state& run,
                                                 placement& target_placement,
                                                 bool begins_transaction);
    /// Waits for a session at a target. On failure it answers the statement and
    /// returns false.
    boost::asio::awaitable<bool>
    acquire_placement(run_state& run,
                      std::optional<placement>& target_placement);
    /// Handles the target's answer to a statement outside a transaction.
    void handle_answer(run_state& run, placement& target_placement,
                       const target_answer& answer, time_point sent_at);
    /// Runs a statement that needs no target, such as setting a value.
    void apply_session_statement(run_state& run);
    /// Begins a transaction at this VM; nothing is sent to a target yet.
    boost::asio::awaitable<void> begin(run_state& run);
    /// Answers the statement with an error and ends its transaction if the VM
    /// stops too soon for it.
    void refuse_while_stopping(run_state& run);
    /// Answers the first statement after the VM has ended the caller's
    /// transaction.
    void report_failed_transaction(run_state& run);
    /// Answers the statement and returns true if it needs a primary that is
    /// being replaced for too long.
    bool refuse_without_primary(run_state& run, bool needs_primary);
    /// Until when the statement may wait for a new primary.
    static time_point primary_deadline_of(const run_state& run);
    /// Applies the account's rate limit. If the operation is over the limit, or
    /// its primary is being replaced, it answers the statement and returns
    /// false.
    boost::asio::awaitable<bool> admit(run_state& run, bool needs_primary);
    /// Sends a statement of the caller to a target.
    static boost::asio::awaitable<result<std::vector<target_answer>>>
    exchange(run_state& run, target_session& session, std::string bytes);
    /// Sends the statement to another VM.
    boost::asio::awaitable<forwarding_outcome>
    forward(run_state& run, const std::string& address,
            forwarded_statement message);
    /// Records which stage made an answer later than the route's objective.
    void explain_latency(const run_state& run, duration latency);
    /// Determines the route and the account. If one is missing, it answers the
    /// statement and returns false.
    bool resolve_route_and_account(run_state& run);
    /// Records the log position that a primary reported with its answer.
    void record_position(const placement& target_placement,
                         const target_answer& answer, time_point sent_at);
    /// Records how far a replica was when it answered.
    void record_replica_position(const placement& target_placement,
                                 const target_answer& answer);
    /// Answers the statement with an error.
    void fail(run_state& run, session_error code, const std::string& reason,
              milliseconds retry_after = milliseconds(0));
    /// Forwards the target's answer to the caller.
    void forward_answer(run_state& run, const target_answer& answer);
    /// Completes the encoded answer and records metrics; logs a failed
    /// statement.
    void finish(run_state& run);
    /// Whether the number of attempts and the deadline allow another attempt.
    bool can_retry(const run_state& run) const;
    attempt_facts make_attempt_facts(const run_state& run,
                                     bool primary_remained_usable) const;
    /// Does what fail_transaction() does, also during a statement.
    void close_transaction(served_session& session);
    /// Gives back the session that the open transaction was bound to, if any,
    /// or has the other VM that runs the transaction roll it back.
    void release_pinned_session(served_session& session);
    placement_request make_placement_request(const run_state& run) const;
    /// Number of bytes of the line with which a statement is sent, without its
    /// line end.
    std::size_t line_size(const std::string& id, const std::string& text,
                          const std::optional<log_position>& minimum) const;
    /// If the line is too long for a target, answers the caller's statement
    /// with an error that says how long which `kind` of line is, and returns
    /// true.
    bool refuse_long_line(run_state& run, const char* kind,
                          const std::string& id, const std::string& text);
    /// Does the same for the line that prepares a statement at a target.
    bool refuse_long_preparation(run_state& run,
                                 const prepared_statement& prepared);
    /// Does the same for all lines that a statement needs, and then marks its
    /// open transaction as failed. Determines whether the statement's line has
    /// room for a position.
    bool refuse_long_statement(run_state& run);
    /// Answers a statement of another VM's caller with an error if its session
    /// holds too much.
    void refuse_large_session(run_state& run, bool is_within_session_limits);
    /// Logs what is sent to a target for the caller's statement, and counts it
    /// if it differs from what was received.
    void trace_text(const run_state& run, const std::string& sent_text);
    /// Returns the text that is sent to targets for the caller's statement.
    std::string text_at_target(const run_state& run) const;
    /// Encodes the statement for the target. `minimum` is the position that the
    /// target's log must have reached.
    std::string encode_statement(const run_state& run,
                                 const std::optional<log_position>& minimum);

    const session_codec& codec_;
    active_configuration& configuration_;
    serving_view& view_;
    target_pool& pool_;
    operation_limiter& limiter_;
    serving_metrics& metrics_;
    /// Shared by all sessions. Unlimited unless set.
    std::shared_ptr<byte_quota> held_bytes_ = std::make_shared<byte_quota>(
        byte_quota{.limit = std::numeric_limits<std::size_t>::max()});
    /// Set once the VM is stopping.
    std::optional<stop_schedule> stop_schedule_;
    /// Null if statements are not forwarded.
    statement_forwarder* forwarder_ = nullptr;
};

} // namespace oleandergrade
