/// Chooses the VMs that hold the sessions at shared targets. Runs at the
/// leader. Without I/O.
#pragma once

#include <oleandergrade/connection/holder_table.hpp>
#include <oleandergrade/process/forwarding/sharing_policy.hpp>
#include <oleandergrade/process/membership/member_list.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace oleandergrade
{

/// The leader's view that the choice depends on.
struct assignment_input
{
    /// Number of connections that each target of a group accepts, by group.
    std::map<std::string, std::uint32_t> connections_per_target;
    const member_list* members = nullptr;
    /// Whether the VM with this name reports to the leader and does not stop.
    std::function<bool(const std::string& vm)> is_available;
    /// Name of the leader's VM.
    std::string leader;
    /// The leader's fencing token.
    std::uint64_t token = 0;
};

/// Makes the holder table and changes it as little as possible: a holder stays
/// as long as it is available.
class holder_assigner
{
public:
    explicit holder_assigner(sharing_policy policy) : policy_(policy) {}

    /// A new leader continues with the table that it has received from its
    /// predecessor.
    void adopt(const holder_table& table) { table_ = table; }
    /// A VM has reported a table of this version. If it is newer than this
    /// leader's table, which the predecessor may have changed after its last
    /// grant to this VM, the next update replaces it by a table with a higher
    /// version.
    void on_version_reported(std::uint64_t version)
    {
        reported_version_ = std::max(reported_version_, version);
    }
    /// Brings the table up to date. Returns whether it has changed.
    bool update(const assignment_input& input);
    const holder_table& table() const { return table_; }

private:
    sharing_policy policy_;
    holder_table table_;
    /// Highest version that a VM has reported.
    std::uint64_t reported_version_ = 0;
};

} // namespace oleandergrade
