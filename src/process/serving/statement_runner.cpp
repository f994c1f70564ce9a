#include "statement_run_state.hpp"

#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/serving/prepared_name.hpp>
#include <oleandergrade/process/serving/statement_text_trace.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// The account of statements that came without a valid key over a route that
/// needs none.
const std::string anonymous_account = "-";
/// Maximum number of attempts for one statement, each at a target that has not
/// been excluded for it.
constexpr unsigned max_attempts = 4;
/// Delay before a rejected statement is sent again to a target that may be the
/// same one.
constexpr auto busy_retry_delay = milliseconds(15);
/// Latency objective for statements whose route sets none.
constexpr auto default_latency_objective = milliseconds(500);

/// Retry time that is sent to callers of an isolated VM. The platform takes two
/// seconds to route new sessions to other VMs.
constexpr auto isolated_retry_after = milliseconds(1000);

/// Retry time that is sent to callers of a VM that stops. New sessions are
/// served by other VMs.
constexpr auto stopping_retry_after = milliseconds(50);

/// Maximum length of a key that no account has. A session over a route that
/// needs no key keeps it.
constexpr std::size_t max_unknown_key_bytes = 1024;

/// Retry time for statements of a group that waits for the logs of replicas.
constexpr auto awaited_retry_after = milliseconds(500);

/// Retry time for statements of a group whose targets are all in evacuated
/// failure domains. Operators decide when it is served again.
constexpr auto evacuation_retry_after = milliseconds(1000);

/// Fraction of the statement timeout that may be spent waiting for a new
/// primary.
constexpr double primary_wait_fraction = 0.6;

/// A line has fewer bytes than this beside those that a caller chose: keywords,
/// a position and the name of a prepared statement at a target.
constexpr std::size_t max_line_growth = 256;

/// The position whose encoding is the longest.
constexpr log_position longest_position{
    std::numeric_limits<std::uint64_t>::max(),
    std::numeric_limits<std::uint64_t>::max()};

milliseconds fraction_of(milliseconds total, double fraction)
{
    return milliseconds(static_cast<std::int64_t>(
        static_cast<double>(total.count()) * fraction));
}

/// Whether a line whose variable fields have this size may be longer than
/// targets read.
bool may_be_too_long(std::size_t size)
{
    return size + max_line_growth > max_session_message_bytes;
}

} // namespace

statement_runner::statement_runner(const session_codec& codec,
                                   active_configuration& configuration,
                                   serving_view& view, target_pool& pool,
                                   operation_limiter& limiter,
                                   serving_metrics& metrics)
    : codec_(codec), configuration_(configuration), view_(view), pool_(pool),
      limiter_(limiter), metrics_(metrics)
{
}

session_error
statement_runner::check_opening(const session_opening& opening) const
{
    const auto& table = configuration_.current();
    if (table == nullptr)
        return session_error::busy;
    const auto* matched_route = table->find_route(opening.database);
    if (matched_route == nullptr)
        return session_error::unknown_database;
    const bool has_account =
        table->find_account_by_key(opening.account_key) != nullptr;
    if (!has_account && !matched_route->is_public)
        return session_error::unauthorized;
    if (!has_account && opening.account_key.size() > max_unknown_key_bytes)
        return session_error::malformed;
    return session_error::none;
}

asio::awaitable<statement_reply>
statement_runner::run(served_session& session, const session_statement& call)
{
    run_state run(session, call);
    if (resolve_route_and_account(run))
    {
        run.deadline = run.arrived_at + run.matched_route->statement_timeout;
        if (call.caller_timeout.count() > 0)
            run.deadline =
                std::min(run.deadline, run.arrived_at + call.caller_timeout);
        if (stop_schedule_)
            refuse_while_stopping(run);
        report_failed_transaction(run);
    }
    if (!run.answered)
    {
        switch (call.verb)
        {
        case session_verb::begin:
        case session_verb::begin_read_only:
            co_await begin(run);
            break;
        case session_verb::commit:
            co_await commit(run);
            break;
        case session_verb::rollback:
            if (session.caller_state.transaction() == transaction_state::none)
            {
                fail(run, session_error::malformed, "no transaction is open");
                break;
            }
            co_await abandon_transaction(session);
            codec_.append_proxy_completion(run.reply);
            break;
        case session_verb::read:
        case session_verb::write:
        case session_verb::execute:
            if (session.caller_state.transaction() == transaction_state::none)
                co_await run_outside_transaction(run);
            else
                co_await run_in_transaction(run);
            break;
        default:
            apply_session_statement(run);
            break;
        }
    }
    finish(run);
    co_return statement_reply{std::move(run.reply), std::move(run.outcome)};
}

