// The functions of statement_runner that run transactions.
#include "statement_run_state.hpp"

namespace oleandergrade
{
namespace asio = boost::asio;

asio::awaitable<void> statement_runner::begin(run_state& run)
{
    auto& session = run.session;
    if (session.caller_state.transaction() != transaction_state::none)
        co_return fail(run, session_error::malformed,
                       "a transaction is open already");
    const bool is_read_only = run.call.verb == session_verb::begin_read_only;
    const bool is_admitted =
        co_await admit(run, !is_read_only || run.matched_route->consistency ==
                                                 read_consistency::current);
    if (!is_admitted)
        co_return;
    session.caller_state.begin_transaction(is_read_only);
    session.has_written = false;
    session.transaction_route = *run.matched_route;
    session.transaction_account = run.account;
    codec_.append_proxy_completion(run.reply);
}

// The transaction is begun at the target at this point, not when the caller
// sends its BEGIN.
asio::awaitable<void> statement_runner::pin_transaction(run_state& run)
{
    for (;;)
    {
        std::optional<placement> target_placement;
        const bool has_placement =
            co_await acquire_placement(run, target_placement);
        if (!has_placement)
        {
            run.session.caller_state.fail_transaction();
            co_return;
        }
        bool is_usable = !target_placement->is_primary ||
                         view_.authority.is_revision_usable(
                             run.matched_route->group,
                             target_placement->record_revision, current_time());
        if (is_usable)
            is_usable = co_await prepare_session(run, *target_placement, true);
        if (is_usable)
        {
            run.session.pinned_placement = std::move(target_placement);
            co_return;
        }
        pool_.release(target_placement->session);
        if (can_retry(run))
            continue;
        run.session.caller_state.fail_transaction();
        fail(run, session_error::busy, run.outcome.reason);
        co_return;
    }
}

asio::awaitable<void> statement_runner::run_in_transaction(run_state& run)
{
    auto& session = run.session;
    if (session.caller_state.transaction() == transaction_state::failed)
        co_return fail(run, session_error::malformed,
                       "the transaction has failed");
    if (run.call.verb == session_verb::execute)
    {
        run.prepared = session.caller_state.find_prepared(run.call.name);
        if (run.prepared == nullptr)
        {
            release_pinned_session(session);
            session.caller_state.fail_transaction();
            co_return fail(run, session_error::unknown_prepared,
                           "the name was not prepared");
        }
    }
    run.writes = run.prepared != nullptr ? run.prepared->writes
                                         : run.call.verb == session_verb::write;
    if (refuse_long_statement(run))
        co_return;
    const bool was_forwarded = co_await forward_in_transaction(run);
    if (was_forwarded)
        co_return;
    if (!session.pinned_placement)
        co_await pin_transaction(run);
    if (!session.pinned_placement)
        co_return;
    auto& target_placement = *session.pinned_placement;
    auto& acquired_session = *target_placement.session;
    run.outcome.target = acquired_session.key().target;
    const auto sent_at = current_time();
    const bool is_left =
        must_be_left(view_, acquired_session.key().target, sent_at);
    const bool is_usable =
        !is_left && (!target_placement.is_primary ||
                     view_.authority.is_revision_usable(
                         run.matched_route->group,
                         target_placement.record_revision, sent_at));
    bool is_prepared = false;
    if (is_usable)
        is_prepared = co_await prepare_session(run, target_placement, false);
    if (!is_prepared)
    {
        acquired_session.close();
        release_pinned_session(session);
        session.caller_state.fail_transaction();
        co_return fail(run, session_error::aborted,
                       is_usable ? run.outcome.reason
                       : is_left ? "the failure domain was evacuated"
                                 : "the primary was replaced");
    }
    session.has_written = session.has_written || run.writes;
    auto bytes = encode_statement(run, std::nullopt);
    auto outcome = co_await exchange(run, acquired_session, std::move(bytes));
    // Until the transaction's next statement, its slot may be used by others.
    pool_.serve_waiting(run.matched_route->group);
    if (!succeeded(outcome))
    {
        const auto& failure = error_of(outcome);
        if (failure.kind != error_kind::timeout)
            view_.record_target_result(acquired_session.key().target, false,
                                       current_time());
        release_pinned_session(session);
        session.caller_state.fail_transaction();
        // The exchange has closed the session, and the target rolls back the
        // transaction of a closed session. So nothing of it is kept.
        co_return fail(run, session_error::aborted, to_string(failure));
    }
    const auto& answer = value_of(outcome).front();
    record_replica_position(target_placement, answer);
    if (answer.succeeded())
    {
        if (!run.writes)
            metrics_.record_read(target_placement.is_primary);
    }
    else
    {
        run.outcome.reason = to_string(answer.failure);
        if (answer.transaction != transaction_state::open)
            session.caller_state.fail_transaction();
    }
    forward_answer(run, answer);
}

asio::awaitable<void> statement_runner::commit(run_state& run)
{
    auto& session = run.session;
    if (session.caller_state.transaction() == transaction_state::none)
        co_return fail(run, session_error::malformed, "no transaction is open");
    if (session.caller_state.transaction() == transaction_state::failed)
    {
        co_await abandon_transaction(session);
        co_return fail(run, session_error::aborted,
                       "the transaction had failed");
    }
    if (refuse_long_line(run, "the statement", run.call.id, run.call.text))
    {
        co_await abandon_transaction(session);
        co_return;
    }
    const bool was_forwarded = co_await forward_in_transaction(run);
    if (was_forwarded)
        co_return;
    if (!session.pinned_placement)
        co_await pin_transaction(run);
    if (!session.pinned_placement)
    {
        session.caller_state.end_transaction();
        co_return;
    }
    auto& target_placement = *session.pinned_placement;
    auto& acquired_session = *target_placement.session;
    run.outcome.target = acquired_session.key().target;
    const auto sent_at = current_time();
    if (target_placement.is_primary &&
        !view_.authority.is_revision_usable(run.matched_route->group,
                                            target_placement.record_revision,
                                            sent_at))
    {
        acquired_session.close();
        release_pinned_session(session);
        session.caller_state.end_transaction();
        co_return fail(run, session_error::aborted, "the primary was replaced");
    }
    const bool has_written = session.has_written;
    auto bytes = encode_statement(run, std::nullopt);
    auto outcome = co_await exchange(run, acquired_session, std::move(bytes));
    session.caller_state.end_transaction();
    if (!succeeded(outcome))
    {
        const auto& failure = error_of(outcome);
        if (failure.kind != error_kind::timeout)
            view_.record_target_result(acquired_session.key().target, false,
                                       current_time());
        release_pinned_session(session);
        co_return fail(
            run, has_written ? session_error::in_doubt : session_error::aborted,
            to_string(failure));
    }
    const auto& answer = value_of(outcome).front();
    record_position(target_placement, answer, sent_at);
    const bool primary_remained_usable =
        !target_placement.is_primary ||
        view_.authority.is_revision_usable(run.matched_route->group,
                                           target_placement.record_revision,
                                           current_time());
    if (answer.transaction != transaction_state::none)
        acquired_session.close();
    release_pinned_session(session);
    if (!answer.succeeded())
        run.outcome.reason = to_string(answer.failure);
    else if (has_written && !primary_remained_usable)
        co_return fail(run, session_error::in_doubt,
                       "the primary was replaced meanwhile");
    else if (has_written && answer.position)
        session.caller_state.record_commit(*answer.position);
    forward_answer(run, answer);
}

void statement_runner::fail_transaction(served_session& session)
{
    if (!session.is_in_use)
        close_transaction(session);
}

void statement_runner::close_transaction(served_session& session)
{
    if (session.pinned_placement)
        session.pinned_placement->session->close();
    release_pinned_session(session);
    session.caller_state.fail_transaction();
}

asio::awaitable<void>
statement_runner::abandon_transaction(served_session& session)
{
    const session_use_mark use(session);
    if (session.forwarded)
        co_await roll_back_forwarded(session);
    if (session.pinned_placement &&
        session.pinned_placement->session->transaction() !=
            transaction_state::none)
    {
        constexpr auto rollback_timeout = milliseconds(500);
        auto& acquired_session = *session.pinned_placement->session;
        std::string bytes;
        codec_.append_statement(bytes, codec_.proxy_statement_id(),
                                codec_.encode_rollback(), std::nullopt);
        co_await acquired_session.exchange(std::move(bytes), 1,
                                           rollback_timeout);
    }
    release_pinned_session(session);
    session.caller_state.end_transaction();
}

} // namespace oleandergrade
