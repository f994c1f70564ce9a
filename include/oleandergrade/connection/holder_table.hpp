/// Which VMs hold the sessions at the targets that the fleet shares.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// The VM that holds the sessions of one slice of a group's client accounts.
struct slice_holder
{
    /// Peer address of the VM.
    std::string holder;
    /// Peer address of the VM that serves the slice while the holder does not
    /// answer; may be empty.
    std::string standby;

    bool operator==(const slice_holder&) const = default;
};

/// The holders of all groups whose sessions are shared. Made by the leader; a
/// table with a higher version replaces one with a lower version. A group that
/// is not listed is served by every VM on its own.
struct holder_table
{
    /// The leader's fencing token in the upper 40 bits, the number of the table
    /// among those of this leader in the lower 24; 0 if there is no table.
    std::uint64_t version = 0;
    /// The slices of each group, by the group's name. An account belongs to
    /// the slice with the index `slice_of(account, number of slices)`.
    std::map<std::string, std::vector<slice_holder>> groups;

    bool operator==(const holder_table&) const = default;
};

/// Returns the index of the slice that a client account belongs to. All VMs
/// compute the same index. `slice_count` must not be 0.
std::size_t slice_of(const std::string& account, std::size_t slice_count);

} // namespace oleandergrade