void statement_runner::refuse_while_stopping(run_state& run)
{
    run.deadline = std::min(run.deadline, stop_schedule_->answers_due_at());
    const bool begins = run.call.verb == session_verb::begin ||
                        run.call.verb == session_verb::begin_read_only;
    const bool is_accepted =
        stop_schedule_->accepts_statements(run.arrived_at) &&
        (!begins || stop_schedule_->accepts_transactions(run.arrived_at));
    if (is_accepted)
        return;
    const auto transaction = run.session.caller_state.transaction();
    if (transaction == transaction_state::none)
        return fail(run, session_error::busy, "this VM is stopping",
                    stopping_retry_after);
    // The end of a failed transaction is answered as usual.
    close_transaction(run.session);
    const bool ends = run.call.verb == session_verb::commit ||
                      run.call.verb == session_verb::rollback;
    if (transaction == transaction_state::open && !ends)
        fail(run, session_error::aborted, "this VM is stopping",
             stopping_retry_after);
}

// A VM may end a transaction between two statements. The caller has done
// nothing wrong then and may repeat the transaction.
void statement_runner::report_failed_transaction(run_state& run)
{
    const bool ends = run.call.verb == session_verb::commit ||
                      run.call.verb == session_verb::rollback;
    if (!run.answered && !ends && run.session.caller_state.has_failed_untold())
        fail(run, session_error::aborted, "the transaction was rolled back");
}

// Looks up the route and the account for each statement again, so that a
// revoked key stops working in open sessions too. An open transaction keeps its
// route, and must keep its account; if it has lost it, only a rollback is
// accepted.
bool statement_runner::resolve_route_and_account(run_state& run)
{
    run.table = configuration_.current();
    auto& session = run.session;
    const bool in_transaction =
        session.caller_state.transaction() != transaction_state::none;
    run.matched_route = in_transaction
                            ? &session.transaction_route
                            : run.table->find_route(session.database);
    if (run.matched_route == nullptr)
    {
        fail(run, session_error::unknown_database, "no route has this name");
        return false;
    }
    const auto* account = run.table->find_account_by_key(session.key);
    run.account = account != nullptr ? account->name : anonymous_account;
    const bool is_allowed = account != nullptr || run.matched_route->is_public;
    const bool is_same_account =
        !in_transaction || run.account == session.transaction_account;
    if (is_allowed && is_same_account)
        return true;
    if (in_transaction && run.call.verb == session_verb::rollback)
        return true;
    if (in_transaction)
    {
        release_pinned_session(session);
        session.caller_state.fail_transaction();
    }
    fail(run, session_error::unauthorized, "the key is not known");
    return false;
}

// An operation that cannot run takes nothing from the account's limit: its
// caller comes again, and the account's other operations would be refused.
bool statement_runner::refuse_without_primary(run_state& run,
                                              bool needs_primary)
{
    const auto wait = view_.wait_estimator.expected_replacement_wait(
        run.matched_route->group, current_time());
    if (!needs_primary || current_time() + wait <= primary_deadline_of(run))
        return false;
    fail(run, session_error::busy, "the primary is being replaced",
         pool_.spread_retry(wait));
    return true;
}

time_point statement_runner::primary_deadline_of(const run_state& run)
{
    return std::min(run.deadline,
                    run.arrived_at +
                        fraction_of(run.matched_route->statement_timeout,
                                    primary_wait_fraction));
}

