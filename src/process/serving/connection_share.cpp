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

} // namespace oleandergrade
