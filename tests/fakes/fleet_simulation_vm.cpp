#include "fleet_simulation_types.hpp"

#include <oleandergrade/process/store_layout.hpp>
#include <oleandergrade/process/store_revision.hpp>

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
constexpr auto report_request_timeout = milliseconds(300);
constexpr std::size_t max_rank = 100;
/// Longest time until the connection for a promotion is open.
constexpr auto max_connection_delay = milliseconds(3000);
constexpr auto relay_timeout = milliseconds(350);
constexpr auto max_leader_store_age = milliseconds(2000);
/// A watch whose answer is lost is given up after these times.
constexpr auto confirming_watch_timeout = milliseconds(2000);
constexpr auto assisted_watch_timeout = milliseconds(26'000);

} // namespace

void fleet_simulation::run_every(const vm_ptr& node, duration interval,
                                 std::function<void()> work)
{
    network_.schedule_after(interval,
                            [this, node, interval, work]
                            {
                                network_.run_on_host(
                                    node->machine, node->boot_number,
                                    [this, node, interval, work]
                                    {
                                        work();
                                        run_every(node, interval, work);
                                    });
                            });
}

void fleet_simulation::start_vm(const std::shared_ptr<host>& machine)
{
    const auto node = std::make_shared<vm>(machine, network_.random()());
    vms_[machine->name] = node;
    for (const auto& [id, server] : servers_)
    {
        target_record record;
        record.id = id;
        record.group = group_name;
        record.address = id;
        record.failure_domain = server->failure_domain;
        record.slots = 3;
        node->view.registry.put(record);
    }
    run_every(node, tick_interval,
              [this, node]
              {
                  register_member(node);
                  advance_election(node);
                  watch_store(node);
                  run_leader_tasks(node);
              });
    run_every(node, report_interval, [this, node] { renew_grant(node); });
}

fleet_simulation::vm_ptr
fleet_simulation::find_vm(const std::string& name) const
{
    const auto found = vms_.find(name);
    return found == vms_.end() ? nullptr : found->second;
}

void fleet_simulation::register_member(const vm_ptr& node)
{
    if (node->is_registered || node->registration_in_progress)
        return;
    node->registration_in_progress = true;
    const auto& name = node->machine->name;
    const fleet_member self{name, name, node->incarnation,
                            node->machine->failure_domain, 0};
    call_store(
        node,
        [this, self]
        {
            return write_store(members_prefix + self.name,
                               serialize_fleet_member(self), 0, {});
        },
        [node](const result<store_reply>& outcome)
        {
            node->registration_in_progress = false;
            node->is_registered = succeeded(outcome);
        });
}

void fleet_simulation::advance_election(const vm_ptr& node)
{
    if (!node->is_registered)
        return;
    const auto sent_at = network_.now();
    auto& election = node->election;
    election.set_highest_token(node->view.authority.highest_token());
    const auto call = election.begin_due_call(sent_at);
    const auto lease = election.lease_id();
    const error conflict{error_kind::conflict, "store", "",
                         "request rejected by the store"};
    switch (call)
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
                node->lease_generation = node->store_generation;
                if (succeeded(outcome))
                    created = store_lease{value_of(outcome).revision,
                                          leader_election::lease_lifetime};
                else
                    created = error_of(outcome);
                node->election.on_lease_created(created, sent_at,
                                                network_.now());
            });
        break;
    case election_call::acquire:
        call_store(
            node,
            [this, lease, self = serialize_leader_identity(election.self())] {
                return write_store(leader_key, self, lease, {{leader_key, 0}});
            },
            [this, node, conflict](const result<store_reply>& outcome)
            {
                result<std::uint64_t> acquired = conflict;
                if (!succeeded(outcome))
                    acquired = error_of(outcome);
                else if (value_of(outcome).outcome ==
                         standins::store_outcome::done)
                    acquired = make_store_revision(value_of(outcome).generation,
                                                   value_of(outcome).revision);
                node->election.on_acquired(acquired, network_.now());
                on_leadership_changed(node);
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
                if (node->lease_generation != node->store_generation)
                    renewed = conflict;
                else if (!succeeded(outcome))
                    renewed = error_of(outcome);
                else if (value_of(outcome).outcome !=
                         standins::store_outcome::done)
                    renewed = conflict;
                node->election.on_renewed(renewed, sent_at, network_.now());
                on_leadership_changed(node);
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
                node->election.on_read(item, network_.now());
                on_leadership_changed(node);
            });
        break;
    }
}

