#include "fleet_simulation_types.hpp"

#include <algorithm>

namespace fakes
{

namespace
{

constexpr auto statement_timeout = milliseconds(1000);
constexpr auto placement_timeout = milliseconds(600);
constexpr auto exchange_timeout = milliseconds(400);
constexpr auto placement_retry_delay = milliseconds(20);
constexpr auto max_think_time = milliseconds(40);
constexpr unsigned max_attempts = 4;
constexpr double transaction_fraction = 0.25;
constexpr double rollback_fraction = 0.15;
/// Callers request a short timeout for some of the statements, so that answers
/// of holders often arrive when the session has moved on.
constexpr double short_timeout_fraction = 0.1;
constexpr auto min_short_timeout = milliseconds(20);
constexpr std::uint64_t short_timeout_range_ms = 300;

std::string item_name(unsigned session)
{
    return "item-" + std::to_string(session);
}

/// The item that the second write of a transaction writes.
std::string second_item_name(unsigned session)
{
    return "second-item-" + std::to_string(session);
}

forwarded_answer failed_answer(session_error failure)
{
    forwarded_answer answer;
    answer.accepted = true;
    answer.failure = failure;
    return answer;
}

} // namespace

void fleet_simulation::start_operation(const session_ptr& client)
{
    client->started_at = network_.now();
    const bool must_reconnect = client->connected_vm == nullptr ||
                                !client->connected_vm->machine->is_up ||
                                client->connected_vm->boot_number !=
                                    client->connected_vm->machine->boot_number;
    const auto reconnect_fraction = faults_.lost_watches ? 0.2 : 0.02;
    if (must_reconnect || network_.random_fraction() < reconnect_fraction)
    {
        const bool prefers_late_vm =
            faults_.lost_watches && network_.random_fraction() < 0.5;
        const auto& machine =
            prefers_late_vm
                ? machines_.back()
                : machines_[network_.random_below(machines_.size())];
        client->connected_vm = find_vm(machine->name);
        // The last VM may join late.
        if (client->connected_vm == nullptr)
            client->connected_vm = find_vm(machines_.front()->name);
        client->session_position.reset();
        client->number = ++last_number_;
        client->own_acknowledged_number = 0;
    }
    constexpr std::array kinds{operation_kind::write, operation_kind::write,
                               operation_kind::current_read,
                               operation_kind::own_writes_read,
                               operation_kind::bounded_age_read};
    client->kind = kinds[network_.random_below(kinds.size())];
    if (faults_.forwarding &&
        (std::exchange(client->repeats_transaction, false) ||
         network_.random_fraction() < transaction_fraction))
        client->kind = operation_kind::transaction;
    client->item_owner =
        client->kind == operation_kind::own_writes_read
            ? client->index
            : static_cast<unsigned>(network_.random_below(sessions_.size()));
    if (client->kind == operation_kind::write)
        ++client->last_written_number;
    if (client->kind == operation_kind::transaction)
        begin_transaction(client);
    const auto& acknowledged_at =
        sessions_[client->item_owner]->acknowledged_at;
    client->min_expected_number = 0;
    if (client->kind == operation_kind::own_writes_read)
        client->min_expected_number = client->own_acknowledged_number;
    const auto min_age = client->kind == operation_kind::bounded_age_read
                             ? max_read_age
                             : milliseconds(0);
    for (const auto& [number, when] : acknowledged_at)
        if (client->kind != operation_kind::own_writes_read &&
            when <= client->started_at - min_age)
            client->min_expected_number =
                std::max(client->min_expected_number, number);
    issue_statement(client);
}

void fleet_simulation::begin_transaction(const session_ptr& client)
{
    const auto number = ++client->last_written_number;
    client->transaction_step = 0;
    client->transaction_writes =
        1 + static_cast<unsigned>(network_.random_below(2));
    client->rolls_back = network_.random_fraction() < rollback_fraction;
    if (client->transaction_writes == 2)
        client->double_writes.insert(number);
}

void fleet_simulation::issue_statement(const session_ptr& client)
{
    const auto operation_id = ++client->operation_id;
    client->started_at = network_.now();
    client->timeout = statement_timeout;
    if (faults_.forwarding &&
        network_.random_fraction() < short_timeout_fraction)
        client->timeout =
            min_short_timeout +
            milliseconds(network_.random_below(short_timeout_range_ms));
    client->pending_call = 0;
    client->tried_holders.clear();
    network_.run_on_host(
        client->connected_vm->machine, client->connected_vm->boot_number,
        [this, client, operation_id]
        {
            if (client->operation_id != operation_id)
                return;
            const bool is_pinned =
                client->kind == operation_kind::transaction &&
                client->transaction_step > 0;
            const auto holder =
                is_pinned ? client->transaction_holder : choose_holder(client);
            client->transaction_holder = holder;
            if (holder.empty())
                run_locally(client);
            else
                forward_statement(client, holder);
        });
    // A caller that has received no answer by then starts its next operation
    // through a new session; the outcome of this one is unknown to it.
    network_.schedule_after(
        statement_timeout + exchange_timeout,
        [this, client, operation_id]
        {
            if (client->operation_id != operation_id)
                return;
            ++outcome_.in_doubt;
            // Only a COMMIT of the caller may commit its transaction.
            if (client->kind == operation_kind::transaction &&
                (client->rolls_back ||
                 client->transaction_step < client->transaction_writes))
                client->refused_writes.insert(client->last_written_number);
            client->connected_vm = nullptr;
            start_operation(client);
        });
}

forwarded_statement
fleet_simulation::make_statement(const session_ptr& client) const
{
    const bool is_transaction = client->kind == operation_kind::transaction;
    const bool is_write =
        client->kind == operation_kind::write || is_transaction;
    const auto step = client->transaction_step;
    forwarded_statement made;
    made.session = {client->connected_vm->machine->name,
                    client->connected_vm->incarnation, client->number};
    made.statement.verb = is_write ? session_verb::write : session_verb::read;
    made.statement.item_or_shape =
        is_write ? item_name(client->index) : item_name(client->item_owner);
    if (is_write)
        made.statement.data = std::to_string(client->last_written_number);
    if (is_transaction && step == 1)
        made.statement.item_or_shape = second_item_name(client->index);
    if (is_transaction && step == client->transaction_writes)
        made.statement.verb =
            client->rolls_back ? session_verb::rollback : session_verb::commit;
    made.in_transaction = is_transaction;
    made.begins_transaction = is_transaction && step == 0;
    made.matched_route.consistency =
        client->kind == operation_kind::bounded_age_read
            ? read_consistency::bounded_age
        : client->kind == operation_kind::own_writes_read
            ? read_consistency::own_writes
            : read_consistency::current;
    made.matched_route.max_age = max_read_age;
    made.session_position = client->session_position;
    made.time_spent =
        std::chrono::ceil<milliseconds>(network_.now() - client->started_at);
    made.time_left = client->timeout - made.time_spent;
    return made;
}

void fleet_simulation::run_locally(const session_ptr& client)
{
    const auto run = std::make_shared<statement_run>();
    run->node = client->connected_vm;
    run->statement = make_statement(client);
    run->started_at = client->started_at;
    run->deadline = client->started_at + client->timeout;
    run->checks_record =
        defect_ != injected_defect::answer_without_record_check;
    const auto operation_id = client->operation_id;
    run->is_wanted = [client, operation_id]
    { return client->operation_id == operation_id; };
    run->finish =
        [this, client, wanted = run->is_wanted](const forwarded_answer& answer)
    {
        if (wanted())
            deliver_answer(client, answer);
    };
    if (part_of_transaction(run->statement) == transaction_part::none ||
        run->statement.begins_transaction)
        attempt_statement(run);
    else
        run_in_transaction(run->node, run->statement, run->checks_record,
                           run->finish);
}

void fleet_simulation::deliver_answer(const session_ptr& client,
                                      const forwarded_answer& answer)
{
    if (answer.commit_position)
        client->session_position = answer.commit_position;
    const bool succeeds = answer.failure == session_error::none;
    if (client->kind == operation_kind::transaction && succeeds)
    {
        if (client->transaction_step++ < client->transaction_writes)
            return issue_statement(client);
        if (client->rolls_back)
            return finish_operation(client, session_error::aborted, 0);
        ++outcome_.committed_transactions;
    }
    finish_operation(client, answer.failure,
                     answer.answer.empty()
                         ? 0
                         : static_cast<unsigned>(std::stoul(answer.answer)));
}

void fleet_simulation::attempt_statement(const run_ptr& run)
{
    const auto now = network_.now();
    const auto& statement = run->statement;
    placement_request request;
    request.group = group_name;
    request.needs_primary = statement.statement.verb == session_verb::write;
    request.consistency = statement.matched_route.consistency;
    request.max_age = defect_ == injected_defect::max_age_ignored
                          ? position_tracker::max_sample_age
                          : statement.matched_route.max_age;
    if (defect_ != injected_defect::session_position_ignored)
        request.session_position = statement.session_position;
    request.excluded_targets = run->excluded_targets;
    const auto candidates = choose_candidates(run->node->view, request, now);
    if (!candidates.empty())
        return send_statement(
            run, candidates[network_.random_below(candidates.size())]);
    if (now >= std::min(run->started_at + placement_timeout, run->deadline))
        return run->finish(failed_answer(session_error::busy));
    network_.schedule_after(placement_retry_delay,
                            [this, run]
                            {
                                network_.run_on_host(
                                    run->node->machine, run->node->boot_number,
                                    [this, run]
                                    {
                                        if (run->is_wanted())
                                            attempt_statement(run);
                                    });
                            });
}

void fleet_simulation::send_statement(const run_ptr& run,
                                      const placement_candidate& candidate)
{
    ++run->attempts;
    check_evacuation(candidate.target->id);
    sent_statement sent{candidate.target->id,
                        candidate.is_primary,
                        candidate.record_revision,
                        candidate.term,
                        network_.now(),
                        run->statement.begins_transaction ? ++last_number_ : 0};
    const bool is_write = run->statement.statement.verb == session_verb::write;
    const auto item = run->statement.statement.item_or_shape;
    const auto data = run->statement.statement.data;
    const auto minimum_position = candidate.minimum_position;
    call_server(
        run->node, sent.target, exchange_timeout,
        [this, is_write, item, data, minimum_position,
         sent](standins::group_server& server)
        {
            server_reply reply;
            const auto now = network_.now();
            if (sent.target_session != 0)
            {
                if (server.is_primary)
                    server_transactions_[sent.target_session] = {
                        server.id, {{item, data}}};
                else
                    reply.failure = session_error::read_only;
            }
            else if (is_write)
            {
                if (!group_.commit(server, {{item, data}}, now))
                    reply.failure = session_error::read_only;
                else if (faults_.synchronous_replicas && !is_replicated(server))
                    reply.failure = session_error::timeout;
            }
            else
            {
                const auto applied = group_.applied_position(server, now);
                if (minimum_position && applied < *minimum_position)
                    reply.failure = session_error::lagging;
                for (const auto& commit : server.log)
                    if (commit.item == item &&
                        commit.position.index <= applied.index)
                        reply.highest_number = std::max(
                            reply.highest_number,
                            static_cast<unsigned>(std::stoul(commit.data)));
            }
            reply.position = make_target_report(server).received_position;
            return reply;
        },
        [this, run, sent](const result<server_reply>& outcome)
        {
            if (run->is_wanted())
                on_answer(run, sent, outcome);
        });
}

void fleet_simulation::on_answer(const run_ptr& run, const sent_statement& sent,
                                 const result<server_reply>& outcome)
{
    const auto now = network_.now();
    auto& view = run->node->view;
    const bool begins_transaction = sent.target_session != 0;
    // A write in a transaction has no effect before the COMMIT.
    const bool is_write =
        run->statement.statement.verb == session_verb::write &&
        !begins_transaction;
    const bool record_is_usable =
        !sent.is_primary || view.authority.is_revision_usable(
                                group_name, sent.record_revision, now);
    attempt_facts facts{is_write,
                        run->attempts < max_attempts && now < run->deadline,
                        !run->excluded_targets.empty(),
                        record_is_usable || !run->checks_record};
    attempt_step next_step = attempt_step::forward_answer;
    if (succeeded(outcome))
    {
        const auto& reply = value_of(outcome);
        view.record_target_result(sent.target, true, now);
        if (sent.is_primary && reply.position.term == sent.term &&
            view.authority.is_revision_usable(group_name, sent.record_revision,
                                              sent.sent_at))
            view.positions[group_name].observe(reply.position, sent.sent_at);
        next_step = next_step_after_answer(reply.failure, facts);
        if (reply.failure == session_error::lagging)
            view.health.record_lagging(sent.target, now);
        if (next_step == attempt_step::forward_answer &&
            reply.failure == session_error::none)
        {
            auto answer = failed_answer(session_error::none);
            if (begins_transaction && !facts.primary_remained_usable)
                return run->finish(failed_answer(session_error::aborted));
            if (begins_transaction)
            {
                run->node->transactions[run->statement.session] = {
                    sent.target, sent.record_revision, sent.target_session,
                    run->link};
                answer.transaction = transaction_state::open;
            }
            else if (is_write)
                answer.commit_position = reply.position;
            else if (!sent.is_primary)
                ++outcome_.replica_reads;
            answer.answer = std::to_string(reply.highest_number);
            return run->finish(answer);
        }
        if (next_step == attempt_step::forward_answer)
            return run->finish(failed_answer(reply.failure));
    }
    else
    {
        const auto kind = error_of(outcome).kind;
        if (kind != error_kind::timeout)
            view.record_target_result(sent.target, false, now);
        // A server that refused the connection has not received the statement,
        // so any target may be tried again.
        next_step = kind == error_kind::unreachable
                        ? attempt_step::retry_any_target
                        : next_step_after_lost_answer(kind, facts);
        if (next_step == attempt_step::retry_any_target && !facts.may_retry)
            return run->finish(failed_answer(session_error::busy));
        if (next_step == attempt_step::report_in_doubt &&
            defect_ == injected_defect::unsafe_write_retry && facts.may_retry)
            next_step = attempt_step::retry_any_target;
    }
    if (next_step == attempt_step::report_in_doubt)
        return run->finish(
            failed_answer(defect_ == injected_defect::unknown_outcome_as_refusal
                              ? session_error::busy
                              : session_error::in_doubt));
    if (next_step == attempt_step::report_timeout)
        return run->finish(failed_answer(begins_transaction
                                             ? session_error::aborted
                                             : session_error::timeout));
    if (next_step == attempt_step::retry_other_target)
        run->excluded_targets.insert(sent.target);
    attempt_statement(run);
}

void fleet_simulation::run_in_transaction(const vm_ptr& node,
                                          const forwarded_statement& statement,
                                          bool checks_record,
                                          const answer_handler& finish)
{
    const auto found = node->transactions.find(statement.session);
    if (found == node->transactions.end())
        return finish(failed_answer(session_error::aborted));
    const auto open = found->second;
    const auto verb = statement.statement.verb;
    const bool ends = verb != session_verb::write;
    const auto is_usable = [this, node, open, checks_record]
    {
        return !checks_record ||
               node->view.authority.is_revision_usable(
                   group_name, open.record_revision, network_.now());
    };
    if (ends)
        node->transactions.erase(found);
    if (verb == session_verb::rollback)
        return finish(failed_answer(session_error::none));
    if (!is_usable())
    {
        node->transactions.erase(statement.session);
        return finish(failed_answer(session_error::aborted));
    }
    call_server(
        node, open.target, exchange_timeout,
        [this, open, ends, statement](standins::group_server& server)
        {
            server_reply reply;
            const auto at_server =
                server_transactions_.find(open.target_session);
            if (at_server == server_transactions_.end())
            {
                reply.failure = session_error::aborted;
                return reply;
            }
            if (!ends)
            {
                at_server->second.writes.emplace_back(
                    statement.statement.item_or_shape,
                    statement.statement.data);
                return reply;
            }
            if (!group_.commit(server, at_server->second.writes,
                               network_.now()))
                reply.failure = session_error::aborted;
            server_transactions_.erase(at_server);
            reply.position = make_target_report(server).received_position;
            return reply;
        },
        [node, open, ends, is_usable, finish,
         session = statement.session](const result<server_reply>& outcome)
        {
            auto failure = succeeded(outcome) ? value_of(outcome).failure
                                              : session_error::aborted;
            // Without a connection, the COMMIT has not been sent.
            if (ends && !succeeded(outcome) &&
                error_of(outcome).kind != error_kind::unreachable)
                failure = session_error::in_doubt;
            if (failure == session_error::none && !is_usable())
                failure =
                    ends ? session_error::in_doubt : session_error::aborted;
            const auto current = node->transactions.find(session);
            if (failure != session_error::none &&
                current != node->transactions.end() &&
                current->second.target_session == open.target_session)
                node->transactions.erase(current);
            auto answer = failed_answer(failure);
            if (ends && failure == session_error::none)
                answer.commit_position = value_of(outcome).position;
            else if (failure == session_error::none)
                answer.transaction = transaction_state::open;
            finish(answer);
        });
}

void fleet_simulation::finish_operation(const session_ptr& client,
                                        session_error failure,
                                        unsigned number_read)
{
    const auto now = network_.now();
    const bool is_write = client->kind == operation_kind::write ||
                          client->kind == operation_kind::transaction;
    if (failure == session_error::none && is_write)
    {
        ++outcome_.acknowledged_writes;
        client->acknowledged_at[client->last_written_number] = now;
        client->own_acknowledged_number = client->last_written_number;
        if (last_acknowledged_at_ != time_point())
            outcome_.longest_write_gap = std::max(outcome_.longest_write_gap,
                                                  now - last_acknowledged_at_);
        last_acknowledged_at_ = now;
    }
    else if (failure == session_error::none)
    {
        ++outcome_.reads;
        check_read(*client, number_read);
    }
    else if (guarantees_not_applied(failure))
    {
        ++outcome_.refused;
        if (is_write)
            client->refused_writes.insert(client->last_written_number);
    }
    else
    {
        ++outcome_.in_doubt;
    }
    client->pending_call = 0;
    client->repeats_transaction = client->kind == operation_kind::transaction &&
                                  failure == session_error::aborted &&
                                  !client->rolls_back;
    const auto operation_id = ++client->operation_id;
    network_.schedule_after(
        max_think_time * static_cast<int>(network_.random_below(100)) / 100,
        [this, client, operation_id]
        {
            if (client->operation_id == operation_id)
                start_operation(client);
        });
}

void fleet_simulation::check_read(const session& client, unsigned number_read)
{
    if (number_read >= client.min_expected_number)
        return;
    constexpr std::array kind_names{"write", "current read", "own-writes read",
                                    "bounded-age read", "transaction"};
    add_violation(
        std::string(kind_names[static_cast<std::size_t>(client.kind)]) +
        " of " + item_name(client.item_owner) + " through " +
        client.connected_vm->machine->name + " returned " +
        std::to_string(number_read) + ", expected at least " +
        std::to_string(client.min_expected_number));
}

void fleet_simulation::check_primary_log()
{
    const standins::group_server* primary = nullptr;
    for (const auto& [id, server] : group_.servers())
        if (server.is_primary &&
            (primary == nullptr || primary->term < server.term))
            primary = &server;
    if (primary == nullptr)
        return add_violation("the group has no primary at the end of the run");
    for (const auto& client : sessions_)
    {
        std::map<unsigned, unsigned> executions;
        for (const auto& commit : primary->log)
            if (commit.item == item_name(client->index))
                ++executions[static_cast<unsigned>(std::stoul(commit.data))];
        for (const auto& [number, when] : client->acknowledged_at)
            if (!executions.contains(number))
                add_violation("acknowledged write " + std::to_string(number) +
                              " of " + item_name(client->index) +
                              " is missing from the primary's log");
        for (const auto& [number, count] : executions)
            if (count > 1)
                add_violation("write " + std::to_string(number) + " of " +
                              item_name(client->index) +
                              " was executed more than once");
        for (const auto number : client->refused_writes)
            if (executions.contains(number))
                add_violation(
                    "write " + std::to_string(number) + " of " +
                    item_name(client->index) +
                    " was executed although it was reported as refused");
        check_transactions(*client, *primary);
    }
}

void fleet_simulation::check_transactions(const session& client,
                                          const standins::group_server& primary)
{
    const std::array items{item_name(client.index),
                           second_item_name(client.index)};
    std::map<unsigned, std::array<unsigned, 2>> executions;
    for (const auto& commit : primary.log)
        for (std::size_t i = 0; i < items.size(); ++i)
            if (commit.item == items[i])
                ++executions[static_cast<unsigned>(std::stoul(commit.data))][i];
    for (const auto& [number, counts] : executions)
        if (client.double_writes.contains(number) ? counts[0] != counts[1]
                                                  : counts[1] != 0)
            add_violation("transaction " + std::to_string(number) + " of " +
                          items[0] + " was committed in part");
}

} // namespace fakes
