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

void fleet_world::next_operation(const session_ptr& user)
{
    ++user->operation;
    user->attempts = 0;
    user->excluded.clear();
    user->started_at = network_.now();
    const bool must_move = user->entry == nullptr ||
                           !user->entry->machine->up ||
                           user->entry->run != user->entry->machine->run;
    if (must_move || network_.share() < 0.02)
    {
        const auto& machine = machines_[network_.below(machines_.size())];
        user->entry = find_vm(machine->name);
        user->position.reset();
        user->own_floor = 0;
    }
    constexpr std::array kinds{operation_kind::write, operation_kind::write,
                               operation_kind::strict_read,
                               operation_kind::own_read,
                               operation_kind::aged_read};
    user->kind = kinds[network_.below(kinds.size())];
    user->subject =
        user->kind == operation_kind::own_read
            ? user->index
            : static_cast<unsigned>(network_.below(sessions_.size()));
    if (user->kind == operation_kind::write)
        ++user->number;
    const auto& acknowledged = sessions_[user->subject]->acknowledged;
    user->floor = 0;
    if (user->kind == operation_kind::own_read)
        user->floor = user->own_floor;
    const auto age =
        user->kind == operation_kind::aged_read ? most_age : milliseconds(0);
    for (const auto& [number, when] : acknowledged)
        if (user->kind != operation_kind::own_read &&
            when <= user->started_at - age)
            user->floor = std::max(user->floor, number);
    const auto operation = user->operation;
    network_.on_host(user->entry->machine, user->entry->run,
                     [this, user, operation]
                     {
                         if (user->operation == operation)
                             attempt(user);
                     });
    // A caller that has received no answer by then starts its next operation
    // through a new session; the outcome of this one is unknown to it.
    network_.after(statement_time + exchange_time,
                   [this, user, operation]
                   {
                       if (user->operation != operation)
                           return;
                       ++outcome_.in_doubt;
                       user->entry = nullptr;
                       next_operation(user);
                   });
}

void fleet_world::attempt(const session_ptr& user)
{
    const auto now = network_.now();
    placement_request request;
    request.group = group_name;
    request.needs_primary = user->kind == operation_kind::write;
    request.consistency =
        user->kind == operation_kind::aged_read  ? read_consistency::bounded_age
        : user->kind == operation_kind::own_read ? read_consistency::own_writes
                                                 : read_consistency::current;
    request.max_age = bug_ == fleet_bug::forgotten_age
                          ? position_tracker::max_sample_age
                          : most_age;
    if (bug_ != fleet_bug::forgotten_position)
        request.session_position = user->position;
    request.excluded_targets = user->excluded;
    const auto candidates = choose_candidates(user->entry->view, request, now);
    if (!candidates.empty())
        return send(user, candidates[network_.below(candidates.size())]);
    if (now >= user->started_at + primary_wait)
        return finish(user, session_error::busy, 0);
    const auto operation = user->operation;
    const auto entry = user->entry;
    network_.after(placement_pause,
                   [this, user, operation, entry]
                   {
                       network_.on_host(entry->machine, entry->run,
                                        [this, user, operation]
                                        {
                                            if (user->operation == operation)
                                                attempt(user);
                                        });
                   });
}

void fleet_world::send(const session_ptr& user,
                       const placement_candidate& place)
{
    ++user->attempts;
    sent_statement sent{user->operation,  place.target->id,
                        place.is_primary, place.record_revision,
                        place.term,       network_.now()};
    const bool writes = user->kind == operation_kind::write;
    const auto number = user->number;
    const auto writer = user->index;
    const auto subject = user->subject;
    const auto minimum = place.minimum_position;
    call_server(
        user->entry, sent.target, exchange_time,
        [this, writes, number, writer, subject,
         minimum](standins::model_server& server)
        {
            server_reply reply;
            const auto now = network_.now();
            if (writes)
            {
                if (!group_.commit(server,
                                   {{item_of(writer), std::to_string(number)}},
                                   now))
                    reply.failure = session_error::read_only;
            }
            else
            {
                const auto applied = group_.applied(server, now);
                if (minimum && applied < *minimum)
                    reply.failure = session_error::lagging;
                for (const auto& commit : server.log)
                    if (commit.item == item_of(subject) &&
                        commit.position.position <= applied.position)
                        reply.value = std::max(
                            reply.value,
                            static_cast<unsigned>(std::stoul(commit.data)));
            }
            reply.position = report_of(server).received;
            return reply;
        },
        [this, user, sent](const result<server_reply>& outcome)
        {
            if (user->operation == sent.operation)
                on_answer(user, sent, outcome);
        });
}