void fleet_simulation::watch_store(const vm_ptr& node)
{
    const auto timeout =
        node->is_assisted ? assisted_watch_timeout : confirming_watch_timeout;
    if (node->watch_lost_at && network_.now() - *node->watch_lost_at >= timeout)
        repeat_watch(node);
    if (node->watch_in_progress)
        return;
    node->watch_in_progress = true;
    const auto watch_number = node->watch_number;
    const auto after_revision = node->watched_revision;
    call_store(
        node,
        [this, after_revision]
        {
            store_reply reply;
            reply.revision = store_.revision();
            const auto number = store_number(after_revision);
            if (after_revision == 0)
                reply.items = store_.read_all(own_prefix);
            else if (number > store_.revision())
                reply.outcome = standins::store_outcome::history_discarded;
            else
                reply.outcome =
                    store_.events_after(own_prefix, number, reply.events);
            return reply;
        },
        [this, node, after_revision,
         watch_number](const result<store_reply>& outcome)
        {
            if (node->watch_number != watch_number)
                return;
            node->watch_in_progress = false;
            if (!succeeded(outcome))
                return;
            const auto& reply = value_of(outcome);
            if (reply.outcome == standins::store_outcome::history_discarded ||
                (after_revision != 0 &&
                 store_generation(after_revision) != reply.generation))
            {
                node->watched_revision = 0;
                return;
            }
            node->watched_revision =
                make_store_revision(reply.generation, reply.revision);
            if (after_revision == 0)
                return apply_items(node, reply.items, node->watched_revision);
            for (const auto& event : reply.events)
                apply_event(node, event);
            on_changes_applied(node, node->watched_revision);
        });
}

void fleet_simulation::repeat_watch(const vm_ptr& node)
{
    ++node->watch_number;
    node->watch_in_progress = false;
    node->watch_lost_at.reset();
}

void fleet_simulation::update_follow_mode(const vm_ptr& node)
{
    const bool was_assisted = node->is_assisted;
    node->is_assisted = !node->election.is_leader() &&
                        !node->leader.is_grant_overdue(network_.now()) &&
                        node->leader_store_age <= max_leader_store_age;
    if (was_assisted && !node->is_assisted)
        repeat_watch(node);
}

void fleet_simulation::apply_items(
    const vm_ptr& node, const std::vector<standins::store_entry>& items,
    std::uint64_t store_revision)
{
    stored_item leader_item{leader_key, "", 0};
    const auto own_key = members_prefix + node->machine->name;
    const auto own = std::find_if(items.begin(), items.end(),
                                  [&](const standins::store_entry& item)
                                  { return item.key == own_key; });
    if (node->store_was_restored &&
        (own == items.end() || own->value.find(std::to_string(
                                   node->incarnation)) == std::string::npos))
        node->is_registered = false;
    const bool has_record =
        std::any_of(items.begin(), items.end(),
                    [](const standins::store_entry& item)
                    { return item.key.starts_with(primaries_prefix); });
    if (!has_record)
        node->failover.on_record_missing();
    std::set<std::string> evacuated;
    for (const auto& item : items)
        if (item.key.starts_with(evacuation_prefix))
            evacuated.insert(
                item.key.substr(std::string(evacuation_prefix).size()));
    node->view.evacuations.set_stored(evacuated, network_.now());
    for (const auto& item : items)
    {
        if (item.key == leader_key)
            leader_item = {item.key, item.value, item.revision};
        else
            apply_event(node, {item.key, item.value, item.revision,
                               item.creation_revision, item.lease_id,
                               network_.now()});
    }
    node->election.on_key_observed(leader_item, store_revision, network_.now());
    on_leadership_changed(node);
    on_members_changed(node);
    on_changes_applied(node, store_revision);
}

void fleet_simulation::on_changes_applied(const vm_ptr& node,
                                          std::uint64_t store_revision)
{
    const bool had_complete_view = node->election.has_complete_view();
    node->election.on_changes_applied(store_revision);
    if (!had_complete_view && node->election.has_complete_view())
        grant_to_self(node);
}

