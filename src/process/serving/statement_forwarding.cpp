// The functions of statement_runner that have other VMs run statements, and
// that run the statements of other VMs.
#include "statement_run_state.hpp"

#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/serving/statement_text_trace.hpp>

#include <utility>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// Maximum number of VMs that a statement is sent to, one after another: the
/// holder and its standby.
constexpr unsigned max_hops = 2;
/// Longest wait for the rollback at the holder that a caller has requested.
constexpr auto forwarded_rollback_timeout = milliseconds(500);

/// Stores the state of a caller's session as its entry VM has described it.
/// Returns false if it is more than a session may hold; something is missing
/// then.
bool restore_caller_session(const forwarded_statement& message,
                            caller_session& state)
{
    state = {};
    bool is_complete = true;
    session_statement statement;
    statement.verb = session_verb::set_value;
    for (const auto& [name, value] : message.session_values)
    {
        statement.name = name;
        statement.data = value;
        is_complete =
            is_complete && state.apply(statement) == session_error::none;
    }
    if (message.prepared)
    {
        statement = {};
        statement.verb = session_verb::prepare;
        statement.name = message.statement.name;
        statement.item_or_shape = message.prepared->shape;
        statement.prepares_write = message.prepared->writes;
        is_complete =
            is_complete && state.apply(statement) == session_error::none;
    }
    if (message.session_position)
        state.record_commit(*message.session_position);
    if (message.in_transaction)
        state.begin_transaction(message.is_read_only);
    return is_complete;
}

} // namespace

bool statement_runner::may_be_forwarded(const run_state& run) const
{
    return forwarder_ != nullptr && !run.is_from_other_vm &&
           !run.session.pinned_placement;
}

forwarded_statement
statement_runner::make_forwarded_statement(const run_state& run) const
{
    const auto& state = run.session.caller_state;
    forwarded_statement message;
    message.statement = run.call;
    if (run.prepared != nullptr)
        message.prepared = *run.prepared;
    message.session_values = state.values();
    message.account = run.account;
    message.matched_route = *run.matched_route;
    message.time_spent = std::chrono::duration_cast<milliseconds>(
        current_time() - run.arrived_at);
    message.session_position = state.last_commit_position();
    message.in_transaction = state.transaction() == transaction_state::open;
    message.is_read_only = state.is_transaction_read_only();
    return message;
}

void statement_runner::apply_forwarded_answer(run_state& run,
                                              const std::string& address,
                                              const forwarded_answer& answer)
{
    run.answered = true;
    run.outcome.failure = answer.failure;
    run.outcome.reason = answer.reason;
    run.outcome.target = answer.target;
    run.outcome.attempts += answer.attempts;
    run.outcome.retry_after = answer.retry_after;
    run.outcome.forwarded_to = address;
    run.reply.append(answer.answer);
    if (answer.commit_position)
        run.session.caller_state.record_commit(*answer.commit_position);
}

asio::awaitable<forwarding_outcome>
statement_runner::forward(run_state& run, const std::string& address,
                          forwarded_statement message)
{
    const stage_stopwatch stopwatch(run.stages, statement_stage::forwarding);
    trace_forwarded_text(run.call.id, address,
                         run.prepared == nullptr
                             ? run.call.text
                             : codec_.rename_prepared(run.call.text, ""));
    co_return co_await forwarder_->forward(address, std::move(message),
                                           run.deadline);
}

// A statement is sent to another VM again only if it has certainly not run, or
// if it is a read.
asio::awaitable<bool>
statement_runner::forward_outside_transaction(run_state& run)
{
    if (!may_be_forwarded(run))
        co_return false;
    for (unsigned hop = 0; hop < max_hops; ++hop)
    {
        const auto destination =
            forwarder_->choose(run.matched_route->group, run.account);
        if (destination.address.empty() ||
            current_time() + min_exchange_timeout >= run.deadline)
            co_return false;
        auto message = make_forwarded_statement(run);
        message.session = forwarder_->make_session_id();
        const auto outcome =
            co_await forward(run, destination.address, std::move(message));
        run.outcome.forwarded_to = destination.address;
        if (outcome.result == forwarding_result::answered)
        {
            apply_forwarded_answer(run, destination.address, outcome.answer);
            co_return true;
        }
        run.outcome.reason = outcome.reason;
        if (outcome.result == forwarding_result::lost)
        {
            if (run.writes)
            {
                fail(run, session_error::in_doubt, outcome.reason);
                co_return true;
            }
            if (current_time() + min_exchange_timeout >= run.deadline)
            {
                fail(run, session_error::timeout, outcome.reason);
                co_return true;
            }
        }
        metrics_.record_retry();
    }
    co_return false;
}

