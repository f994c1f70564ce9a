#include <oleandergrade/process/fleet_state.hpp>

#include <oleandergrade/process/event_log.hpp>

#include <algorithm>
#include <random>

namespace oleandergrade
{

namespace
{

std::uint64_t random_number()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

} // namespace

fleet_state::fleet_state(boost::asio::any_io_executor executor,
                         vm_settings initial_settings, platform_parts& parts)
    : settings(std::move(initial_settings)), platform(parts),
      store(*parts.store), incarnation(random_number()),
      pool(std::move(executor), *parts.codec, view),
      limiter(settings.tolerance(), settings.is_first_start),
      holders(settings.advertised_peer_address)
{
}

void fleet_state::apply_holder_table(const holder_table& table)
{
    if (!holders.set_table(table))
        return;
    std::uint32_t held = 0;
    for (const auto& [group, slices] : table.groups)
        held += role_in(group)->held_slices;
    log_event(event_level::info, "forwarding", "holder table",
              {{"version", table.version},
               {"groups", table.groups.size()},
               {"slices_held", held}});
    update_limits();
    pool.close_expired_idle(current_time());
}

std::optional<sharing_role> fleet_state::role_in(const std::string& group) const
{
    const auto found = holders.table().groups.find(group);
    if (found == holders.table().groups.end())
        return std::nullopt;
    const auto& own_address = settings.advertised_peer_address;
    sharing_role role;
    role.slices = static_cast<std::uint32_t>(found->second.size());
    role.vms = std::max(members.size(), min_member_count);
    for (const auto& slice : found->second)
    {
        role.held_slices += slice.holder == own_address ? 1 : 0;
        role.is_standby = role.is_standby || slice.standby == own_address;
    }
    return role;
}

void fleet_state::update_limits()
{
    const auto& table = configuration.current();
    if (table == nullptr)
        return;
    // An empty list has not been received yet: it contains this VM once it has.
    const auto member_count =
        members.size() == 0 ? 0 : std::max(members.size(), min_member_count);
    std::map<std::string, connection_share> connections;
    std::map<std::string, std::uint32_t> slot_limits;
    for (const auto& [name, group] : table->groups)
    {
        if (member_count == 0)
            continue;
        const auto role = role_in(name);
        if (role)
            connections[name] = compute_shared_connection_share(
                group.max_connections_per_target, *role);
        else if (settings.sharing.applies(group.max_connections_per_target,
                                          member_count))
            connections[name] = unassigned_connection_share();
        else
            connections[name] = compute_connection_share(
                group.max_connections_per_target, member_count);
        // The queue of a VM that runs statements for others decides who waits;
        // a target's own queue is filled only beyond its slots.
        if (role && (role->held_slices > 0 || role->is_standby))
            slot_limits[name] = target_pool::all_slots;
    }
    pool.set_slot_limits(std::move(slot_limits));
    pool.set_connection_shares(std::move(connections));
    limiter.set_limits({table->accounts.begin(), table->accounts.end()},
                       member_count, current_time());
}

} // namespace oleandergrade
