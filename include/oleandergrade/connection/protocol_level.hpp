/// The level of the protocol between the VMs.
#pragma once

#include <cstdint>

namespace oleandergrade
{

/// Raised when VMs of earlier builds cannot take part in a decision that all
/// VMs must agree on. A VM states its level in its registration; the leader's
/// grants name the level in force, which is the lowest of all members.
///
/// - 0: every VM derives the lenders from the list of members.
/// - 1: the leader chooses the lenders and names them in its grants, and
///   deletes registrations of VMs that are gone.
inline constexpr std::uint32_t protocol_level = 1;

} // namespace oleandergrade
