#include "fleet_world_parts.hpp"

#include <algorithm>

namespace fakes
{

namespace
{

constexpr auto statement_time = milliseconds(1000);
constexpr auto primary_wait = milliseconds(600);
constexpr auto exchange_time = milliseconds(400);
constexpr auto placement_pause = milliseconds(20);
constexpr auto longest_pause = milliseconds(40);
constexpr unsigned most_attempts = 4;

std::string item_of(unsigned session)
{
    return "item-" + std::to_string(session);
}

} // namespace

void fleet_world::next_operation(const session_ptr& client)
{
    ++client->operation;
    client->attempts = 0;
    client->excluded.clear();
    client->started_at = network_.now();
    const bool must_reconnect =
        client->entry == nullptr || !client->entry->machine->up ||
        client->entry->run != client->entry->machine->run;
    if (must_reconnect || network_.share() < 0.02)
    {
        const auto& machine = machines_[network_.below(machines_.size())];
        client->entry = find_vm(machine->name);
        client->position.reset();
        client->own_floor = 0;
    }
    constexpr std::array kinds{operation_kind::write, operation_kind::write,
                               operation_kind::strict_read,
                               operation_kind::own_read,
                               operation_kind::aged_read};
    client->kind = kinds[network_.below(kinds.size())];
    client->subject =
        client->kind == operation_kind::own_read
            ? client->index
            : static_cast<unsigned>(network_.below(sessions_.size()));
    if (client->kind == operation_kind::write)
        ++client->number;
    const auto& acknowledged_at = sessions_[client->subject]->acknowledged;
    client->floor = 0;
    if (client->kind == operation_kind::own_read)
        client->floor = client->own_floor;
    const auto min_age =
        client->kind == operation_kind::aged_read ? most_age : milliseconds(0);
    for (const auto& [number, when] : acknowledged_at)
        if (client->kind != operation_kind::own_read &&
            when <= client->started_at - min_age)
            client->floor = std::max(client->floor, number);
    const auto operation_id = client->operation;
    network_.on_host(client->entry->machine, client->entry->run,
                     [this, client, operation_id]
                     {
                         if (client->operation == operation_id)
                             attempt(client);
                     });
    // A caller that has received no answer by then starts its next operation
    // through a new session; the outcome of this one is unknown to it.
    network_.after(statement_time + exchange_time,
                   [this, client, operation_id]
                   {
                       if (client->operation != operation_id)
                           return;
                       ++outcome_.in_doubt;
                       client->entry = nullptr;
                       next_operation(client);
                   });
}

void fleet_world::attempt(const session_ptr& client)
{
    const auto now = network_.now();
    placement_request request;
    request.group = group_name;
    request.needs_primary = client->kind == operation_kind::write;
    request.consistency = client->kind == operation_kind::aged_read
                              ? read_consistency::bounded_age
                          : client->kind == operation_kind::own_read
                              ? read_consistency::own_writes
                              : read_consistency::current;
    request.max_age = bug_ == fleet_bug::forgotten_age
                          ? position_tracker::max_sample_age
                          : most_age;
    if (bug_ != fleet_bug::forgotten_position)
        request.session_position = client->position;
    request.excluded_targets = client->excluded;
    const auto candidates =
        choose_candidates(client->entry->view, request, now);
    if (!candidates.empty())
        return send(client, candidates[network_.below(candidates.size())]);
    if (now >= client->started_at + primary_wait)
        return finish(client, session_error::busy, 0);
    const auto operation_id = client->operation;
    const auto node = client->entry;
    network_.after(placement_pause,
                   [this, client, operation_id, node]
                   {
                       network_.on_host(node->machine, node->run,
                                        [this, client, operation_id]
                                        {
                                            if (client->operation ==
                                                operation_id)
                                                attempt(client);
                                        });
                   });
}

void fleet_world::send(const session_ptr& client,
                       const placement_candidate& candidate)
{
    ++client->attempts;
    sent_statement sent{client->operation,    candidate.target->id,
                        candidate.is_primary, candidate.record_revision,
                        candidate.term,       network_.now()};
    const bool is_write = client->kind == operation_kind::write;
    const auto number = client->number;
    const auto writer = client->index;
    const auto item_owner = client->subject;
    const auto minimum_position = candidate.minimum_position;
    call_server(
        client->entry, sent.target, exchange_time,
        [this, is_write, number, writer, item_owner,
         minimum_position](standins::group_server& server)
        {
            server_reply reply;
            const auto now = network_.now();
            if (is_write)
            {
                if (!group_.commit(server,
                                   {{item_of(writer), std::to_string(number)}},
                                   now))
                    reply.failure = session_error::read_only;
            }
            else
            {
                const auto applied = group_.applied_position(server, now);
                if (minimum_position && applied < *minimum_position)
                    reply.failure = session_error::lagging;
                for (const auto& commit : server.log)
                    if (commit.item == item_of(item_owner) &&
                        commit.position.index <= applied.index)
                        reply.value = std::max(
                            reply.value,
                            static_cast<unsigned>(std::stoul(commit.data)));
            }
            reply.position = report_of(server).received_position;
            return reply;
        },
        [this, client, sent](const result<server_reply>& outcome)
        {
            if (client->operation == sent.operation)
                on_answer(client, sent, outcome);
        });
}

void fleet_world::on_answer(const session_ptr& client,
                            const sent_statement& sent,
                            const result<server_reply>& outcome)
{
    const auto now = network_.now();
    auto& view = client->entry->view;
    const bool is_write = client->kind == operation_kind::write;
    const bool record_is_usable =
        !sent.is_primary ||
        view.authority.is_revision_usable(group_name, sent.revision, now);
    attempt_facts facts{is_write,
                        client->attempts < most_attempts &&
                            now < client->started_at + statement_time,
                        !client->excluded.empty(),
                        record_is_usable ||
                            bug_ == fleet_bug::unchecked_answer};
    attempt_step next_step = attempt_step::forward_answer;
    if (succeeded(outcome))
    {
        const auto& reply = value_of(outcome);
        view.record_target_result(sent.target, true, now);
        if (sent.is_primary && reply.position.term == sent.term &&
            view.authority.is_revision_usable(group_name, sent.revision,
                                              sent.sent_at))
            view.positions[group_name].observe(reply.position, sent.sent_at);
        next_step = next_step_after_answer(reply.failure, facts);
        if (reply.failure == session_error::lagging)
            view.health.record_lagging(sent.target, now);
        if (next_step == attempt_step::forward_answer &&
            reply.failure == session_error::none)
        {
            if (is_write)
                client->position = reply.position;
            else if (!sent.is_primary)
                ++outcome_.replica_reads;
            return finish(client, session_error::none, reply.value);
        }
        if (next_step == attempt_step::forward_answer)
            return finish(client, reply.failure, 0);
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
            return finish(client, session_error::busy, 0);
        if (next_step == attempt_step::report_in_doubt &&
            bug_ == fleet_bug::blind_retry && facts.may_retry)
            next_step = attempt_step::retry_any_target;
    }
    if (next_step == attempt_step::report_in_doubt)
        return finish(client,
                      bug_ == fleet_bug::false_denial ? session_error::busy
                                                      : session_error::in_doubt,
                      0);
    if (next_step == attempt_step::report_timeout)
        return finish(client, session_error::timeout, 0);
    if (next_step == attempt_step::retry_other_target)
        client->excluded.insert(sent.target);
    attempt(client);
}

void fleet_world::finish(const session_ptr& client, session_error failure,
                         unsigned number_read)
{
    const auto now = network_.now();
    const bool is_write = client->kind == operation_kind::write;
    if (failure == session_error::none && is_write)
    {
        ++outcome_.acknowledged;
        client->acknowledged[client->number] = now;
        client->own_floor = client->number;
        if (last_acknowledged_ != time_point())
            outcome_.longest_gap =
                std::max(outcome_.longest_gap, now - last_acknowledged_);
        last_acknowledged_ = now;
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
            client->denied.insert(client->number);
    }
    else
    {
        ++outcome_.in_doubt;
    }
    const auto operation_id = ++client->operation;
    network_.after(longest_pause * static_cast<int>(network_.below(100)) / 100,
                   [this, client, operation_id]
                   {
                       if (client->operation == operation_id)
                           next_operation(client);
                   });
}

void fleet_world::check_read(const session& client, unsigned number_read)
{
    if (number_read >= client.floor)
        return;
    constexpr std::array kind_names{"write", "current read", "own-writes read",
                                    "bounded-age read"};
    violation(std::string(kind_names[static_cast<std::size_t>(client.kind)]) +
              " of " + item_of(client.subject) + " through " +
              client.entry->machine->name + " returned " +
              std::to_string(number_read) + ", expected at least " +
              std::to_string(client.floor));
}

void fleet_world::check_logs()
{
    const standins::group_server* primary = nullptr;
    for (const auto& [id, server] : group_.servers())
        if (server.is_primary &&
            (primary == nullptr || primary->term < server.term))
            primary = &server;
    if (primary == nullptr)
        return violation("the group has no primary at the end of the run");
    for (const auto& client : sessions_)
    {
        std::map<unsigned, unsigned> executions;
        for (const auto& commit : primary->log)
            if (commit.item == item_of(client->index))
                ++executions[static_cast<unsigned>(std::stoul(commit.data))];
        for (const auto& [number, when] : client->acknowledged)
            if (!executions.contains(number))
                violation("acknowledged write " + std::to_string(number) +
                          " of " + item_of(client->index) +
                          " is missing from the primary's log");
        for (const auto& [number, count] : executions)
            if (count > 1)
                violation("write " + std::to_string(number) + " of " +
                          item_of(client->index) +
                          " was executed more than once");
        for (const auto number : client->denied)
            if (executions.contains(number))
                violation("write " + std::to_string(number) + " of " +
                          item_of(client->index) +
                          " was executed although it was reported as refused");
    }
}

} // namespace fakes
