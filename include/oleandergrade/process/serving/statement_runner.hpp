/// Runs the statements of callers' sessions at targets.
#pragma once

#include <oleandergrade/connection/caller_session.hpp>
#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/process/configuration/configuration_holder.hpp>
#include <oleandergrade/process/limits/operation_limiter.hpp>
#include <oleandergrade/process/serving/attempt_policy.hpp>
#include <oleandergrade/process/serving/serving_metrics.hpp>
#include <oleandergrade/process/serving/target_pool.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oleandergrade
{

/// One caller's session with what it holds at a target.
struct served_session
{
    std::string database;
    std::string key;
    caller_session agreed;
    /// The session at a target that an open transaction is bound to.
    std::optional<placement> pinned;
    /// A write of the open transaction was sent.
    bool has_written = false;
    /// The route under which the open transaction began, and its account.
    route transaction_route;
    std::string transaction_account;
};

/// How a statement went, for metrics and logs.
struct statement_outcome
{
    session_error failure = session_error::none;
    /// Why, and where: for the log line of a statement that failed.
    std::string reason;
    std::string target;
    unsigned attempts = 0;
    /// When to come back; zero if it is not known.
    milliseconds retry_after{0};
};

/// An encoded answer, and what it says.
struct statement_reply
{
    std::string bytes;
    statement_outcome outcome;
};

/// Answers are whole: what is returned is written to the caller in one piece.
///
/// A statement that was never sent, or that a target declined with a promise,
/// is tried elsewhere while its time lasts; a read also after it ran. A write
/// whose answer is lost is in doubt.
class statement_runner
{
public:
    statement_runner(const session_codec& codec,
                     configuration_holder& configuration, serving_view& view,
                     target_pool& pool, operation_limiter& limiter,
                     serving_metrics& measured);

    /// Checks the database and the key of a new session. Returns `none` if
    /// both are known.
    session_error check_opening(const session_opening& opening) const;

    /// Takes one operation of an account out of the fleet's reserve.
    std::function<boost::asio::awaitable<admission>(std::string account)>
        borrow;

    boost::asio::awaitable<statement_reply> run(served_session& session,
                                                const session_statement& call);

    /// Ends an open transaction without its caller; nothing of it is kept.
    boost::asio::awaitable<void> abandon(served_session& session);
    /// Rolls an open transaction back at its target and lets the caller find
    /// it failed. No statement of it may be under way.
    void fail_transaction(served_session& session);

private:
    struct run_state;

    boost::asio::awaitable<void> run_alone(run_state& run);
    boost::asio::awaitable<void> run_in_transaction(run_state& run);
    boost::asio::awaitable<void> commit(run_state& run);
    boost::asio::awaitable<void> pin(run_state& run);
    boost::asio::awaitable<bool> prepare_session(run_state& run,
                                                 placement& place, bool begins);
    boost::asio::awaitable<bool> find_place(run_state& run,
                                            std::optional<placement>& place);
    void answer_alone(run_state& run, placement& place,
                      const target_answer& answer, time_point sent_at);
    void apply_local(run_state& run);
    boost::asio::awaitable<void> begin(run_state& run);
    boost::asio::awaitable<bool> admit(run_state& run);
    bool find_route(run_state& run);
    void observe(const placement& place, const target_answer& answer,
                 time_point sent_at);
    void fail(run_state& run, session_error code, const std::string& reason,
              milliseconds retry_after = milliseconds(0));
    void pass_on(run_state& run, const target_answer& answer);
    void finish(run_state& run);
    bool can_retry(const run_state& run) const;
    attempt_facts facts_of(const run_state& run, bool authority_held) const;
    void release(served_session& session);
    placement_request request_for(const run_state& run) const;
    std::string statement_bytes(const run_state& run,
                                const std::optional<log_position>& minimum);
    std::string prepared_name(const prepared_statement& statement);

    const session_codec& codec_;
    configuration_holder& configuration_;
    serving_view& view_;
    target_pool& pool_;
    operation_limiter& limiter_;
    serving_metrics& measured_;
};

} // namespace oleandergrade
