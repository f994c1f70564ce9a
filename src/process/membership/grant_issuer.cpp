#include <oleandergrade/process/membership/grant_issuer.hpp>

#include <oleandergrade/process/membership/report_relay.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

/// How often the holder table is brought up to date.
constexpr auto holder_update_interval = milliseconds(500);
/// Time after an election in which holders count as available before they have
/// reported. Every VM that is running has reported twice within it.
constexpr auto holder_settling_time = milliseconds(800);
/// Time after an election in which no first table is made in a fleet without
/// relays; in others it is the settling time. Most VMs have reported once
/// within it.
constexpr auto first_table_delay = milliseconds(300);

} // namespace

grant_issuer::grant_issuer(fleet_state& state, const leader_election& election,
                           const leader_tracker& leader,
                           failover_driver& failover, grant_tracker& grants)
    : state_(state), election_(election), leader_(leader), failover_(failover),
      grant_tracker_(grants), share_allocator_(state.settings.tolerance(),
                                               state.settings.is_first_start),
      relay_chooser_(state.settings.relay_from),
      holder_assigner_(state.settings.sharing)
{
}

void grant_issuer::on_elected(bool is_first_leader, time_point now)
{
    grant_tracker_.on_elected(leader_.last_granted_at(), now);
    grant_tracker_.update_members(state_.members.names());
    share_allocator_.on_elected(is_first_leader, now);
    relay_chooser_.clear();
    holder_assigner_.adopt(state_.holders.table());
    stopping_vms_.clear();
    elected_at_ = now;
}

void grant_issuer::update_holders(bool is_due, time_point now)
{
    const auto& table = state_.configuration.current();
    const bool is_settling = now < elected_at_ + holder_settling_time;
    const bool has_relays = state_.members.size() >= state_.settings.relay_from;
    const bool awaits_first_reports =
        has_relays ? is_settling : now < elected_at_ + first_table_delay;
    if (table == nullptr || state_.members.size() == 0 ||
        (awaits_first_reports && holder_assigner_.table().groups.empty()) ||
        (!is_due && now - holders_updated_at_ < holder_update_interval))
        return;
    holders_updated_at_ = now;
    std::set<std::string> present_holders;
    if (is_settling)
        for (const auto& [group, slices] : holder_assigner_.table().groups)
            for (const auto& slice : slices)
                present_holders.insert({slice.holder, slice.standby});
    assignment_input input;
    for (const auto& [name, group] : table->groups)
        input.connections_per_target[name] = group.max_connections_per_target;
    input.members = &state_.members;
    input.leader = state_.settings.name;
    input.token = election_.token();
    input.is_available = [&](const std::string& vm)
    {
        if (vm == state_.settings.name)
            return !state_.is_stopping;
        if (stopping_vms_.contains(vm))
            return false;
        const auto* member = state_.members.find(vm);
        return failover_.vm_reports().is_reporting(vm, now) ||
               (member != nullptr && present_holders.contains(member->address));
    };
    if (holder_assigner_.update(input))
        state_.apply_holder_table(holder_assigner_.table());
}

void grant_issuer::on_members_changed(time_point now)
{
    share_allocator_.set_member_counts(
        state_.members.size(), failover_.vm_reports().reporting_vms(now) + 1);
    grant_tracker_.update_members(state_.members.names());
}

void grant_issuer::set_limits(const route_table& table, time_point now)
{
    share_allocator_.set_limits({table.accounts.begin(), table.accounts.end()},
                                now);
}

milliseconds grant_issuer::allowed_validity(time_point now) const
{
    return grant_tracker::allowed_validity(
        election_, state_.view.authority.highest_token(),
        failover_.vm_reports().majority_answered_at(state_.members.size(), now),
        now);
}

std::string grant_issuer::failure_domain_of(const std::string& vm) const
{
    const auto* member = state_.members.find(vm);
    return member == nullptr ? std::string() : member->failure_domain;
}

fleet_grant grant_issuer::answer_report(const fleet_report& report,
                                        time_point now)
{
    const auto common = make_common_grant(failure_domain_of(report.vm), now);
    relayed_reports reports;
    reports.reports.push_back(report);
    relayed_grants answer{common, {answer_with(common, report, now)}};
    add_tables(answer, reports);
    return relayed_grant_for(reports, answer, 0);
}

relayed_grants
grant_issuer::answer_relayed_reports(const relayed_reports& reports,
                                     time_point now)
{
    relayed_grants answer;
    answer.common = make_common_grant(
        reports.reports.empty() ? std::string()
                                : failure_domain_of(reports.reports.front().vm),
        now);
    for (const auto& report : reports.reports)
        answer.grants.push_back(answer_with(answer.common, report, now));
    add_tables(answer, reports);
    return answer;
}

