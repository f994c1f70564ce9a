#include <oleandergrade/process/serving/connection_share.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

/// Connections of each target that are kept for the duty's holder.
constexpr std::uint32_t holder_connections = 1;
/// An equal part below this leaves no room for two accounts at a time.
constexpr std::uint32_t least_part = 2;
/// What a VM may open where connections are given back.
constexpr std::uint32_t borrowed_part = 3;
/// Long enough for the next statement of a busy account, short enough that
/// the connections in use stay far below the target's cap.
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
