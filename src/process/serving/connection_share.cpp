#include <oleandergrade/process/serving/connection_share.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

/// Connections of each target that are reserved for the leader.
constexpr std::uint32_t holder_connections = 1;
/// Minimum size of an equal share: with fewer connections, a VM cannot serve
/// two accounts at a target at the same time.
constexpr std::uint32_t least_part = 2;
/// Connections that a VM may open at a target when shares are not large enough
/// to be kept while idle.
constexpr std::uint32_t borrowed_part = 3;
/// Long enough for the next statement of a busy account to reuse the
/// connection, short enough that the number of open connections stays far below
/// the target's limit.
constexpr auto borrowed_idle_time = milliseconds(300);

} // namespace

connection_share share_connections(std::uint32_t connections_per_target,
                                   std::uint32_t vms)
{
    const auto usable = connections_per_target > holder_connections
                            ? connections_per_target - holder_connections
                            : 1;
    const auto part = usable / std::max(vms, 1U);
    if (part >= least_part || usable < borrowed_part)
        return {std::max(part, 1U), std::nullopt};
    return {borrowed_part, borrowed_idle_time};
}

} // namespace oleandergrade