asio::awaitable<bool> statement_runner::admit(run_state& run,
                                              bool needs_primary)
{
    if (refuse_without_primary(run, needs_primary))
        co_return false;
    if (run.account == anonymous_account)
        co_return true;
    auto decision = limiter_.admit(run.account, run.arrived_at);
    if (decision.may_borrow && borrow_operation)
    {
        auto account = run.account;
        const stage_stopwatch stopwatch(run.stages, statement_stage::limit);
        decision = co_await borrow_operation(std::move(account));
        if (!decision.admitted)
            limiter_.on_reserve_empty(run.account, decision.retry_after,
                                      current_time());
    }
    if (decision.admitted)
        co_return true;
    fail(run, session_error::busy,
         limiter_.knows_members() ? "over the account's rate"
                                  : "the number of VMs is not known yet",
         decision.retry_after);
    co_return false;
}

std::size_t
statement_runner::line_size(const std::string& id, const std::string& text,
                            const std::optional<log_position>& minimum) const
{
    std::string line;
    codec_.append_statement(line, id, text, minimum);
    return line.size() - session_line_end.size();
}

bool statement_runner::refuse_long_line(run_state& run, const char* kind,
                                        const std::string& id,
                                        const std::string& text)
{
    const auto size = line_size(id, text, std::nullopt);
    if (size <= max_session_message_bytes)
        return false;
    fail(run, session_error::malformed,
         std::string(kind) + " has " + std::to_string(size) +
             " bytes as a target gets it, at most " +
             std::to_string(max_session_message_bytes) + " are allowed");
    return true;
}

bool statement_runner::refuse_long_preparation(
    run_state& run, const prepared_statement& prepared)
{
    return may_be_too_long(prepared.shape.size()) &&
           refuse_long_line(
               run, "the prepared statement", codec_.proxy_statement_id(),
               codec_.encode_prepare(prepared_name_at_target(prepared),
                                     prepared.writes, prepared.shape));
}

bool statement_runner::refuse_long_statement(run_state& run)
{
    if (run.prepared != nullptr)
        refuse_long_preparation(run, *run.prepared);
    // Another build may have accepted longer values than this one.
    for (const auto& [name, value] : run.session.caller_state.values())
        if (!run.answered && may_be_too_long(name.size() + value.size()))
            refuse_long_line(run, "a session value",
                             codec_.proxy_statement_id(),
                             codec_.encode_set(name, value));
    if (!run.answered &&
        may_be_too_long(run.call.id.size() + run.call.text.size()))
    {
        const auto text = text_at_target(run);
        run.is_too_long_for_position =
            line_size(run.call.id, text, longest_position) >
            max_session_message_bytes;
        refuse_long_line(run, "the statement", run.call.id, text);
    }
    if (run.answered)
        run.session.caller_state.fail_transaction();
    return run.answered;
}

void statement_runner::apply_session_statement(run_state& run)
{
    if (run.call.verb == session_verb::prepare &&
        refuse_long_preparation(
            run, {run.call.prepares_write, run.call.item_or_shape}))
        return;
    auto& state = run.session.caller_state;
    const auto bytes = state.bytes_held_after(run.call);
    if (bytes > caller_session::max_bytes)
        return fail(run, session_error::malformed,
                    "the session would hold " + std::to_string(bytes) +
                        " bytes, at most " +
                        std::to_string(caller_session::max_bytes) +
                        " are allowed");
    if (!run.session.held_bytes.resize(held_bytes_, bytes))
        return fail(run, session_error::busy,
                    "this VM holds too many values and prepared statements",
                    held_bytes_retry_after);
    const auto failure = state.apply(run.call);
    run.session.held_bytes.resize(held_bytes_, state.bytes_held());
    if (failure == session_error::none)
        return codec_.append_proxy_completion(run.reply);
    fail(run, failure, "the statement is not understood here");
}

placement_request
statement_runner::make_placement_request(const run_state& run) const
{
    const auto& caller_state = run.session.caller_state;
    const bool in_transaction =
        caller_state.transaction() == transaction_state::open;
    placement_request request;
    request.group = run.matched_route->group;
    request.account = run.account;
    // A transaction that was not begun as read-only may write later.
    request.needs_primary =
        run.writes || (!in_transaction && run.is_too_long_for_position) ||
        (in_transaction && !caller_state.is_transaction_read_only());
    request.consistency = run.matched_route->consistency;
    request.max_age = run.matched_route->max_age;
    request.session_position = caller_state.last_commit_position();
    request.priority = run.matched_route->priority;
    request.session_values = caller_state.values();
    request.excluded_targets = run.excluded_targets;
    return request;
}

