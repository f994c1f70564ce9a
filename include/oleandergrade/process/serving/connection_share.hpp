/// Divides a target's connections among the VMs. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <optional>

namespace oleandergrade
{

/// The connections that one VM may hold at each target of a group.
struct connection_share
{
    /// Maximum number of connections, idle and in use.
    std::uint32_t max_connections = 1;
    /// Connections that have been idle for longer than this are closed. Not set
    /// if idle connections are kept open.
    std::optional<milliseconds> idle_timeout;
    /// Number of connections, idle and in use, above which a connection that
    /// becomes idle is closed. Not set if the pool's own fraction applies.
    std::optional<std::uint32_t> max_retained = {};

    bool operator==(const connection_share&) const = default;
};

/// Returns the share of one VM. If the target's connections suffice, each VM
/// gets an equal number of connections and keeps them while they are idle.
/// Otherwise every VM may open a few connections on demand and closes them soon
/// after use. The sum of these shares may exceed the target's limit; this works
/// because each VM uses a given target only a small fraction of the time.
///
/// `connections_per_target` is the number of connections that each target
/// accepts from all VMs together. `vms` is the number of VMs; 0 counts as 1.
connection_share compute_connection_share(std::uint32_t connections_per_target,
                                          std::uint32_t vms);

/// A VM's part in serving a group whose sessions are shared.
struct sharing_role
{
    /// Number of slices into which the group's accounts are divided.
    std::uint32_t slices = 1;
    /// Number of these slices that the VM holds.
    std::uint32_t held_slices = 0;
    /// Number of VMs in the fleet.
    std::uint32_t vms = 0;
    /// The VM is the standby of a slice that it does not hold.
    bool is_standby = false;

    bool operator==(const sharing_role&) const = default;
};

/// Returns the share of a VM that does not know the holders yet, in a fleet
/// that shares its sessions. All VMs begin like this after the loss of the
/// whole fleet, while the targets still count the connections of before.
connection_share unassigned_connection_share();

/// Returns the share of one VM if the sessions are shared. The holder of a
/// slice may open an equal part of the connections for each slice. It keeps
/// them while they are idle, except for one for each VM, or half of them in a
/// large fleet: a fleet that was lost as a whole begins anew with these while
/// the target still counts the others. The standby may open a quarter of a
/// slice's part, and the other VMs a few, on demand.
connection_share
compute_shared_connection_share(std::uint32_t connections_per_target,
                                const sharing_role& role);

} // namespace oleandergrade