// The tables are the largest part of a grant. One of each for each of the VMs
// of a large domain would exceed the size limit of messages.
void grant_issuer::add_tables(relayed_grants& answer,
                              const relayed_reports& reports) const
{
    if (!answer.common.accepted)
        return;
    const auto& holders = holder_assigner_.table();
    const auto is_wanted = [&](auto version_of, std::uint64_t version)
    {
        return std::any_of(reports.reports.begin(), reports.reports.end(),
                           [&](const fleet_report& report)
                           { return report.*version_of != version; });
    };
    if (is_wanted(&fleet_report::holders_version, holders.version))
        answer.common.holders = holders;
    if (is_wanted(&fleet_report::lenders_version, lenders_.version))
        answer.common.lenders = lenders_;
}

void grant_issuer::grant_to_self(milliseconds validity, time_point now)
{
    state_.view.authority.on_grant(election_.token(), now, validity);
    grant_tracker_.on_granted(state_.settings.name, validity, now);
    share_allocator_.set_member_counts(
        state_.members.size(), failover_.vm_reports().reporting_vms(now) + 1);
    share_allocator_.set_fractions_lapse(state_.members.lowest_level() >= 1 &&
                                         is_current && is_current());
    share_allocator_.on_report(state_.settings.name, state_.incarnation, now);
    state_.limiter.set_shares(
        share_allocator_.allocate(state_.settings.name,
                                  state_.limiter.demands(now), now),
        now, now);
    update_holders(false, now);
}

fleet_grant grant_issuer::make_common_grant(const std::string& failure_domain,
                                            time_point now)
{
    fleet_grant grant;
    grant.configuration_version = state_.configuration.version();
    grant.member_count = state_.members.size();
    // Answers without a grant contain them for VMs that lack both the store and
    // the leader.
    grant.evacuated_domains = state_.view.evacuations.names();
    grant.token = state_.view.authority.highest_token();
    grant.leader_address =
        election_.is_leader()
            ? state_.settings.advertised_peer_address
            : leader_.current_leader_address(election_.known_leader().address);
    const auto validity = allowed_validity(now);
    if (validity.count() == 0)
        return grant;
    grant.accepted = true;
    grant.token = election_.token();
    grant.targets_digest = state_.view.registry.digest();
    // A leader that may miss changes reports an age at which the VMs confirm
    // the state of the store themselves.
    grant.store_age = is_current && is_current()
                          ? std::chrono::duration_cast<milliseconds>(
                                now - election_.lease_confirmed_at())
                          : grant_tracker::store_outage_tolerance;
    grant.validity = validity;
    grant.primaries = failover_.primary_states(now);
    grant.level = state_.members.lowest_level();
    grant.stamp = static_cast<std::uint64_t>(
        std::chrono::nanoseconds(now.time_since_epoch()).count());
    grant.relay_address = relay_chooser_.relay_address(
        failure_domain, state_.settings.name, state_.members,
        [&](const std::string& vm)
        { return failover_.vm_reports().is_reporting(vm, now); },
        now);
    return grant;
}

relayed_grant grant_issuer::answer_with(const fleet_grant& common,
                                        const fleet_report& report,
                                        time_point now)
{
    relayed_grant grant;
    grant.vm = report.vm;
    const auto* reporting_member = state_.members.find(report.vm);
    if (reporting_member != nullptr && on_newer_configuration &&
        report.configuration_version > state_.configuration.version())
        on_newer_configuration(reporting_member->address);
    // This leader would not wait for the grant of a VM that it has not seen
    // registered in the store, nor would the next leader. The registration of
    // an earlier process of the VM is enough, as grants are recorded by name.
    // In the largest fleets the spread of the new registrations also spreads
    // the first grants and the copies that the VMs fetch then.
    const bool must_be_registered =
        state_.members.size() >= state_.settings.relay_from;
    if (election_.is_leader() && report.highest_token > election_.token() &&
        on_higher_token)
    {
        on_higher_token(report.highest_token);
        return grant;
    }
    if (!common.accepted || reporting_member == nullptr ||
        (must_be_registered && !report.is_registered) ||
        report.highest_token > election_.token())
        return grant;
    grant.accepted = true;
    if (!report.lost_relay.empty())
        relay_chooser_.on_relay_lost(report.lost_relay, now);
    const bool is_current_incarnation =
        share_allocator_.on_report(report.vm, report.incarnation, now);
    if (!report.omits_demands && is_current_incarnation)
        grant.shares =
            share_allocator_.allocate(report.vm, report.demands, now);
    // Only a VM that has observed this token rejects grants of earlier leaders.
    if (report.highest_token == election_.token())
        grant_tracker_.on_token_acknowledged(
            report.vm, report.incarnation, report.other_leader_grant_age, now);
    grant_tracker_.on_granted(report.vm, common.validity, now);
    failover_.on_report(report, now);
    const bool has_begun_to_stop =
        report.is_stopping && stopping_vms_.insert(report.vm).second;
    if (!report.is_stopping)
        stopping_vms_.erase(report.vm);
    holder_assigner_.on_version_reported(report.holders_version);
    if (has_begun_to_stop)
        update_holders(true, now);
    return grant;
}

} // namespace oleandergrade