void fleet_simulation::apply_event(const vm_ptr& node,
                                   const standins::store_event& event)
{
    if (event.key.starts_with(evacuation_prefix))
    {
        node->view.evacuations.set_stored(
            event.key.substr(std::string(evacuation_prefix).size()),
            event.value.has_value(), network_.now());
        return;
    }
    if (event.key == leader_key)
    {
        node->election.on_key_observed({event.key, event.value.value_or(""),
                                        event.value ? event.revision : 0},
                                       event.revision, network_.now());
        node->leader.set_leader_address("");
        on_leadership_changed(node);
        if (!node->election.is_leader())
            send_report(node);
        return;
    }
    if (event.key.starts_with(members_prefix))
    {
        const auto member = parse_fleet_member(event.value.value_or(""));
        if (succeeded(member))
            node->members.put(value_of(member));
        return on_members_changed(node);
    }
    const auto stored =
        parse_stored_primary_record(event.value.value_or(""), event.revision);
    if (!succeeded(stored))
        return;
    if (!value_of(stored).may_be_superseded())
        apply_record(node, value_of(stored).record);
    node->failover.on_stored_record(value_of(stored));
}

void fleet_simulation::apply_record(const vm_ptr& node,
                                    const primary_record& record)
{
    if (!node->view.authority.on_record(record))
        return;
    if (record.is_open)
        node->view.health.discard_failures(record.target);
    trace(node->machine->name + " applies record " +
          std::to_string(record.revision) + ": term " +
          std::to_string(record.term) + ", primary " + record.target +
          (record.is_open ? ", open" : ", closed") + ", candidate '" +
          record.candidate + "'");
    node->view.wait_estimator.on_record(record, network_.now());
}

void fleet_simulation::on_members_changed(const vm_ptr& node)
{
    node->election.set_rank(
        std::min(node->members.rank_of(node->machine->name), max_rank));
    node->grants.update_members(node->members.names());
}

void fleet_simulation::on_leadership_changed(const vm_ptr& node)
{
    auto& election = node->election;
    if (election.known_leader_token() != 0)
        node->view.authority.on_token(election.known_leader_token());
    if (election.is_leader() == node->was_leader)
        return;
    node->was_leader = election.is_leader();
    if (node->was_leader)
    {
        node->grants.on_elected(node->leader.last_granted_at(), network_.now());
        node->grants.update_members(node->members.names());
        node->view.authority.on_token(election.token());
        grant_to_self(node);
        repeat_watch(node);
    }
    update_follow_mode(node);
    node->vm_reports.clear();
    node->next_notice_at.clear();
    node->failover.abort_replacement();
    node->primary_failing_since.reset();
}

milliseconds fleet_simulation::grant_validity(const vm_ptr& node) const
{
    const auto now = network_.now();
    return grant_tracker::allowed_validity(
        node->election, node->view.authority.highest_token(),
        node->vm_reports.majority_answered_at(node->members.size(), now), now);
}

void fleet_simulation::grant_to_self(const vm_ptr& node)
{
    const auto validity = grant_validity(node);
    if (validity.count() == 0)
        return;
    node->leader.on_grant(node->election.token(), 0, network_.now());
    node->view.authority.on_grant(node->election.token(), network_.now(),
                                  validity);
    node->grants.on_granted(node->machine->name, validity, network_.now());
}

void fleet_simulation::renew_grant(const vm_ptr& node)
{
    update_follow_mode(node);
    if (node->election.is_leader())
        grant_to_self(node);
    else
        send_report(node);
    node->view.wait_estimator.on_grant(
        node->view.authority.has_grant(network_.now()), network_.now());
}

fleet_report fleet_simulation::make_report(const vm_ptr& node) const
{
    const auto now = network_.now();
    fleet_report report;
    report.vm = node->machine->name;
    report.incarnation = node->incarnation;
    report.is_registered = node->is_registered;
    report.highest_token = node->view.authority.highest_token();
    report.failing_targets = node->view.health.failing_targets(now);
    report.other_leader_grant_age =
        node->leader.other_leader_grant_age(report.highest_token, now);
    report.echoed_stamp = node->leader.last_grant_stamp(report.highest_token);
    report.lost_relay = node->lost_relay;
    return report;
}

void fleet_simulation::send_report(const vm_ptr& node)
{
    const bool has_relay =
        !node->relay.empty() && node->relay != node->machine->name;
    if (has_relay && !node->waits_for_relay)
        return send_report_to_relay(node);
    if (!has_relay)
        send_report_to_leader(node);
}

