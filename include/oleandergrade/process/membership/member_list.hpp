/// The VMs of the fleet as registered in the metadata store. Pure logic.
#pragma once

#include <oleandergrade/error.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// In a fleet of at least this many VMs only some of each failure domain follow
/// the store while there is a leader.
inline constexpr std::size_t large_fleet_size = 12;

/// The registration of a VM. It stays in the store after the VM has stopped, so
/// that the next leader has a record of every VM that may still hold a grant.
struct fleet_member
{
    std::string name;
    /// Address at which the VM accepts calls of other VMs.
    std::string address;
    /// Incarnation of the VM's process.
    std::uint64_t incarnation = 0;
    /// Empty for VMs of earlier versions.
    std::string failure_domain = {};
    /// Processor time that the VM may use; 0 if it is not known.
    unsigned processor_millicores = 0;
    /// Highest level of the protocol that the VM's build knows.
    std::uint32_t level = 0;

    bool operator==(const fleet_member&) const = default;
};

/// The order of VMs for the work that one of several must do.
bool is_stronger(const fleet_member& left, const fleet_member& right);

/// Returns the JSON text that is stored as the VM's registration.
std::string serialize_fleet_member(const fleet_member& member);
/// Parses a registration. Fails with step "parse fleet member" if it is not
/// a JSON object or lacks the name or the address.
result<fleet_member> parse_fleet_member(const std::string& value);

/// All registered VMs by name, whether they are running or not.
class member_list
{
public:
    /// Adds a VM or replaces its registration.
    void put(const fleet_member& member);
    void remove(const std::string& name);
    /// Returns null if no VM of this name is registered.
    const fleet_member* find(const std::string& name) const;
    const std::map<std::string, fleet_member>& all() const { return members_; }
    /// Names of the VMs in alphabetical order.
    std::vector<std::string> names() const;
    /// Position of a VM among all, the strongest first; VMs that are equally
    /// strong are in alphabetical order. The size of the list if the VM is not
    /// registered.
    std::size_t rank_of(const std::string& name) const;
    /// Position of a VM among those of its failure domain, in the same order.
    /// The size of the list if the VM is not registered.
    std::size_t rank_in_domain(const std::string& name) const;
    /// Number of registered VMs in a failure domain.
    std::size_t domain_size(const std::string& failure_domain) const;
    /// The lowest level of the protocol of all VMs; 0 if there is none.
    std::uint32_t lowest_level() const;
    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(members_.size());
    }

private:
    std::map<std::string, fleet_member> members_;
};

} // namespace oleandergrade