asio::awaitable<bool> statement_runner::forward_in_transaction(run_state& run)
{
    if (!may_be_forwarded(run))
        co_return false;
    auto& session = run.session;
    const bool begins = !session.forwarded;
    const bool commits = run.call.verb == session_verb::commit;
    forwarding_outcome outcome;
    forwarded_transaction transaction;
    for (unsigned hop = 0; hop < max_hops; ++hop)
    {
        if (begins)
        {
            const auto destination =
                forwarder_->choose(run.matched_route->group, run.account);
            if (destination.address.empty() ||
                current_time() + min_exchange_timeout >= run.deadline)
                co_return false;
            transaction = {destination.address, forwarder_->make_session_id()};
        }
        else
        {
            transaction = *session.forwarded;
        }
        auto message = make_forwarded_statement(run);
        message.session = transaction.id;
        message.begins_transaction = begins;
        outcome =
            co_await forward(run, transaction.address, std::move(message));
        run.outcome.forwarded_to = transaction.address;
        if (!begins || outcome.result != forwarding_result::not_run)
            break;
        run.outcome.reason = outcome.reason;
        metrics_.record_retry();
    }
    if (begins && outcome.result == forwarding_result::not_run)
        co_return false;
    session.has_written = session.has_written || run.writes;
    if (outcome.result != forwarding_result::answered)
    {
        // The holder may still have the transaction open.
        session.forwarded = std::move(transaction);
        release_pinned_session(session);
        if (commits)
            session.caller_state.end_transaction();
        else
            session.caller_state.fail_transaction();
        const bool may_be_committed = commits && session.has_written &&
                                      outcome.result == forwarding_result::lost;
        fail(run,
             may_be_committed ? session_error::in_doubt
                              : session_error::aborted,
             outcome.reason);
        co_return true;
    }
    const auto& answer = outcome.answer;
    apply_forwarded_answer(run, transaction.address, answer);
    if (commits)
        session.caller_state.end_transaction();
    else if (answer.transaction != transaction_state::open)
        session.caller_state.fail_transaction();
    session.forwarded.reset();
    if (session.caller_state.transaction() == transaction_state::open)
        session.forwarded = std::move(transaction);
    co_return true;
}

asio::awaitable<void>
statement_runner::roll_back_forwarded(served_session& session)
{
    const auto transaction = *std::exchange(session.forwarded, std::nullopt);
    co_await forwarder_->end(transaction.address, transaction.id,
                             forwarded_rollback_timeout);
}

// The bytes stay reserved until the transaction ends, since the session at the
// target that it is bound to has a copy of the values.
void statement_runner::refuse_large_session(run_state& run,
                                            bool is_within_session_limits)
{
    auto& session = run.session;
    if (!is_within_session_limits)
        fail(run, session_error::malformed,
             "the session holds more than this VM allows");
    else if (!session.held_bytes.resize(held_bytes_,
                                        session.caller_state.bytes_held()))
        fail(run, session_error::busy,
             "this VM holds too many values and prepared statements",
             held_bytes_retry_after);
    if (run.answered)
        session.caller_state.fail_transaction();
}

asio::awaitable<forwarded_answer>
statement_runner::run_forwarded(served_session& session,
                                const forwarded_statement& message)
{
    run_state run(session, message.statement);
    run.is_from_other_vm = true;
    run.deadline = run.arrived_at + message.time_left;
    run.arrived_at -= message.time_spent;
    run.table = configuration_.current();
    run.matched_route = &message.matched_route;
    run.account = message.account;
    session.database = message.matched_route.database;
    const bool is_complete =
        restore_caller_session(message, session.caller_state);
    if (stop_schedule_)
        refuse_while_stopping(run);
    if (!run.answered)
        refuse_large_session(run, is_complete);
    if (!run.answered)
    {
        if (message.statement.verb == session_verb::commit)
            co_await commit(run);
        else if (message.in_transaction)
            co_await run_in_transaction(run);
        else
            co_await run_outside_transaction(run);
    }
    // Each statement brings them again.
    session.caller_state.forget_names();
    if (run.outcome.failure != session_error::none)
        log_event(event_level::warning, statement_part, "failed for another VM",
                  {{"request", run.call.id},
                   {"entry", message.session.vm},
                   {"outcome", to_string(run.outcome.failure)},
                   {"reason", run.outcome.reason},
                   {"account", run.account},
                   {"target", run.outcome.target},
                   {"attempts", run.outcome.attempts}});
    forwarded_answer answer;
    answer.accepted = true;
    answer.answer = std::move(run.reply);
    answer.failure = run.outcome.failure;
    answer.reason = std::move(run.outcome.reason);
    answer.target = std::move(run.outcome.target);
    answer.attempts = run.outcome.attempts;
    answer.retry_after = run.outcome.retry_after;
    answer.transaction = session.caller_state.transaction();
    const auto& position = session.caller_state.last_commit_position();
    if (position != message.session_position)
        answer.commit_position = position;
    co_return answer;
}

} // namespace oleandergrade