// Answers at once with an error if waiting would be useless: if this VM is
// isolated, or if the primary is not expected to be usable in time.
asio::awaitable<bool>
statement_runner::acquire_placement(run_state& run,
                                    std::optional<placement>& target_placement)
{
    const auto latency_objective =
        run.matched_route->latency_objective.count() > 0
            ? run.matched_route->latency_objective
            : default_latency_objective;
    auto request = make_placement_request(run);
    const bool needs_primary =
        request.needs_primary ||
        request.consistency == read_consistency::current ||
        choose_candidates(view_, request, current_time()).empty();
    // While a primary is being replaced, its callers wait longer than their
    // latency objective, because a late answer is better than an error. They
    // receive an error at once if the wait would take most of the statement
    // timeout.
    const auto primary_deadline = primary_deadline_of(run);
    if (needs_primary && view_.wait_estimator.is_isolated())
    {
        fail(run, session_error::busy, "this VM is cut off from the others",
             isolated_retry_after);
        co_return false;
    }
    const auto expected_wait =
        view_.wait_estimator.expected_wait(request.group, current_time());
    const auto awaited = view_.awaited_replicas.find(request.group);
    if (needs_primary && awaited != view_.awaited_replicas.end())
    {
        std::string reason = "no primary before these replicas answer:";
        for (const auto& replica : awaited->second)
            reason += " " + replica;
        fail(run, session_error::busy, reason,
             pool_.spread_retry(std::max(expected_wait, awaited_retry_after)));
        co_return false;
    }
    if (needs_primary && current_time() + expected_wait > primary_deadline)
    {
        fail(run, session_error::busy, "the primary is being replaced",
             pool_.spread_retry(expected_wait));
        co_return false;
    }
    const stage_stopwatch stopwatch(run.stages, statement_stage::queue);
    auto outcome = co_await pool_.acquire(
        std::move(request), {run.arrived_at, run.arrived_at + latency_objective,
                             run.deadline, primary_deadline});
    if (auto* found = std::get_if<placement>(&outcome))
    {
        ++run.outcome.attempts;
        run.outcome.target = found->session->key().target;
        target_placement = std::move(*found);
        co_return true;
    }
    const auto& refusal = std::get<placement_refusal>(outcome);
    const auto retry_after = refusal.retry_after.count() > 0
                                 ? refusal.retry_after
                                 : latency_objective;
    if (refusal.is_evacuated)
        fail(run, session_error::busy,
             "all targets are in failure domains that are being evacuated",
             evacuation_retry_after);
    else if (refusal.lacks_primary)
        fail(run, session_error::busy, "the primary is being replaced",
             retry_after);
    else
        fail(run, session_error::busy,
             "no target that may serve it has a session free", retry_after);
    co_return false;
}

std::string statement_runner::text_at_target(const run_state& run) const
{
    return run.prepared == nullptr
               ? run.call.text
               : codec_.rename_prepared(run.call.text,
                                        prepared_name_at_target(*run.prepared));
}

// Both texts of an EXECUTE are compared without the name, which differs.
void statement_runner::trace_text(const run_state& run,
                                  const std::string& sent_text)
{
    if (run.prepared == nullptr)
        return trace_sent_text({run.call.id, run.outcome.target, run.call.text,
                                sent_text, "", ""});
    const auto name = prepared_name_at_target(*run.prepared);
    const auto received = codec_.rename_prepared(run.call.text, "");
    const auto sent = codec_.rename_prepared(sent_text, "");
    if (received != sent)
        metrics_.record_changed_text();
    trace_sent_text({run.call.id, run.outcome.target, received, sent, name,
                     run.prepared->shape});
}

std::string
statement_runner::encode_statement(const run_state& run,
                                   const std::optional<log_position>& minimum)
{
    std::string bytes;
    const auto text = text_at_target(run);
    trace_text(run, text);
    codec_.append_statement(bytes, run.call.id, text, minimum);
    return bytes;
}