void fleet_world::on_answer(const session_ptr& user, const sent_statement& sent,
                            const result<server_reply>& outcome)
{
    const auto now = network_.now();
    auto& view = user->entry->view;
    const bool writes = user->kind == operation_kind::write;
    const bool holds = !sent.is_primary || view.authority.is_revision_usable(
                                               group_name, sent.revision, now);
    attempt_facts facts{writes,
                        user->attempts < most_attempts &&
                            now < user->started_at + statement_time,
                        !user->excluded.empty(),
                        holds || bug_ == fleet_bug::unchecked_answer};
    attempt_step next = attempt_step::forward_answer;
    if (succeeded(outcome))
    {
        const auto& reply = value_of(outcome);
        view.record_target_result(sent.target, true, now);
        if (sent.is_primary && reply.position.term == sent.term &&
            view.authority.is_revision_usable(group_name, sent.revision,
                                              sent.sent_at))
            view.positions[group_name].observe(reply.position, sent.sent_at);
        next = next_step_after_answer(reply.failure, facts);
        if (reply.failure == session_error::lagging)
            view.health.record_lagging(sent.target, now);
        if (next == attempt_step::forward_answer &&
            reply.failure == session_error::none)
        {
            if (writes)
                user->position = reply.position;
            else if (!sent.is_primary)
                ++outcome_.replica_reads;
            return finish(user, session_error::none, reply.value);
        }
        if (next == attempt_step::forward_answer)
            return finish(user, reply.failure, 0);
    }
    else
    {
        const auto kind = error_of(outcome).kind;
        if (kind != error_kind::timeout)
            view.record_target_result(sent.target, false, now);
        // A server that refused the connection has not received the statement,
        // so any target may be tried again.
        next = kind == error_kind::unreachable
                   ? attempt_step::retry_any_target
                   : next_step_after_lost_answer(kind, facts);
        if (next == attempt_step::retry_any_target && !facts.may_retry)
            return finish(user, session_error::busy, 0);
        if (next == attempt_step::report_in_doubt &&
            bug_ == fleet_bug::blind_retry && facts.may_retry)
            next = attempt_step::retry_any_target;
    }
    if (next == attempt_step::report_in_doubt)
        return finish(user,
                      bug_ == fleet_bug::false_denial ? session_error::busy
                                                      : session_error::in_doubt,
                      0);
    if (next == attempt_step::report_timeout)
        return finish(user, session_error::timeout, 0);
    if (next == attempt_step::retry_other_target)
        user->excluded.insert(sent.target);
    attempt(user);
}

void fleet_world::finish(const session_ptr& user, session_error failure,
                         unsigned value)
{
    const auto now = network_.now();
    const bool writes = user->kind == operation_kind::write;
    if (failure == session_error::none && writes)
    {
        ++outcome_.acknowledged;
        user->acknowledged[user->number] = now;
        user->own_floor = user->number;
        if (last_acknowledged_ != time_point())
            outcome_.longest_gap =
                std::max(outcome_.longest_gap, now - last_acknowledged_);
        last_acknowledged_ = now;
    }
    else if (failure == session_error::none)
    {
        ++outcome_.reads;
        check_read(*user, value);
    }
    else if (promises_nothing_kept(failure))
    {
        ++outcome_.refused;
        if (writes)
            user->denied.insert(user->number);
    }
    else
    {
        ++outcome_.in_doubt;
    }
    const auto operation = ++user->operation;
    network_.after(longest_pause * static_cast<int>(network_.below(100)) / 100,
                   [this, user, operation]
                   {
                       if (user->operation == operation)
                           next_operation(user);
                   });
}

void fleet_world::check_read(const session& user, unsigned value)
{
    if (value >= user.floor)
        return;
    constexpr std::array names{"write", "current read", "own-writes read",
                               "bounded-age read"};
    violation(std::string(names[static_cast<std::size_t>(user.kind)]) + " of " +
              item_of(user.subject) + " through " + user.entry->machine->name +
              " returned " + std::to_string(value) + ", expected at least " +
              std::to_string(user.floor));
}

void fleet_world::check_logs()
{
    const standins::model_server* leader = nullptr;
    for (const auto& [id, server] : group_.servers())
        if (server.is_primary &&
            (leader == nullptr || leader->term < server.term))
            leader = &server;
    if (leader == nullptr)
        return violation("the group has no primary at the end of the run");
    for (const auto& user : sessions_)
    {
        std::map<unsigned, unsigned> times;
        for (const auto& commit : leader->log)
            if (commit.item == item_of(user->index))
                ++times[static_cast<unsigned>(std::stoul(commit.data))];
        for (const auto& [number, when] : user->acknowledged)
            if (!times.contains(number))
                violation("acknowledged write " + std::to_string(number) +
                          " of " + item_of(user->index) +
                          " is missing from the primary's log");
        for (const auto& [number, count] : times)
            if (count > 1)
                violation("write " + std::to_string(number) + " of " +
                          item_of(user->index) +
                          " was executed more than once");
        for (const auto number : user->denied)
            if (times.contains(number))
                violation("write " + std::to_string(number) + " of " +
                          item_of(user->index) +
                          " was executed although it was reported as refused");
    }
}

} // namespace fakes
