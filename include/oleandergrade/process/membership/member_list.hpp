/// The VMs of the fleet, as they have registered in the store. Pure logic.
#pragma once

#include <oleandergrade/error.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A VM's registration. It outlasts the VM, so that whoever holds the duty
/// next knows every VM that may hold a grant.
struct fleet_member
{
    std::string name;
    /// Where it takes calls of other VMs.
    std::string address;
    std::uint64_t incarnation = 0;

    bool operator==(const fleet_member&) const = default;
};

std::string serialize_fleet_member(const fleet_member& member);
/// Errors: step "parse fleet member".
result<fleet_member> parse_fleet_member(const std::string& value);

class member_list
{
public:
    void put(const fleet_member& member);
    void remove(const std::string& name);
    const fleet_member* find(const std::string& name) const;
    const std::map<std::string, fleet_member>& all() const { return members_; }
    std::vector<std::string> names() const;
    /// Position of a VM among the names; the size of the list if unknown.
    std::size_t rank_of(const std::string& name) const;
    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(members_.size());
    }

private:
    std::map<std::string, fleet_member> members_;
};

} // namespace oleandergrade
