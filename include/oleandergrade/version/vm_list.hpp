/// The platform's list of VMs, and which of them own a target.
#pragma once

#include <oleandergrade/error.hpp>

#include <string>
#include <vector>

namespace oleandergrade
{

/// One entry VM as the platform lists it.
struct vm
{
    std::string id;
    /// Where daemons reach it.
    std::string peer_address;
    std::string failure_domain;
    bool leaving = false;

    bool operator==(const vm&) const = default;
};

/// One version of the list. Immutable.
struct vm_list
{
    std::vector<vm> vms;
    /// The JSON text it was parsed from.
    std::string text;

    const vm* find(const std::string& id) const;
    std::vector<vm> in_domain(const std::string& failure_domain) const;
};

/// Parses the platform's answer. Errors: step "parse VM list".
result<vm_list> parse_vm_list(const std::string& text);

/// VMs of a target's failure domain in order of preference, by rendezvous
/// hashing. Leaving VMs come last.
std::vector<vm> ranked_owners(const vm_list& list, const std::string& target,
                              const std::string& failure_domain);

/// How many VMs of a domain may own a target at the same time.
inline constexpr std::size_t owners_per_target = 2;

/// A VM's place among a target's owners, or `owners_per_target` if it is
/// none of them.
std::size_t owner_rank(const vm_list& list, const std::string& target,
                       const std::string& failure_domain,
                       const std::string& vm_id);

} // namespace oleandergrade
