#include <oleandergrade/process/serving/connection_share.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

/// Connections of each target that are reserved for the leader.
constexpr std::uint32_t leader_connections = 1;
/// Minimum size of an equal share: with fewer connections, a VM cannot serve
/// two accounts at a target at the same time.
constexpr std::uint32_t min_dedicated_connections = 2;
/// Connections that a VM may open at a target when shares are not large enough
/// to be kept while idle.
constexpr std::uint32_t on_demand_connections = 3;
/// Long enough for the next statement of a busy account to reuse the
/// connection, short enough that the number of open connections stays far below
/// the target's limit.
constexpr auto on_demand_idle_timeout = milliseconds(300);
/// Divisor of the largest part of its connections that a holder does not keep
/// idle.
constexpr std::uint32_t max_spare_divisor = 2;
/// Divisor of the part of a slice's connections that its standby may open.
constexpr std::uint32_t standby_divisor = 4;

} // namespace

connection_share compute_connection_share(std::uint32_t connections_per_target,
                                          std::uint32_t vms)
{
    const auto usable_connections =
        connections_per_target > leader_connections
            ? connections_per_target - leader_connections
            : 1;
    const auto equal_share = usable_connections / std::max(vms, 1U);
    if (equal_share >= min_dedicated_connections ||
        usable_connections < on_demand_connections)
        return {std::max(equal_share, 1U), std::nullopt};
    return {on_demand_connections, on_demand_idle_timeout};
}

connection_share unassigned_connection_share()
{
    return {1, on_demand_idle_timeout};
}

connection_share
compute_shared_connection_share(std::uint32_t connections_per_target,
                                const sharing_role& role)
{
    const auto usable_connections =
        connections_per_target > leader_connections
            ? connections_per_target - leader_connections
            : 1;
    const auto per_slice =
        std::max(usable_connections / std::max(role.slices, 1U), 1U);
    if (role.held_slices > 0)
    {
        const auto held = per_slice * role.held_slices;
        const auto vms_per_slice =
            (role.vms + role.slices - 1) / std::max(role.slices, 1U);
        const auto spare = std::min(vms_per_slice * role.held_slices,
                                    held / max_spare_divisor);
        return {held, std::nullopt, std::max(held - spare, 1U)};
    }
    const auto on_demand = std::min(on_demand_connections, usable_connections);
    return {role.is_standby ? std::max(per_slice / standby_divisor, on_demand)
                            : on_demand,
            on_demand_idle_timeout};
}

} // namespace oleandergrade