void fleet_simulation::send_report_to_leader(const vm_ptr& node)
{
    std::vector<std::string> other_addresses;
    for (const auto& machine : machines_)
        if (machine != node->machine)
            other_addresses.push_back(machine->name);
    const auto address = node->leader.next_report_address(
        node->election.known_leader().address, other_addresses);
    const auto receiver = find_vm(address);
    if (receiver == nullptr)
        return;
    const auto now = network_.now();
    const auto report = make_report(node);
    network_.call<fleet_grant>(
        node->machine, receiver->machine, call_timeout,
        [this, address, report]
        { return answer_report(find_vm(address), report); },
        [this, node, now](const result<fleet_grant>& outcome)
        {
            if (succeeded(outcome))
                apply_grant(node, value_of(outcome), now);
            else
                node->leader.on_report_unanswered();
        },
        delivery::at_most_once);
}

void fleet_simulation::send_report_to_relay(const vm_ptr& node)
{
    const auto relay = find_vm(node->relay);
    if (relay == nullptr)
        return;
    const relayed_report report{
        node->machine->name, ++node->relayed_report_number, make_report(node)};
    node->relayed_report_sent_at = network_.now();
    node->waits_for_relay = true;
    network_.call<bool>(
        node->machine, relay->machine, relay_timeout,
        [this, name = node->relay, report]
        {
            gather_report(find_vm(name), report);
            return true;
        },
        [](const result<bool>&) {}, delivery::at_most_once);
    network_.schedule_after(
        relay_timeout,
        [this, node, number = report.number]
        {
            network_.run_on_host(node->machine, node->boot_number,
                                 [this, node, number]
                                 {
                                     if (!node->waits_for_relay ||
                                         node->relayed_report_number != number)
                                         return;
                                     node->waits_for_relay = false;
                                     node->lost_relay =
                                         std::exchange(node->relay, "");
                                     send_report_to_leader(node);
                                 });
        });
}

void fleet_simulation::gather_report(const vm_ptr& relay,
                                     const relayed_report& report)
{
    if (defect_ == injected_defect::relay_extends_grant &&
        relay->last_relayed_grant.accepted)
        pass_grant_on(relay, report, relay->last_relayed_grant);
    relay->gathered_reports.push_back(report);
    if (relay->gathered_reports.size() > 1)
        return;
    network_.schedule_after(report_relay::gather_interval,
                            [this, relay]
                            {
                                network_.run_on_host(
                                    relay->machine, relay->boot_number,
                                    [this, relay]
                                    { send_gathered_reports(relay); });
                            });
}

void fleet_simulation::send_gathered_reports(const vm_ptr& relay)
{
    const auto gathered = std::exchange(relay->gathered_reports, {});
    relayed_reports reports;
    for (const auto& report : gathered)
        reports.reports.push_back(report.report);
    const auto address = relay->leader.current_leader_address(
        relay->election.known_leader().address);
    const auto leader = relay->election.is_leader() ? relay : find_vm(address);
    if (leader == nullptr)
        return;
    network_.call<relayed_grants>(
        relay->machine, leader->machine,
        relay_timeout - report_relay::gather_interval,
        [this, name = leader->machine->name, reports]
        { return answer_relayed_reports(find_vm(name), reports); },
        [this, relay, gathered, reports](const result<relayed_grants>& outcome)
        {
            if (!succeeded(outcome))
                return;
            for (std::size_t i = 0; i < gathered.size(); ++i)
            {
                const auto grant =
                    relayed_grant_for(reports, value_of(outcome), i);
                relay->last_relayed_grant = grant;
                pass_grant_on(relay, gathered[i], grant);
            }
        },
        delivery::at_most_once);
}

void fleet_simulation::pass_grant_on(const vm_ptr& relay,
                                     const relayed_report& report,
                                     const fleet_grant& grant)
{
    const auto receiver = find_vm(report.vm);
    network_.call<bool>(
        relay->machine, receiver->machine, relay_timeout,
        [this, receiver, report, grant]
        {
            if (!receiver->waits_for_relay ||
                receiver->relayed_report_number != report.number)
                return false;
            receiver->waits_for_relay = false;
            if (grant.accepted)
            {
                apply_grant(receiver, grant, receiver->relayed_report_sent_at);
                return true;
            }
            receiver->relay.clear();
            send_report_to_leader(receiver);
            return true;
        },
        [](const result<bool>&) {}, delivery::at_most_once);
}

