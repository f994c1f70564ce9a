#include "control_fleet.hpp"

#include <algorithm>
#include <ctime>

namespace capacity
{

namespace
{
constexpr auto between_reads = milliseconds(510);
} // namespace

double cpu_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

control_fleet::control_fleet(std::size_t nodes, std::size_t domains,
                             std::size_t databases)
{
    vm_list list;
    for (std::size_t d = 0; d < domains; ++d)
        domains_.push_back("domain-" + std::to_string(d));
    for (std::size_t i = 0; i < nodes; ++i)
    {
        member each;
        each.domain = domains_[i % domains];
        each.name = each.domain + "-vm-" + std::to_string(i);
        each.plane = std::make_unique<control_plane>(
            control_identity{each.name, each.domain, i + 1}, now_);
        list.vms.push_back({each.name, "10.0.0.1:7301", each.domain, false});
        list.text += each.name + " 10.0.0.1:7301 " + each.domain + "\n";
        members_.push_back(std::move(each));
    }
    std::vector<group_record> groups;
    for (std::size_t i = 0; i < databases; ++i)
        groups.push_back({"database-" + std::to_string(i), 2,
                          "database-" + std::to_string(i) + "-a", true, ""});
    const auto shared = std::make_shared<const vm_list>(list);
    for (auto& each : members_)
    {
        by_name_[each.name] = &each;
        each.plane->use_vms(shared);
        each.plane->use_configuration(1, domains_);
        for (const auto& record : groups)
            each.plane->use_group(record, now_ - seconds(60));
        versions_[each.name] = 1;
    }
}

std::size_t control_fleet::transfer(const peer_body& body)
{
    const auto frame = encode_peer_message({1, body});
    const auto decoded = decode_peer_message(frame);
    return succeeded(decoded) ? frame.size() + 4 : 0;
}

void control_fleet::tick(member& each)
{
    const auto start = cpu_seconds();
    const auto actions = each.plane->tick(now_, 0.5);
    each.cpu += cpu_seconds() - start;
    for (const auto& action : actions)
        perform(each, action);
    spread(each);
}

void control_fleet::perform(member& each, const control_action& action)
{
    if (const auto* election = std::get_if<election_action>(&action))
    {
        run_election(each, election->call);
        return;
    }
    if (std::holds_alternative<read_platform_action>(action))
    {
        // Configuration revision, VM list and group revision.
        platform_reads_ += 3;
        versions_[each.name] = version_;
        each.plane->use_configuration(version_, domains_);
        each.plane->on_platform_read(version_, now_);
        return;
    }
    const auto& send = std::get<send_heartbeat_action>(action);
    auto& peer = *by_name_.at(send.vm);
    const auto start = cpu_seconds();
    const auto sent_bytes = static_cast<double>(transfer(send.state));
    const heartbeat_reply reply{peer.plane->on_heartbeat(send.state, now_)};
    const auto reply_bytes = static_cast<double>(transfer(reply));
    each.plane->on_heartbeat_reply(send.vm, reply.state, now_);
    const auto spent = cpu_seconds() - start;
    for (auto* side : {&each, &peer})
    {
        side->bytes += sent_bytes + reply_bytes;
        side->messages += 2;
        side->cpu += spent / 2;
    }
    spread(peer);
}

void control_fleet::run_election(member& each, election_call call)
{
    auto& election = each.plane->election();
    const auto key = "leads/" + each.domain;
    if (call.what == election_call::kind::read)
    {
        const auto stored = store_.get(key, now_);
        election.on_read(
            stored ? platform_value{key, stored->value, stored->revision}
                   : platform_value{key, "", 0},
            now_);
        return;
    }
    if (call.what == election_call::kind::acquire)
    {
        const auto revision = store_.compare_and_swap(
            key, 0, each.name + "#1", lead_election::lease_duration, now_);
        if (revision)
            election.on_acquired(*revision, now_, now_);
        else
            election.on_acquired(error{error_kind::conflict, "cas", "", ""},
                                 now_, now_);
        return;
    }
    const bool renewed =
        store_.renew(key, call.revision, lead_election::lease_duration, now_);
    if (renewed)
        election.on_renewed(true, now_, now_);
    else
        election.on_renewed(error{error_kind::conflict, "renew", "", ""}, now_,
                            now_);
}

// Fetches a newer version from whoever has it.
void control_fleet::spread(member& each)
{
    for (const auto& news : each.plane->take_news())
    {
        const auto* newer = std::get_if<newer_configuration>(&news);
        if (newer == nullptr || versions_[each.name] >= newer->version)
            continue;
        versions_[each.name] = newer->version;
        each.plane->use_configuration(newer->version, domains_);
    }
}

control_cost control_fleet::run(double run_seconds)
{
    const auto step = milliseconds(20);
    const auto warm_up = seconds(5);
    const auto warm_end = now_ + warm_up;
    for (; now_ < warm_end; now_ += step)
        for (auto& each : members_)
            tick(each);
    for (auto& each : members_)
    {
        each.bytes = 0;
        each.messages = 0;
        each.cpu = 0;
    }
    const auto counts = store_.counts();
    const auto reads = platform_reads_;
    control_cost cost;
    // All leads began at the same time; the change comes between their reads.
    const auto changed_at = now_ + between_reads;
    const auto end = now_ + std::chrono::duration_cast<duration>(
                                std::chrono::duration<double>(run_seconds));
    for (; now_ < end; now_ += step)
    {
        for (auto& each : members_)
            tick(each);
        if (version_ == 1 && now_ >= changed_at)
            ++version_;
        const bool everywhere =
            version_ > 1 &&
            std::all_of(versions_.begin(), versions_.end(),
                        [&](const auto& v) { return v.second == version_; });
        const std::chrono::duration<double> spread_time = now_ - changed_at;
        if (everywhere && cost.spread_seconds == 0)
            cost.spread_seconds = spread_time.count();
    }
    const auto nodes = static_cast<double>(members_.size());
    for (const auto& each : members_)
    {
        cost.bytes_per_node_second += each.bytes / nodes / run_seconds;
        cost.messages_per_node_second += each.messages / nodes / run_seconds;
        cost.core_percent_per_node += each.cpu * 100 / nodes / run_seconds;
        cost.lead_bytes_per_second =
            std::max(cost.lead_bytes_per_second, each.bytes / run_seconds);
        cost.lead_core_percent =
            std::max(cost.lead_core_percent, each.cpu * 100 / run_seconds);
    }
    const auto after = store_.counts();
    const auto calls = after.get - counts.get + after.renew - counts.renew +
                       after.compare_and_swap - counts.compare_and_swap +
                       platform_reads_ - reads;
    cost.platform_calls_per_second = static_cast<double>(calls) / run_seconds;
    return cost;
}

} // namespace capacity
