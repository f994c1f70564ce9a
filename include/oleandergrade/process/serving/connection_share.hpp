/// How a target's connections are divided among the VMs. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <optional>

namespace oleandergrade
{

/// What one VM may hold at each target of a group.
struct connection_share
{
    std::uint32_t connections = 1;
    /// Connections that were idle for longer are closed; none if they stay.
    std::optional<milliseconds> idle_time;

    bool operator==(const connection_share&) const = default;
};

/// Each VM gets an equal part of a target's connections and keeps it. Where
/// there are too few for that, every VM may open some when it needs them and
/// gives them back soon: VMs use a target a small part of the time each.
connection_share share_connections(std::uint32_t connections_per_target,
                                   std::uint32_t vms);

} // namespace oleandergrade
