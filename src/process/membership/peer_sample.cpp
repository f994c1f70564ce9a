#include <oleandergrade/process/membership/peer_sample.hpp>

#include <algorithm>

namespace oleandergrade
{

const std::vector<std::string>&
peer_sample::choose(const std::vector<std::string>& candidates)
{
    const auto is_candidate = [&](const std::string& address)
    {
        return std::find(candidates.begin(), candidates.end(), address) !=
               candidates.end();
    };
    const auto is_chosen = [&](const std::string& address)
    {
        return std::find(addresses_.begin(), addresses_.end(), address) !=
               addresses_.end();
    };
    std::erase_if(addresses_, [&](const std::string& address)
                  { return !is_candidate(address); });
    if (addresses_.size() >= max_size_)
        return addresses_;
    std::vector<std::string> others;
    for (const auto& address : candidates)
        if (!is_chosen(address) && address != replaced_address_)
            others.push_back(address);
    std::shuffle(others.begin(), others.end(), random_);
    if (is_candidate(replaced_address_) && !is_chosen(replaced_address_))
        others.push_back(replaced_address_);
    for (const auto& address : others)
        if (addresses_.size() < max_size_ && !is_chosen(address))
            addresses_.push_back(address);
    return addresses_;
}

void peer_sample::replace(const std::string& address)
{
    if (std::erase(addresses_, address) > 0)
        replaced_address_ = address;
}

} // namespace oleandergrade