relayed_grants
fleet_simulation::answer_relayed_reports(const vm_ptr& node,
                                         const relayed_reports& reports)
{
    relayed_grants answer;
    for (const auto& report : reports.reports)
    {
        auto grant = answer_report(node, report);
        answer.grants.push_back({report.vm, grant.accepted, {}, {}});
        // What the grants have in common is the same for all that are accepted.
        if (grant.accepted || !answer.common.accepted)
            answer.common = std::move(grant);
    }
    return answer;
}

fleet_grant fleet_simulation::answer_report(const vm_ptr& node,
                                            const fleet_report& report)
{
    const auto now = network_.now();
    fleet_grant grant;
    grant.evacuated_domains = node->view.evacuations.names();
    grant.token = node->view.authority.highest_token();
    grant.leader_address = node->election.is_leader()
                               ? node->machine->name
                               : node->election.known_leader().address;
    if (report.highest_token > node->election.token())
    {
        on_higher_token(node, report.highest_token);
        return grant;
    }
    const auto validity = grant_validity(node);
    const bool is_listed = node->members.find(report.vm) != nullptr ||
                           defect_ == injected_defect::grant_to_unlisted_vm;
    if (validity.count() == 0 || !is_listed)
        return grant;
    grant.accepted = true;
    grant.token = node->election.token();
    grant.store_age = std::chrono::duration_cast<milliseconds>(
        now - node->election.lease_confirmed_at());
    grant.validity = validity;
    grant.stamp = static_cast<std::uint64_t>(
        std::chrono::nanoseconds(now.time_since_epoch()).count());
    if (!report.lost_relay.empty())
        node->relays.on_relay_lost(report.lost_relay, now);
    if (faults_.relays)
        grant.relay_address = node->relays.relay_address(
            find_vm(report.vm)->machine->failure_domain, node->machine->name,
            node->members,
            [&](const std::string& vm)
            { return node->vm_reports.is_reporting(vm, now); },
            now);
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
    if (report.highest_token == node->election.token())
        node->grants.on_token_acknowledged(report.vm, report.incarnation,
                                           report.other_leader_grant_age, now);
    node->grants.on_granted(report.vm, validity, now);
    node->vm_reports.on_report(report, now);
    return grant;
}