// If this returns false, no statement of the caller has run in this attempt, so
// a retry is safe.
asio::awaitable<bool>
statement_runner::prepare_session(run_state& run, placement& target_placement,
                                  bool begins_transaction)
{
    auto& acquired_session = *target_placement.session;
    const auto& caller_values = run.session.caller_state.values();
    std::string bytes;
    std::size_t count = 0;
    const auto add =
        [&](const std::string& text, const std::optional<log_position>& minimum)
    {
        codec_.append_statement(bytes, codec_.proxy_statement_id(), text,
                                minimum);
        ++count;
    };
    const bool has_extra_values =
        std::any_of(acquired_session.session_values.begin(),
                    acquired_session.session_values.end(),
                    [&](const auto& value)
                    { return !caller_values.contains(value.first); });
    if (has_extra_values || acquired_session.needs_reset)
    {
        acquired_session.needs_reset = false;
        add(codec_.encode_reset(), std::nullopt);
        acquired_session.session_values.clear();
        acquired_session.prepared_names.clear();
    }
    for (const auto& [name, value] : caller_values)
    {
        const auto found = acquired_session.session_values.find(name);
        if (found != acquired_session.session_values.end() &&
            found->second == value)
            continue;
        add(codec_.encode_set(name, value), std::nullopt);
        acquired_session.session_values[name] = value;
    }
    if (run.prepared != nullptr)
    {
        const auto name = prepared_name_at_target(*run.prepared);
        if (acquired_session.prepared_names.insert(name).second)
            add(codec_.encode_prepare(name, run.prepared->writes,
                                      run.prepared->shape),
                std::nullopt);
    }
    if (begins_transaction)
        add(codec_.encode_begin(
                run.session.caller_state.is_transaction_read_only()),
            target_placement.minimum_position);
    if (count == 0)
        co_return true;
    const auto sent_at = current_time();
    const stage_stopwatch stopwatch(run.stages, statement_stage::preparing);
    auto outcome = co_await acquired_session.exchange(
        std::move(bytes), count, exchange_timeout_until(run.deadline));
    if (!succeeded(outcome))
    {
        view_.record_target_result(acquired_session.key().target, false,
                                   current_time());
        run.excluded_targets.insert(acquired_session.key().target);
        run.outcome.reason = to_string(error_of(outcome));
        co_return false;
    }
    for (const auto& answer : value_of(outcome))
    {
        if (answer.succeeded())
            continue;
        run.outcome.reason =
            std::string("preparing: ") + to_string(answer.failure);
        record_replica_position(target_placement, answer);
        if (answer.failure == session_error::lagging)
            view_.health.record_lagging(acquired_session.key().target,
                                        current_time());
        run.excluded_targets.insert(acquired_session.key().target);
        // It is unknown which of the statements took effect, so the session
        // must not be reused for another caller.
        acquired_session.close();
        co_return false;
    }
    view_.record_target_result(acquired_session.key().target, true,
                               current_time());
    record_position(target_placement, value_of(outcome).back(), sent_at);
    co_return true;
}

bool statement_runner::can_retry(const run_state& run) const
{
    return run.outcome.attempts < max_attempts &&
           current_time() + min_exchange_timeout < run.deadline;
}

