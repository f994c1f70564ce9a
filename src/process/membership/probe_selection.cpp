#include <oleandergrade/process/membership/probe_selection.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace oleandergrade
{

const std::vector<std::string>&
probe_selection::addresses(const member_list& members,
                           const std::string& own_name)
{
    if (!addresses_.empty())
        return addresses_;
    std::map<std::string, std::vector<std::string>> by_domain;
    for (const auto& [name, member] : members.all())
        if (name != own_name)
            by_domain[member.failure_domain].push_back(member.address);
    std::vector<std::vector<std::string>> domains;
    for (auto& [domain, vms] : by_domain)
    {
        std::shuffle(vms.begin(), vms.end(), random_);
        domains.push_back(std::move(vms));
    }
    std::shuffle(domains.begin(), domains.end(), random_);
    const auto count = std::min<std::size_t>(
        max_vms, members.size() - (members.find(own_name) == nullptr ? 0 : 1));
    for (std::size_t i = 0; addresses_.size() < count; ++i)
    {
        auto& vms = domains[i % domains.size()];
        if (vms.empty())
            continue;
        addresses_.push_back(std::move(vms.back()));
        vms.pop_back();
    }
    return addresses_;
}

} // namespace oleandergrade