void fleet_simulation::apply_grant(const vm_ptr& node, const fleet_grant& grant,
                                   time_point sent_at)
{
    auto& authority = node->view.authority;
    const bool obeys_evacuations =
        defect_ != injected_defect::granted_evacuation_ignored;
    if (!grant.accepted && obeys_evacuations)
        node->view.evacuations.add_reported(grant.evacuated_domains,
                                            network_.now());
    if (!grant.accepted)
        return node->leader.on_report_declined(
            grant.token >= authority.highest_token() ? grant.leader_address
                                                     : "");
    if (!authority.on_token(grant.token))
        return;
    if (obeys_evacuations)
        node->view.evacuations.set_granted(grant.evacuated_domains,
                                           network_.now());
    node->leader_store_age = grant.store_age;
    node->relay = grant.relay_address;
    node->lost_relay.clear();
    for (const auto& state : grant.primaries)
    {
        apply_record(node, state.record);
        if (state.has_position)
            node->view.positions[state.record.group].observe(
                {state.record.term, state.position},
                sent_at - state.position_age);
    }
    node->leader.on_grant(grant.token, grant.stamp, network_.now());
    authority.on_grant(grant.token, sent_at,
                       defect_ == injected_defect::grant_without_expiry
                           ? milliseconds(60'000)
                           : grant.validity);
}

notice_receipt fleet_simulation::apply_notice(const vm_ptr& node,
                                              const primary_notice& notice)
{
    notice_receipt receipt;
    receipt.vm = node->machine->name;
    receipt.incarnation = node->incarnation;
    if (!node->view.authority.on_token(notice.token))
    {
        receipt.token = node->view.authority.highest_token();
        return receipt;
    }
    node->leader.set_leader_address(notice.leader_address);
    node->election.on_token_observed(notice.token);
    on_leadership_changed(node);
    for (const auto& state : notice.primaries)
    {
        if (defect_ == injected_defect::closed_record_ignored &&
            !state.record.is_open)
            continue;
        apply_record(node, state.record);
        if (!state.record.is_open)
            node->view.authority.finish_closing(state.record.group);
    }
    receipt.token = notice.token;
    receipt.other_leader_grant_age =
        node->leader.other_leader_grant_age(notice.token, network_.now());
    receipt.accepted = true;
    receipt.held_records.emplace();
    const auto* held = node->view.authority.find(group_name);
    if (defect_ == injected_defect::closed_record_ignored &&
        !notice.primaries.empty())
        held = &notice.primaries.front().record;
    if (held != nullptr)
        receipt.held_records->push_back(*held);
    return receipt;
}

void fleet_simulation::run_leader_tasks(const vm_ptr& node)
{
    const auto now = network_.now();
    if (!node->election.is_leader())
        return;
    if (node->failover.record().is_open && !node->ping_in_progress &&
        now >= node->next_ping_at)
        ping_primary(node);
    if (!node->election.may_act(now) &&
        defect_ != injected_defect::unfenced_leader)
        return;
    // What the predecessor ordered is superseded by what this leader has read.
    if (node->election.has_complete_view())
        node->view.evacuations.set_granted({}, now);
    const std::string previous_step = node->failover.step_name();
    for (const auto& action : node->failover.tick(observe_group(node), now))
        execute(node, action);
    if (previous_step != node->failover.step_name())
        trace(node->machine->name + " is " + node->failover.step_name() +
              ", record " + std::to_string(node->failover.record().revision));
    notify_vms(node);
}

group_observation fleet_simulation::observe_group(const vm_ptr& node) const
{
    const auto now = network_.now();
    group_observation observation;
    observation.reporting_vms = node->vm_reports.reporting_vms(now);
    for (const auto* target : node->view.registry.in_group(group_name))
    {
        target_observation observed;
        observed.record = *target;
        observed.is_evacuated =
            node->view.evacuations.contains(target->failure_domain);
        const auto& server = group_.servers().at(target->id);
        observed.record.claims_primary = server.is_running && server.is_primary;
        if (target->id == node->failover.record().target &&
            node->primary_failing_since &&
            *node->primary_failing_since >= node->failover.opened_at())
            observed.leader_failing_for =
                std::chrono::duration_cast<milliseconds>(
                    now - *node->primary_failing_since);
        for (const auto& failing : node->view.health.failing_targets(now))
            if (failing.target == target->id)
                observed.leader_failing_for = std::max(
                    observed.leader_failing_for.value_or(failing.failing_for),
                    failing.failing_for);
        observed.vms_failing_to_reach = node->vm_reports.vms_failing_to_reach(
            target->id, node->failover.opened_at(), now);
        observation.targets.push_back(std::move(observed));
    }
    observation.synchronous_replicas =
        faults_.synchronous_replicas &&
                defect_ != injected_defect::synchronous_replicas_ignored
            ? 1
            : 0;
    const auto positions = node->view.positions.find(group_name);
    if (positions != node->view.positions.end())
        observation.primary_position =
            positions->second.newest().value_or(log_position{});
    observation.is_record_binding =
        defect_ == injected_defect::promotion_before_binding ||
        node->vm_reports.is_binding(node->failover.record(), node->members,
                                    node->grants, now);
    observation.store_generation =
        defect_ == injected_defect::restored_record_trusted
            ? 0
            : node->store_generation;
    observation.is_inquiry_complete = node->vm_reports.is_inquiry_complete(
        group_name, node->members, node->grants, now);
    return observation;
}

void fleet_simulation::execute(const vm_ptr& node, const group_action& action)
{
    if (const auto* order = std::get_if<write_primary_record>(&action))
        write_record(node, *order);
    else if (const auto* request = std::get_if<request_target_report>(&action))
        request_report(node, request->target, 0);
    else if (const auto* fence = std::get_if<fence_target>(&action))
        request_report(node, fence->target, 0, fence->term);
    else if (const auto* resumption = std::get_if<resume_target>(&action))
        resume(node, resumption->target);
    else if (const auto* demotion = std::get_if<demote_target>(&action))
        request_report(node, demotion->target, demotion->term);
    else if (const auto* promotion = std::get_if<promote_target>(&action))
        promote(node, promotion->target);
}

void fleet_simulation::write_record(const vm_ptr& node,
                                    const write_primary_record& order)
{
    const auto key = std::string(primaries_prefix) + group_name;
    const auto sent_in = node->store_generation;
    std::vector<std::pair<std::string, std::uint64_t>> expected{
        {key, order.expected_revision}};
    if (defect_ != injected_defect::unfenced_leader)
        expected.emplace_back(leader_key, node->election.key_revision());
    const error rejected{error_kind::conflict, "write", "",
                         "write rejected by the store"};
    if (!are_current(node, expected))
        return node->failover.on_write_result(rejected, network_.now());
    call_store(
        node,
        [this, order, key, expected]
        {
            return write_store(
                key, serialize_primary_record(order.record, order.origin), 0,
                expected);
        },
        [this, node, sent_in, rejected](const result<store_reply>& outcome)
        {
            result<std::uint64_t> written = rejected;
            if (!succeeded(outcome))
                written = error_of(outcome);
            else if (value_of(outcome).generation != sent_in)
                written = error{error_kind::broken, "write", "",
                                "the store was restored"};
            else if (value_of(outcome).outcome == standins::store_outcome::done)
                written = make_store_revision(value_of(outcome).generation,
                                              value_of(outcome).revision);
            node->failover.on_write_result(written, network_.now());
        });
}

void fleet_simulation::promote(const vm_ptr& node, const std::string& target)
{
    if (!node->election.may_act(network_.now()) &&
        defect_ != injected_defect::unfenced_leader)
        return node->failover.on_promotion_result(
            target,
            error{error_kind::unreachable, "promote", target,
                  "this VM is no longer the leader"},
            network_.now());
    const auto token = node->election.token();
    if (!faults_.slow_connections || network_.random_fraction() < 0.5)
        return send_promotion(node, target, token);
    network_.schedule_after(
        milliseconds(network_.random_below(max_connection_delay.count())),
        [this, node, target, token]
        {
            network_.run_on_host(node->machine, node->boot_number,
                                 [this, node, target, token]
                                 { send_promotion(node, target, token); });
        });
}

void fleet_simulation::send_promotion(const vm_ptr& node,
                                      const std::string& target,
                                      std::uint64_t token)
{
    const bool may_send = node->election.token() == token &&
                          node->election.may_act(network_.now());
    if (!may_send && defect_ != injected_defect::unfenced_leader &&
        defect_ != injected_defect::authority_checked_before_connecting)
        return node->failover.on_promotion_result(
            target,
            error{error_kind::unreachable, "promote", target,
                  "this VM is no longer the leader"},
            network_.now());
    const auto& replaced = node->failover.record();
    trace(node->machine->name + " promotes " + target + ", " + replaced.target +
          (group_.servers().at(replaced.target).is_running ? " runs"
                                                           : " is down") +
          (replaced.is_planned ? ", planned" : ""));
    store_.process_expirations(network_.now());
    if (!faults_.early_lease_ends && !faults_.store_restores &&
        store_.read(leader_key).revision != token)
        add_violation(node->machine->name +
                      " ordered a promotion without being the leader");
    if (defect_ != injected_defect::unfenced_leader)
        check_promotion_token(node->machine->name, token);
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

void fleet_simulation::request_report(const vm_ptr& node,
                                      const std::string& target,
                                      std::uint64_t demote_below_term,
                                      std::uint64_t fence_below_term)
{
    if (!node->pending_report_requests.insert(target).second)
        return;
    const auto requested_at = network_.now();
    call_server(
        node, target, report_request_timeout,
        [this, demote_below_term,
         fence_below_term](standins::group_server& server)
        {
            if (!server.is_primary && server.term < fence_below_term)
                server.receives_commits = false;
            if (demote_below_term != 0)
                group_.demote(server, demote_below_term);
            server_reply reply;
            reply.report = make_target_report(server);
            return reply;
        },
        [this, node, target, requested_at](const result<server_reply>& outcome)
        {
            node->pending_report_requests.erase(target);
            result<target_report> report = target_report{};
            if (succeeded(outcome))
                report = value_of(outcome).report;
            else
                report = error_of(outcome);
            node->failover.on_report(target, report, requested_at,
                                     network_.now());
        });
}

void fleet_simulation::resume(const vm_ptr& node, const std::string& target)
{
    call_server(
        node, target, report_request_timeout,
        [this](standins::group_server& server)
        {
            group_.resume_replication(server);
            return server_reply();
        },
        [node, target](const result<server_reply>& outcome)
        { node->failover.on_resumed(target, succeeded(outcome)); });
}

void fleet_simulation::ping_primary(const vm_ptr& node)
{
    const auto now = network_.now();
    node->ping_in_progress = true;
    node->next_ping_at = now + ping_interval;
    const auto target = node->failover.record().target;
    const auto* record = node->view.authority.find_usable(group_name, now);
    const auto term =
        record != nullptr && record->target == target ? record->term : 0;
    call_server(
        node, target, ping_timeout,
        [](standins::group_server& server)
        {
            server_reply reply;
            reply.report = make_target_report(server);
            reply.position = reply.report.received_position;
            return reply;
        },
        [node, now, term](const result<server_reply>& outcome)
        {
            node->ping_in_progress = false;
            if (!succeeded(outcome))
            {
                if (!node->primary_failing_since ||
                    *node->primary_failing_since < node->failover.opened_at())
                    node->primary_failing_since = now;
                node->next_ping_at = now;
                return;
            }
            node->primary_failing_since.reset();
            const auto& position = value_of(outcome).position;
            if (term != 0 && position.term == term)
                node->view.positions[group_name].observe(position, now);
        });
}

void fleet_simulation::notify_vms(const vm_ptr& node)
{
    const auto now = network_.now();
    const auto record = node->failover.record();
    const bool is_inquiring = node->failover.is_inquiring();
    if (record.revision == 0 && !is_inquiring)
        return;
    primary_notice notice;
    notice.token = node->election.token();
    notice.leader_address = node->machine->name;
    if (is_inquiring)
        notice.inquired_groups.push_back(group_name);
    else
        notice.primaries.push_back({record, false, 0, milliseconds(0)});
    for (const auto& [name, member] : node->members.all())
    {
        auto& next_at = node->next_notice_at[name];
        const bool is_done =
            is_inquiring
                ? node->vm_reports.has_answered_inquiry(name, group_name)
                : node->vm_reports.has_confirmed(name, record);
        if (now < next_at || is_done)
            continue;
        next_at = now + notice_interval;
        if (name == node->machine->name)
        {
            if (const auto receipt = apply_notice(node, notice);
                receipt.accepted)
                apply_receipt(node, name, notice, receipt);
            continue;
        }
        const auto receiver = find_vm(name);
        if (receiver == nullptr)
            continue;
        network_.call<notice_receipt>(
            node->machine, receiver->machine, notice_timeout,
            [this, name = name, notice]
            { return apply_notice(find_vm(name), notice); },
            [this, node, name = name,
             notice](const result<notice_receipt>& outcome)
            {
                if (!succeeded(outcome) ||
                    notice.token != node->election.token())
                    return;
                if (!value_of(outcome).accepted)
                    return on_higher_token(node, value_of(outcome).token);
                node->grants.on_token_acknowledged(
                    name, value_of(outcome).incarnation,
                    value_of(outcome).other_leader_grant_age, network_.now());
                apply_receipt(node, name, notice, value_of(outcome));
            },
            delivery::at_most_once);
    }
}

void fleet_simulation::apply_receipt(const vm_ptr& node, const std::string& vm,
                                     const primary_notice& notice,
                                     const notice_receipt& receipt)
{
    for (const auto& group : notice.inquired_groups)
        node->vm_reports.on_inquiry_answered(vm, group);
    if (defect_ == injected_defect::restored_record_trusted)
    {
        for (const auto& state : notice.primaries)
            node->vm_reports.on_confirmed(vm, state.record);
        return;
    }
    for (const auto& record : *receipt.held_records)
    {
        node->vm_reports.on_confirmed(vm, record);
        node->failover.on_record(record);
    }
}

void fleet_simulation::on_higher_token(const vm_ptr& node, std::uint64_t token)
{
    node->view.authority.on_token(token);
    if (!node->election.is_leader() || token <= node->election.token())
        return;
    const auto lease = node->election.lease_id();
    node->election.on_token_observed(token);
    on_leadership_changed(node);
    call_store(
        node,
        [this, lease]
        {
            store_.end_lease(lease, network_.now());
            return store_reply();
        },
        [](const result<store_reply>&) {});
}

} // namespace fakes