asio::awaitable<void> statement_runner::run_outside_transaction(run_state& run)
{
    if (run.call.verb == session_verb::execute)
    {
        run.prepared = run.session.caller_state.find_prepared(run.call.name);
        if (run.prepared == nullptr)
            co_return fail(run, session_error::unknown_prepared,
                           "the name was not prepared");
    }
    run.writes = run.prepared != nullptr ? run.prepared->writes
                                         : run.call.verb == session_verb::write;
    if (refuse_long_statement(run))
        co_return;
    if (!run.is_from_other_vm)
    {
        const bool is_admitted =
            co_await admit(run, run.writes || run.is_too_long_for_position ||
                                    run.matched_route->consistency ==
                                        read_consistency::current);
        if (!is_admitted)
            co_return;
    }
    const bool was_forwarded = co_await forward_outside_transaction(run);
    if (was_forwarded)
        co_return;
    while (!run.answered)
    {
        std::optional<placement> target_placement;
        const bool has_placement =
            co_await acquire_placement(run, target_placement);
        if (!has_placement)
            co_return;
        auto& acquired_session = *target_placement->session;
        const auto& target = acquired_session.key().target;
        const bool is_prepared =
            co_await prepare_session(run, *target_placement, false);
        if (!is_prepared)
        {
            pool_.release(target_placement->session);
            if (can_retry(run))
                continue;
            co_return fail(run, session_error::busy, run.outcome.reason);
        }
        const auto sent_at = current_time();
        if (target_placement->is_primary &&
            !view_.authority.is_revision_usable(
                run.matched_route->group, target_placement->record_revision,
                sent_at))
        {
            pool_.release(target_placement->session);
            continue;
        }
        auto bytes = encode_statement(run, target_placement->minimum_position);
        auto outcome =
            co_await exchange(run, acquired_session, std::move(bytes));
        if (succeeded(outcome))
        {
            view_.record_target_result(target, true, current_time());
            handle_answer(run, *target_placement, value_of(outcome).front(),
                          sent_at);
            pool_.release(target_placement->session);
            if (!run.answered)
            {
                metrics_.record_retry();
                co_await sleep_for(run.excluded_targets.empty()
                                       ? busy_retry_delay
                                       : milliseconds(0));
            }
            continue;
        }
        const auto& failure = error_of(outcome);
        run.outcome.reason = to_string(failure);
        if (failure.kind != error_kind::timeout)
            view_.record_target_result(target, false, current_time());
        pool_.release(target_placement->session);
        const auto next_step = next_step_after_lost_answer(
            failure.kind, make_attempt_facts(run, true));
        run.excluded_targets.insert(target);
        if (next_step == attempt_step::report_in_doubt)
            co_return fail(run, session_error::in_doubt, run.outcome.reason);
        if (next_step == attempt_step::report_timeout)
            co_return fail(run, session_error::timeout, run.outcome.reason);
        metrics_.record_retry();
    }
}

asio::awaitable<result<std::vector<target_answer>>>
statement_runner::exchange(run_state& run, target_session& session,
                           std::string bytes)
{
    const stage_stopwatch stopwatch(run.stages, statement_stage::target);
    co_return co_await session.exchange(std::move(bytes), 1,
                                        exchange_timeout_until(run.deadline));
}

attempt_facts
statement_runner::make_attempt_facts(const run_state& run,
                                     bool primary_remained_usable) const
{
    return {run.writes, can_retry(run), !run.excluded_targets.empty(),
            primary_remained_usable};
}

// Either forwards the answer, or leaves `run.answered` unset so that another
// attempt follows.
void statement_runner::handle_answer(run_state& run,
                                     placement& target_placement,
                                     const target_answer& answer,
                                     time_point sent_at)
{
    const auto& target = target_placement.session->key().target;
    record_replica_position(target_placement, answer);
    const bool primary_remained_usable =
        !target_placement.is_primary ||
        view_.authority.is_revision_usable(run.matched_route->group,
                                           target_placement.record_revision,
                                           current_time());
    const auto next_step = next_step_after_answer(
        answer.failure, make_attempt_facts(run, primary_remained_usable));
    if (answer.succeeded())
    {
        record_position(target_placement, answer, sent_at);
        if (next_step == attempt_step::report_in_doubt)
            return fail(run, session_error::in_doubt,
                        "the primary was replaced meanwhile");
        if (!run.writes)
            metrics_.record_read(target_placement.is_primary);
        else if (answer.position)
            run.session.caller_state.record_commit(*answer.position);
        return forward_answer(run, answer);
    }
    run.outcome.reason = to_string(answer.failure);
    if (answer.transaction != transaction_state::none)
        // The target treats the statement as part of a transaction, so the
        // session must not be reused.
        target_placement.session->close();
    if (answer.failure == session_error::lagging)
        view_.health.record_lagging(target, current_time());
    if (answer.failure == session_error::unknown_prepared)
        target_placement.session->prepared_names.clear();
    if (next_step == attempt_step::retry_other_target)
        run.excluded_targets.insert(target);
    else if (next_step != attempt_step::retry_any_target)
        forward_answer(run, answer);
}

// The position lets replicas serve reads: it determines how far a replica's log
// must have reached. It counts only if the primary was still usable when the
// statement was sent, and reported the expected term.
void statement_runner::record_position(const placement& target_placement,
                                       const target_answer& answer,
                                       time_point sent_at)
{
    const auto& group = target_placement.session->key().group;
    if (!target_placement.is_primary || !answer.position ||
        answer.position->term != target_placement.term ||
        !view_.authority.is_revision_usable(
            group, target_placement.record_revision, sent_at))
        return;
    view_.positions[group].observe(*answer.position, sent_at);
}

