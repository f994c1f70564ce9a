/// Chooses the VMs that a VM probes to find out whether it is cut off. Pure
/// logic.
#pragma once

#include <oleandergrade/process/membership/member_list.hpp>

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A random choice of VMs in which every failure domain has its part. It is
/// kept for as long as the VM has no leader: if silent VMs were replaced by
/// others, the choice would end up with the VMs of the own domain, which answer
/// also while all of it is cut off.
class probe_selection
{
public:
    static constexpr std::size_t max_vms = 8;

    explicit probe_selection(std::minstd_rand::result_type seed) : random_(seed)
    {
    }

    /// Returns the addresses of the chosen VMs. Chooses them if there is no
    /// choice; `own_name` is left out.
    const std::vector<std::string>& addresses(const member_list& members,
                                              const std::string& own_name);
    /// The VM has a leader; the next choice is a new one.
    void discard() { addresses_.clear(); }

private:
    std::minstd_rand random_;
    std::vector<std::string> addresses_;
};

} // namespace oleandergrade
