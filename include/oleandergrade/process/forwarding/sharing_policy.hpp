/// Decides whether the fleet shares the sessions at a group's targets.
#pragma once

#include <cstddef>
#include <cstdint>

namespace oleandergrade
{

/// The settings of the `[fleet]` section that concern shared sessions. All VMs
/// of a fleet must have the same.
struct sharing_policy
{
    /// Number of VMs in the fleet from which on sessions are shared.
    std::size_t min_vms = 5;
    /// Sessions are shared if a target accepts fewer than this for each VM.
    std::size_t dedicated_sessions = 4;
    /// Number of slices into which the accounts of a group are divided, each
    /// with a holder of its own.
    std::size_t slices = 2;

    /// Returns whether the VMs share the sessions at targets that accept
    /// `connections_per_target` connections from all VMs together.
    bool applies(std::uint32_t connections_per_target, std::size_t vms) const
    {
        return vms >= min_vms &&
               connections_per_target < dedicated_sessions * vms;
    }

    bool operator==(const sharing_policy&) const = default;
};

} // namespace oleandergrade