void statement_runner::record_replica_position(
    const placement& target_placement, const target_answer& answer)
{
    if (target_placement.is_primary)
        return;
    const auto& key = target_placement.session->key();
    const auto& primary = view_.positions[key.group];
    if (answer.failure == session_error::lagging &&
        target_placement.minimum_position)
        view_.replica_lag.record_rejection(key.target,
                                           *target_placement.minimum_position,
                                           primary, current_time());
    else if (answer.position)
        view_.replica_lag.record_position(key.target, *answer.position, primary,
                                          current_time());
}

void statement_runner::fail(run_state& run, session_error code,
                            const std::string& reason, milliseconds retry_after)
{
    run.answered = true;
    run.outcome.failure = code;
    run.outcome.reason = reason;
    run.outcome.retry_after = retry_after;
    auto text = reason;
    if (retry_after.count() > 0)
        text += "; retry after " + std::to_string(retry_after.count()) + " ms";
    codec_.append_failure(run.reply, code, text);
}

void statement_runner::forward_answer(run_state& run,
                                      const target_answer& answer)
{
    run.answered = true;
    run.outcome.failure = answer.failure;
    run.reply.append(answer.rows);
    if (answer.succeeded())
        codec_.append_completion(run.reply, *answer.execution_proof);
    else
        run.reply.append(answer.failure_line).append(session_line_end);
}

void statement_runner::finish(run_state& run)
{
    codec_.append_readiness(run.reply, run.session.caller_state.transaction());
    run.session.caller_state.on_state_told();
    const auto latency = current_time() - run.arrived_at;
    const auto consistency = run.matched_route == nullptr
                                 ? read_consistency::current
                                 : run.matched_route->consistency;
    metrics_.record_answer(consistency, run.outcome.failure, latency);
    metrics_.record_answer_labels(run.account, run.outcome.target,
                                  run.outcome.failure, run.outcome.reason);
    explain_latency(run, latency);
    if (run.outcome.failure == session_error::none)
        return;
    const auto* record = run.matched_route == nullptr
                             ? nullptr
                             : view_.authority.find(run.matched_route->group);
    log_event(event_level::warning, "statement", "failed",
              {{"request", run.call.id},
               {"outcome", to_string(run.outcome.failure)},
               {"reason", run.outcome.reason},
               {"database", run.session.database},
               {"account", run.account},
               {"target", run.outcome.target},
               {"forwarded_to", run.outcome.forwarded_to},
               {"attempts", run.outcome.attempts},
               {"took", std::chrono::duration_cast<milliseconds>(latency)},
               {"configuration", configuration_.version()},
               {"term", record == nullptr ? 0 : record->term},
               {"record", record == nullptr ? 0 : record->revision}});
}

void statement_runner::explain_latency(const run_state& run, duration latency)
{
    if (run.matched_route == nullptr ||
        run.matched_route->latency_objective.count() == 0 ||
        latency <= run.matched_route->latency_objective)
        return;
    const auto& stages = run.stages;
    metrics_.record_late_answer(stages.longest());
    log_event(event_level::info, statement_part, "late",
              {{"request", run.call.id},
               {"outcome", to_string(run.outcome.failure)},
               {"database", run.session.database},
               {"account", run.account},
               {"target", run.outcome.target},
               {"forwarded_to", run.outcome.forwarded_to},
               {"attempts", run.outcome.attempts},
               {"took", std::chrono::duration_cast<milliseconds>(latency)},
               {"limit", stages.time_in(statement_stage::limit)},
               {"queue", stages.time_in(statement_stage::queue)},
               {"preparing", stages.time_in(statement_stage::preparing)},
               {"forwarding", stages.time_in(statement_stage::forwarding)},
               {"at_target", stages.time_in(statement_stage::target)}});
}

void statement_runner::release_pinned_session(served_session& session)
{
    if (session.forwarded)
        forwarder_->end_in_background(session.forwarded->address,
                                      session.forwarded->id);
    session.forwarded.reset();
    if (!session.pinned_placement)
        return;
    pool_.release(session.pinned_placement->session);
    session.pinned_placement.reset();
}

} // namespace oleandergrade
