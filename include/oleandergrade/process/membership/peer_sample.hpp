/// Chooses a few of the other VMs and keeps them. Pure logic.
#pragma once

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A random choice of VMs, kept as long as they answer. Calls to changing VMs
/// would open links to the whole fleet.
class peer_sample
{
public:
    /// `max_size` is the largest number of chosen VMs.
    peer_sample(std::size_t max_size, std::minstd_rand::result_type seed)
        : max_size_(max_size), random_(seed)
    {
    }

    /// Returns the chosen addresses: those chosen before that are still among
    /// `candidates`, and random other candidates in place of missing ones.
    const std::vector<std::string>&
    choose(const std::vector<std::string>& candidates);
    /// The VM at this address has not answered and is to be replaced.
    void replace(const std::string& address);

private:
    std::size_t max_size_;
    std::minstd_rand random_;
    std::vector<std::string> addresses_;
    /// The VM that was replaced last; it is not chosen again if there are
    /// enough others.
    std::string replaced_address_;
};

} // namespace oleandergrade
