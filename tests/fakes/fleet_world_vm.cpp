#include "fleet_world_parts.hpp"

#include <oleandergrade/process/store_layout.hpp>

namespace fakes
{

namespace
{

constexpr auto tick_interval = milliseconds(20);
constexpr auto report_interval = milliseconds(250);
constexpr auto call_timeout = milliseconds(400);
constexpr auto notice_timeout = milliseconds(600);
constexpr auto notice_interval = milliseconds(100);
constexpr auto ping_interval = milliseconds(200);
constexpr auto ping_timeout = milliseconds(400);
constexpr auto ask_timeout = milliseconds(300);
constexpr std::size_t highest_rank = 20;

} // namespace

void fleet_world::every(const vm_ptr& node, duration interval,
                        std::function<void()> work)
{
    network_.after(interval,
                   [this, node, interval, work]
                   {
                       network_.on_host(node->machine, node->run,
                                        [this, node, interval, work]
                                        {
                                            work();
                                            every(node, interval, work);
                                        });
                   });
}

void fleet_world::start_vm(const std::shared_ptr<host>& machine)
{
    const auto node = std::make_shared<vm>(machine, network_.random()());
    vms_[machine->name] = node;
    for (const auto& [id, server] : servers_)
    {
        target_record record;
        record.id = id;
        record.group = group_name;
        record.address = id;
        record.slots = 3;
        node->view.registry.put(record);
    }
    every(node, tick_interval,
          [this, node]
          {
              register_member(node);
              elect(node);
              watch_store(node);
              step(node);
          });
    every(node, report_interval, [this, node] { report(node); });
}

fleet_world::vm_ptr fleet_world::find_vm(const std::string& name) const
{
    const auto found = vms_.find(name);
    return found == vms_.end() ? nullptr : found->second;
}

void fleet_world::register_member(const vm_ptr& node)
{
    if (node->registered || node->registering)
        return;
    node->registering = true;
    const auto& name = node->machine->name;
    const fleet_member self{name, name, node->incarnation};
    call_store(
        node,
        [this, self]
        {
            return write_store(members_prefix + self.name,
                               serialize_fleet_member(self), 0, {});
        },
        [node](const result<store_reply>& outcome)
        {
            node->registering = false;
            node->registered = succeeded(outcome);
        });
}

void fleet_world::elect(const vm_ptr& node)
{
    if (!node->registered)
        return;
    const auto sent_at = network_.now();
    auto& election = node->duty;
    const auto lease = election.lease_id();
    const error conflict{error_kind::conflict, "store", "",
                         "request rejected by the store"};
    switch (election.begin_due_call(sent_at))
    {
    case election_call::none:
        break;
    case election_call::create_lease:
        call_store(
            node,
            [this]
            {
                store_reply reply;
                reply.revision = store_.create_lease(
                    leader_election::lease_lifetime, network_.now());
                return reply;
            },
            [this, node, sent_at](const result<store_reply>& outcome)
            {
                result<store_lease> created = store_lease{};
                if (succeeded(outcome))
                    created = store_lease{value_of(outcome).revision,
                                          leader_election::lease_lifetime};
                else
                    created = error_of(outcome);
                node->duty.on_lease_created(created, sent_at, network_.now());
            });
        break;
    case election_call::acquire:
        call_store(
            node,
            [this, node, lease]
            {
                return write_store(leader_key,
                                   serialize_leader_identity(node->duty.self()),
                                   lease, {{leader_key, 0}});
            },
            [this, node, conflict](const result<store_reply>& outcome)
            {
                result<std::uint64_t> acquired = conflict;
                if (!succeeded(outcome))
                    acquired = error_of(outcome);
                else if (value_of(outcome).outcome ==
                         standins::store_outcome::done)
                    acquired = value_of(outcome).revision;
                node->duty.on_acquired(acquired, network_.now());
                on_duty_changed(node);
            });
        break;
    case election_call::renew:
        call_store(
            node,
            [this, lease]
            {
                store_reply reply;
                if (!store_.renew_lease(lease, network_.now()))
                    reply.outcome = standins::store_outcome::unknown_lease;
                return reply;
            },
            [this, node, sent_at, conflict](const result<store_reply>& outcome)
            {
                result<bool> renewed = true;
                if (!succeeded(outcome))
                    renewed = error_of(outcome);
                else if (value_of(outcome).outcome !=
                         standins::store_outcome::done)
                    renewed = conflict;
                node->duty.on_renewed(renewed, sent_at, network_.now());
                on_duty_changed(node);
            });
        break;
    case election_call::read:
        call_store(
            node,
            [this]
            {
                store_reply reply;
                reply.items = {store_.read(leader_key)};
                return reply;
            },
            [this, node](const result<store_reply>& outcome)
            {
                result<stored_item> item = stored_item{};
                if (succeeded(outcome))
                {
                    const auto& found = value_of(outcome).items.front();
                    item = stored_item{leader_key, found.value, found.revision};
                }
                else
                {
                    item = error_of(outcome);
                }
                node->duty.on_read(item, network_.now());
                on_duty_changed(node);
            });
        break;
    }
}

void fleet_world::watch_store(const vm_ptr& node)
{
    if (node->watching)
        return;
    node->watching = true;
    const auto after_revision = node->watched;
    call_store(
        node,
        [this, after_revision]
        {
            store_reply reply;
            reply.revision = store_.revision();
            if (after_revision == 0)
                reply.items = store_.read_all(own_prefix);
            else
                reply.outcome = store_.events_after(own_prefix, after_revision,
                                                    reply.events);
            return reply;
        },
        [this, node, after_revision](const result<store_reply>& outcome)
        {
            node->watching = false;
            if (!succeeded(outcome))
                return;
            const auto& reply = value_of(outcome);
            if (reply.outcome == standins::store_outcome::history_discarded)
            {
                node->watched = 0;
                return;
            }
            node->watched = reply.revision;
            if (after_revision == 0)
                return use_items(node, reply.items, reply.revision);
            for (const auto& event : reply.events)
                use_event(node, event);
        });
}

void fleet_world::use_items(const vm_ptr& node,
                            const std::vector<standins::store_entry>& items,
                            std::uint64_t store_revision)
{
    stored_item leader_item{leader_key, "", 0};
    for (const auto& item : items)
    {
        if (item.key == leader_key)
            leader_item = {item.key, item.value, item.revision};
        else
            use_event(node,
                      {item.key, item.value, item.revision,
                       item.creation_revision, item.lease_id, network_.now()});
    }
    node->duty.on_key_observed(leader_item, store_revision, network_.now());
    on_duty_changed(node);
    on_members_changed(node);
}

void fleet_world::use_event(const vm_ptr& node,
                            const standins::store_event& event)
{
    if (event.key == leader_key)
    {
        node->duty.on_key_observed({event.key, event.value.value_or(""),
                                    event.value ? event.revision : 0},
                                   event.revision, network_.now());
        node->holder.set_leader_address("");
        on_duty_changed(node);
        if (!node->duty.is_leader())
            report_once(node);
        return;
    }
    if (event.key.starts_with(members_prefix))
    {
        const auto member = parse_fleet_member(event.value.value_or(""));
        if (succeeded(member))
            node->members.put(value_of(member));
        return on_members_changed(node);
    }
    const auto record =
        parse_primary_record(event.value.value_or(""), event.revision);
    if (!succeeded(record))
        return;
    use_record(node, value_of(record));
    node->failover.on_record(value_of(record));
}

void fleet_world::use_record(const vm_ptr& node, const primary_record& record)
{
    if (!node->view.authority.on_record(record))
        return;
    note(node->machine->name + " applies record " +
         std::to_string(record.revision) + ": term " +
         std::to_string(record.term) + ", primary " + record.target +
         (record.is_open ? ", open" : ", closed") + ", candidate '" +
         record.candidate + "'");
    node->view.wait_estimator.on_record(record, network_.now());
}

void fleet_world::on_members_changed(const vm_ptr& node)
{
    node->duty.set_rank(
        std::min(node->members.rank_of(node->machine->name), highest_rank));
    node->ledger.update_members(node->members.names());
}

void fleet_world::on_duty_changed(const vm_ptr& node)
{
    auto& election = node->duty;
    if (election.known_leader_revision() != 0)
        node->view.authority.on_token(election.known_leader_revision());
    if (election.is_leader() == node->held_duty)
        return;
    node->held_duty = election.is_leader();
    if (node->held_duty)
    {
        node->ledger.on_elected(node->holder.last_granted_at(), network_.now());
        node->ledger.update_members(node->members.names());
        node->view.authority.on_token(election.token());
        grant_to_self(node);
    }
    node->contacts.clear();
    node->next_notice.clear();
    node->failover.abandon();
    node->primary_failing_since.reset();
}

milliseconds fleet_world::grant_validity(const vm_ptr& node) const
{
    const auto now = network_.now();
    return grant_tracker::allowed_validity(
        node->duty, node->view.authority.highest_token(),
        node->contacts.majority_answered_at(node->members.size(), now), now);
}

void fleet_world::grant_to_self(const vm_ptr& node)
{
    const auto validity = grant_validity(node);
    if (validity.count() == 0)
        return;
    node->holder.on_grant(node->duty.token(), 0, network_.now());
    node->view.authority.on_grant(node->duty.token(), network_.now(), validity);
    node->ledger.on_granted(node->machine->name, validity, network_.now());
}

void fleet_world::report(const vm_ptr& node)
{
    if (node->duty.is_leader())
        grant_to_self(node);
    else
        report_once(node);
    node->view.wait_estimator.on_grant(
        node->view.authority.has_grant(network_.now()), network_.now());
}

void fleet_world::report_once(const vm_ptr& node)
{
    std::vector<std::string> other_addresses;
    for (const auto& machine : machines_)
        if (machine != node->machine)
            other_addresses.push_back(machine->name);
    const auto address = node->holder.next_report_address(
        node->duty.known_leader().address, other_addresses);
    const auto receiver = find_vm(address);
    if (receiver == nullptr)
        return;
    const auto now = network_.now();
    fleet_report report;
    report.vm = node->machine->name;
    report.incarnation = node->incarnation;
    report.is_registered = node->registered;
    report.highest_token = node->view.authority.highest_token();
    report.failing_targets = node->view.health.failing_targets(now);
    report.other_leader_grant_age =
        node->holder.other_leader_grant_age(report.highest_token, now);
    report.echoed_stamp = node->holder.last_grant_stamp(report.highest_token);
    network_.call<fleet_grant>(
        node->machine, receiver->machine, call_timeout,
        [this, address, report]
        { return answer_report(find_vm(address), report); },
        [this, node, now](const result<fleet_grant>& outcome)
        {
            if (succeeded(outcome))
                use_grant(node, value_of(outcome), now);
            else
                node->holder.on_report_unanswered();
        },
        delivery::at_most_once);
}

fleet_grant fleet_world::answer_report(const vm_ptr& node,
                                       const fleet_report& report)
{
    const auto now = network_.now();
    fleet_grant grant;
    grant.token = node->view.authority.highest_token();
    grant.leader_address = node->duty.is_leader()
                               ? node->machine->name
                               : node->duty.known_leader().address;
    const auto validity = grant_validity(node);
    if (validity.count() == 0 || !report.is_registered ||
        report.highest_token > node->duty.token())
        return grant;
    grant.accepted = true;
    grant.token = node->duty.token();
    grant.validity = validity;
    grant.stamp = static_cast<std::uint64_t>(
        std::chrono::nanoseconds(now.time_since_epoch()).count());
    for (const auto& [group, record] : node->view.authority.records())
    {
        primary_state state;
        state.record = record;
        const auto& positions = node->view.positions[group];
        if (const auto newest = positions.newest();
            newest && newest->term == record.term)
        {
            state.has_position = true;
            state.position = newest->index;
            state.position_age = std::chrono::duration_cast<milliseconds>(
                                     now - positions.newest_requested_at()) +
                                 milliseconds(1);
        }
        grant.primaries.push_back(std::move(state));
    }
    if (report.highest_token == node->duty.token())
        node->ledger.on_token_acknowledged(report.vm, report.incarnation,
                                           report.other_leader_grant_age, now);
    node->ledger.on_granted(report.vm, validity, now);
    node->contacts.on_report(report, now);
    return grant;
}

void fleet_world::use_grant(const vm_ptr& node, const fleet_grant& grant,
                            time_point sent_at)
{
    auto& authority = node->view.authority;
    if (!grant.accepted)
        return node->holder.on_report_declined(
            grant.token >= authority.highest_token() ? grant.leader_address
                                                     : "");
    if (!authority.on_token(grant.token))
        return;
    for (const auto& state : grant.primaries)
    {
        use_record(node, state.record);
        if (state.has_position)
            node->view.positions[state.record.group].observe(
                {state.record.term, state.position},
                sent_at - state.position_age);
    }
    node->holder.on_grant(grant.token, grant.stamp, network_.now());
    authority.on_grant(grant.token, sent_at,
                       bug_ == fleet_bug::endless_grant ? milliseconds(60'000)
                                                        : grant.validity);
}

notice_receipt fleet_world::take_notice(const vm_ptr& node,
                                        const primary_notice& notice)
{
    notice_receipt receipt;
    receipt.vm = node->machine->name;
    receipt.incarnation = node->incarnation;
    if (!node->view.authority.on_token(notice.token))
        return receipt;
    node->holder.set_leader_address(notice.leader_address);
    node->duty.on_token_observed(notice.token);
    on_duty_changed(node);
    for (const auto& state : notice.primaries)
    {
        if (bug_ == fleet_bug::unheeded_closing && !state.record.is_open)
            continue;
        use_record(node, state.record);
        if (!state.record.is_open)
            node->view.authority.finish_closing(state.record.group);
    }
    receipt.token = notice.token;
    receipt.other_leader_grant_age =
        node->holder.other_leader_grant_age(notice.token, network_.now());
    receipt.accepted = true;
    return receipt;
}

void fleet_world::step(const vm_ptr& node)
{
    const auto now = network_.now();
    if (!node->duty.is_leader())
        return;
    if (node->failover.record().is_open && !node->pinging &&
        now >= node->next_ping)
        ping(node);
    if (!node->duty.has_valid_lease(now) && bug_ != fleet_bug::unfenced_holder)
        return;
    for (const auto& action : node->failover.tick(sight_of(node), now))
        carry_out(node, action);
    notify_all(node);
}

group_observation fleet_world::sight_of(const vm_ptr& node) const
{
    const auto now = network_.now();
    group_observation observation;
    observation.reporting_vms = node->contacts.reporting_vms(now);
    for (const auto* target : node->view.registry.in_group(group_name))
    {
        target_observation observed;
        observed.record = *target;
        const auto& server = group_.servers().at(target->id);
        observed.record.claims_primary = server.is_running && server.is_primary;
        if (target->id == node->failover.record().target &&
            node->primary_failing_since)
            observed.leader_failing_for =
                std::chrono::duration_cast<milliseconds>(
                    now - *node->primary_failing_since);
        for (const auto& failing : node->view.health.failing_targets(now))
            if (failing.target == target->id)
                observed.leader_failing_for = std::max(
                    observed.leader_failing_for.value_or(failing.failing_for),
                    failing.failing_for);
        observed.vms_failing_to_reach =
            node->contacts.vms_failing_to_reach(target->id, now);
        observation.targets.push_back(std::move(observed));
    }
    observation.is_record_binding =
        bug_ == fleet_bug::unbound_promotion ||
        node->contacts.is_binding(node->failover.record(), node->members,
                                  node->ledger, now);
    return observation;
}

void fleet_world::carry_out(const vm_ptr& node, const group_action& action)
{
    if (const auto* order = std::get_if<write_primary_record>(&action))
        write_record(node, *order);
    else if (const auto* request = std::get_if<request_target_report>(&action))
        ask(node, request->target, 0);
    else if (const auto* fence = std::get_if<fence_target>(&action))
        ask(node, fence->target, 0);
    else if (const auto* demotion = std::get_if<demote_target>(&action))
        ask(node, demotion->target, demotion->term);
    else if (const auto* promotion = std::get_if<promote_target>(&action))
        promote(node, promotion->target);
}

void fleet_world::write_record(const vm_ptr& node,
                               const write_primary_record& order)
{
    const auto token = node->duty.token();
    const auto key = std::string(primaries_prefix) + group_name;
    call_store(
        node,
        [this, order, token, key]
        {
            std::vector<std::pair<std::string, std::uint64_t>>
                expected_revisions{{key, order.expected_revision}};
            if (bug_ != fleet_bug::unfenced_holder)
                expected_revisions.emplace_back(leader_key, token);
            return write_store(key, serialize_primary_record(order.record), 0,
                               std::move(expected_revisions));
        },
        [this, node](const result<store_reply>& outcome)
        {
            result<std::uint64_t> written =
                error{error_kind::conflict, "write", "",
                      "write rejected by the store"};
            if (!succeeded(outcome))
                written = error_of(outcome);
            else if (value_of(outcome).outcome == standins::store_outcome::done)
                written = value_of(outcome).revision;
            node->failover.on_write_result(written, network_.now());
        });
}

void fleet_world::promote(const vm_ptr& node, const std::string& target)
{
    if (!node->duty.has_valid_lease(network_.now()) &&
        bug_ != fleet_bug::unfenced_holder)
        return node->failover.on_promotion_result(
            target,
            error{error_kind::unreachable, "promote", target,
                  "this VM is no longer the leader"},
            network_.now());
    note(node->machine->name + " promotes " + target);
    store_.process_expirations(network_.now());
    if (!faults_.lapses &&
        store_.read(leader_key).revision != node->duty.token())
        violation(node->machine->name +
                  " ordered a promotion without being the leader");
    network_.call<store_reply>(
        node->machine, platform_, call_timeout,
        [this, target]
        {
            store_reply reply;
            if (!group_.promote(target, network_.now()))
                reply.outcome = standins::store_outcome::condition_failed;
            return reply;
        },
        [this, node, target](const result<store_reply>& outcome)
        {
            result<bool> promoted = true;
            if (!succeeded(outcome))
                promoted = error_of(outcome);
            else if (value_of(outcome).outcome != standins::store_outcome::done)
                promoted = error{error_kind::refused, "promote", target, ""};
            node->failover.on_promotion_result(target, promoted,
                                               network_.now());
        },
        delivery::at_most_once);
}

void fleet_world::ask(const vm_ptr& node, const std::string& target,
                      std::uint64_t demote_below_term)
{
    if (!node->asking.insert(target).second)
        return;
    call_server(
        node, target, ask_timeout,
        [this, demote_below_term](standins::group_server& server)
        {
            if (demote_below_term != 0)
                group_.demote(server, demote_below_term);
            server_reply reply;
            reply.report = report_of(server);
            return reply;
        },
        [this, node, target](const result<server_reply>& outcome)
        {
            node->asking.erase(target);
            result<target_report> report = target_report{};
            if (succeeded(outcome))
                report = value_of(outcome).report;
            else
                report = error_of(outcome);
            node->failover.on_report(target, report, network_.now());
        });
}

void fleet_world::ping(const vm_ptr& node)
{
    const auto now = network_.now();
    node->pinging = true;
    node->next_ping = now + ping_interval;
    const auto target = node->failover.record().target;
    const auto* record = node->view.authority.find_usable(group_name, now);
    const auto term =
        record != nullptr && record->target == target ? record->term : 0;
    call_server(
        node, target, ping_timeout,
        [](standins::group_server& server)
        {
            server_reply reply;
            reply.report = report_of(server);
            reply.position = reply.report.received_position;
            return reply;
        },
        [node, now, term](const result<server_reply>& outcome)
        {
            node->pinging = false;
            if (!succeeded(outcome))
            {
                if (!node->primary_failing_since)
                    node->primary_failing_since = now;
                node->next_ping = now;
                return;
            }
            node->primary_failing_since.reset();
            const auto& position = value_of(outcome).position;
            if (term != 0 && position.term == term)
                node->view.positions[group_name].observe(position, now);
        });
}

void fleet_world::notify_all(const vm_ptr& node)
{
    const auto now = network_.now();
    const auto& record = node->failover.record();
    if (record.revision == 0)
        return;
    primary_notice notice;
    notice.token = node->duty.token();
    notice.leader_address = node->machine->name;
    notice.primaries.push_back({record, false, 0, milliseconds(0)});
    for (const auto& [name, member] : node->members.all())
    {
        auto& next_at = node->next_notice[name];
        if (now < next_at || node->contacts.has_confirmed(name, record))
            continue;
        next_at = now + notice_interval;
        if (name == node->machine->name)
        {
            if (take_notice(node, notice).accepted)
                node->contacts.on_confirmed(name, record);
            continue;
        }
        const auto receiver = find_vm(name);
        if (receiver == nullptr)
            continue;
        network_.call<notice_receipt>(
            node->machine, receiver->machine, notice_timeout,
            [this, name = name, notice]
            { return take_notice(find_vm(name), notice); },
            [this, node, name = name,
             notice](const result<notice_receipt>& outcome)
            {
                if (!succeeded(outcome) || !value_of(outcome).accepted ||
                    notice.token != node->duty.token())
                    return;
                node->ledger.on_token_acknowledged(
                    name, value_of(outcome).incarnation,
                    value_of(outcome).other_leader_grant_age, network_.now());
                node->contacts.on_confirmed(name,
                                            notice.primaries.front().record);
            },
            delivery::at_most_once);
    }
}

} // namespace fakes
