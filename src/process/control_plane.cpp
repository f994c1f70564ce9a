#include <oleandergrade/process/control_plane.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oleandergrade
{

namespace
{

constexpr auto shortest_heartbeat_interval = milliseconds(200);
constexpr auto longest_heartbeat_interval = milliseconds(700);
/// Added for each receiver, which bounds what a lead spends on heartbeats.
constexpr auto interval_per_receiver = milliseconds(12);
constexpr auto platform_read_interval = milliseconds(1000);
/// Without heartbeats for this long, a VM reads the platform itself.
constexpr auto lead_silence = milliseconds(1000);
/// Group records that changed within this time go into every heartbeat.
constexpr auto group_news_period = milliseconds(3000);
/// Unchanged group records that go into each heartbeat, in rotation.
constexpr std::size_t groups_per_heartbeat = 20;

std::uint64_t digest_of(const std::string& text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t digest_of(const group_record& record)
{
    return digest_of(record.database + "\n" + record.primary + "\n" +
                     std::to_string(record.term) + (record.steady ? "s" : ""));
}

std::uint64_t clock_value(time_point at)
{
    return static_cast<std::uint64_t>(to_milliseconds(at.time_since_epoch()));
}

} // namespace

std::string control_identity::lease_value() const
{
    return node + "#" + std::to_string(incarnation);
}

control_plane::control_plane(control_identity identity, time_point now)
    : identity_(std::move(identity)), started_at_(now),
      election_(identity_.lease_value(), now),
      freshness_(identity_.failure_domain), vms_(std::make_shared<vm_list>())
{
}

void control_plane::use_configuration(std::uint64_t version,
                                      const std::vector<std::string>& domains)
{
    version_ = std::max(version_, version);
    freshness_.use_domains(domains);
    freshness_.use_version(version_);
}

void control_plane::use_vms(std::shared_ptr<const vm_list> list)
{
    vms_ = std::move(list);
    held_.vms = digest_of(vms_->text);
    neighbours_.clear();
    others_.clear();
    for (const auto& entry : vms_->vms)
    {
        if (entry.failure_domain != identity_.failure_domain)
            others_[entry.failure_domain].push_back(entry.id);
        else if (entry.id != identity_.node)
            neighbours_.push_back(entry.id);
    }
    election_.use_neighbours(neighbours_);
}

void control_plane::use_group(const group_record& record, time_point now)
{
    auto& known = groups_[record.database];
    // Independent of the order in which records are learned.
    if (known.term > 0)
        held_.groups ^= digest_of(known);
    known = record;
    held_.groups ^= digest_of(known);
    group_changes_[record.database] = now;
}

std::vector<control_action> control_plane::tick(time_point now, double random)
{
    std::vector<control_action> actions;
    const auto call = election_.due(now, random);
    if (call.what != election_call::kind::none)
        actions.push_back(election_action{call});
    const bool lead = election_.leads(now);
    const bool is_silent = now - election_.last_heartbeat() > lead_silence;
    if (now >= next_platform_read_ && (lead || is_silent))
    {
        next_platform_read_ = now + platform_read_interval;
        actions.push_back(read_platform_action{});
    }
    if (!lead)
        return actions;
    learn_lead(identity_.failure_domain, identity_.node);
    for (const auto& vm : heartbeat_receivers(now))
        actions.push_back(send_heartbeat_action{vm, make_heartbeat(vm, now)});
    return actions;
}

heartbeat control_plane::on_heartbeat(const heartbeat& state, time_point now)
{
    const bool is_own_domain = state.failure_domain == identity_.failure_domain;
    const bool claims_lead = state.lead == state.node;
    bool accepted = claims_lead;
    if (is_own_domain)
        accepted = claims_lead &&
                   election_.on_lead_heartbeat(state.node, state.epoch, now);
    if (accepted)
    {
        take_in_common(state.node, state);
        if (is_own_domain)
            freshness_.on_heartbeat(state, echoed_instant(state, now));
    }
    return make_state(now);
}

void control_plane::on_heartbeat_reply(const std::string& vm,
                                       const heartbeat& reply,
                                       time_point sent_at)
{
    auto& peer = peers_[vm];
    peer.incarnation = reply.incarnation;
    peer.clock = reply.clock;
    peer.held = reply.held;
    freshness_.on_heartbeat(reply, sent_at);
    const bool is_own_domain = reply.failure_domain == identity_.failure_domain;
    if (is_own_domain)
    {
        if (reply.lead == identity_.node && reply.epoch == election_.epoch())
            election_.on_vouched(vm, sent_at);
        if (reply.configuration_version > version_)
            news_.push_back(
                newer_configuration{vm, reply.configuration_version});
        return;
    }
    take_in_common(vm, reply);
}

void control_plane::on_platform_read(std::uint64_t latest_version,
                                     time_point sent_at)
{
    freshness_.on_platform_read(latest_version, sent_at);
}

std::vector<control_news> control_plane::take_news()
{
    return std::exchange(news_, {});
}

heartbeat control_plane::make_state(time_point now)
{
    heartbeat state;
    state.node = identity_.node;
    state.failure_domain = identity_.failure_domain;
    state.incarnation = identity_.incarnation;
    state.configuration_version = version_;
    state.confirmation_age = freshness_.confirmation_age(now);
    state.platform_age = freshness_.platform_age(now);
    state.majority_age = freshness_.majority_age(now);
    state.lead =
        election_.leads(now) ? identity_.node : election_.known_lead(now);
    state.epoch = election_.epoch();
    state.clock = clock_value(now);
    state.held = held_;
    return state;
}

heartbeat control_plane::make_heartbeat(const std::string& vm, time_point now)
{
    auto state = make_state(now);
    auto& peer = peers_[vm];
    state.echo = peer.clock;
    if (peer.held.vms != held_.vms)
        state.vms = vms_->text;
    if (peer.held.leads != held_.leads)
        for (const auto& [domain, lead] : leads_)
            state.leads.push_back({domain, lead});
    add_groups(state, peer, now);
    return state;
}

// The VMs of the own domain and one VM of each other domain, its lead if
// that is known.
std::vector<std::string> control_plane::heartbeat_receivers(time_point now)
{
    std::vector<std::string> receivers;
    const auto add_if_due = [&](const std::string& vm, duration interval)
    {
        auto& next = peers_[vm].next_heartbeat;
        if (next > now)
            return;
        next = now + interval;
        receivers.push_back(vm);
    };
    const auto interval = heartbeat_interval();
    for (const auto& vm : neighbours_)
        add_if_due(vm, interval);
    // Other domains are told half as often; their leads send heartbeats too.
    for (const auto& [domain, members] : others_)
        add_if_due(receiver_in(domain, members), interval * 2);
    return receivers;
}

duration control_plane::heartbeat_interval() const
{
    const auto wanted =
        interval_per_receiver * (neighbours_.size() + others_.size());
    return std::clamp<duration>(wanted, shortest_heartbeat_interval,
                                longest_heartbeat_interval);
}

// The lead of another domain, or one of its VMs in turn.
std::string control_plane::receiver_in(const std::string& failure_domain,
                                       const std::vector<std::string>& members)
{
    const auto lead = leads_.find(failure_domain);
    const bool is_listed =
        lead != leads_.end() && std::find(members.begin(), members.end(),
                                          lead->second) != members.end();
    if (is_listed)
        return lead->second;
    return members[rotation_[failure_domain]++ % members.size()];
}

void control_plane::add_groups(heartbeat& state, peer_state& peer,
                               time_point now)
{
    std::erase_if(group_changes_, [&](const auto& change)
                  { return now - change.second > group_news_period; });
    for (const auto& [database, changed_at] : group_changes_)
        state.groups.push_back(groups_.at(database));
    if (peer.held.groups == held_.groups)
        return;
    const auto count = std::min(groups_per_heartbeat, groups_.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        auto next = groups_.upper_bound(peer.last_group);
        if (next == groups_.end())
            next = groups_.begin();
        peer.last_group = next->first;
        state.groups.push_back(next->second);
    }
}

void control_plane::take_in_common(const std::string& vm,
                                   const heartbeat& state)
{
    if (state.configuration_version > version_)
        news_.push_back(newer_configuration{vm, state.configuration_version});
    for (const auto& record : state.groups)
        news_.push_back(record);
    learn_lead(state.failure_domain, state.lead);
    const bool is_from_own_lead =
        state.failure_domain == identity_.failure_domain &&
        state.lead == state.node;
    if (!is_from_own_lead)
        return;
    for (const auto& known : state.leads)
        if (known.failure_domain != identity_.failure_domain)
            learn_lead(known.failure_domain, known.vm);
    if (state.vms.empty() || state.vms == vms_->text)
        return;
    auto parsed = parse_vm_list(state.vms);
    if (succeeded(parsed))
        news_.push_back(vm_list_change{
            std::make_shared<const vm_list>(std::move(value_of(parsed)))});
}

void control_plane::learn_lead(const std::string& failure_domain,
                               const std::string& lead)
{
    auto& known = leads_[failure_domain];
    if (lead.empty() || lead == known)
        return;
    known = lead;
    news_.push_back(lead_change{failure_domain, known});
    update_leads_digest();
}

void control_plane::update_leads_digest()
{
    std::string text;
    for (const auto& [domain, lead] : leads_)
        if (!lead.empty())
            text += domain + "=" + lead + "\n";
    held_.leads = digest_of(text);
}

time_point control_plane::echoed_instant(const heartbeat& state,
                                         time_point now) const
{
    const time_point echoed{milliseconds(state.echo)};
    return echoed < started_at_ || echoed > now ? time_point{} : echoed;
}

} // namespace oleandergrade
