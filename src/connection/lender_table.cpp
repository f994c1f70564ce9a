#include <oleandergrade/connection/lender_table.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace oleandergrade
{

namespace
{

std::uint64_t rendezvous_weight(const std::string& account,
                                const std::string& vm)
{
    const auto account_hash = XXH64(account.data(), account.size(), 0);
    return XXH64(vm.data(), vm.size(), account_hash);
}

} // namespace

account_lenders::account_lenders(lender_table table) : table_(std::move(table))
{
    std::map<std::string, std::size_t> sizes;
    for (const auto& listed : table_.lenders)
        ++sizes[listed.failure_domain];
    for (const auto& [domain, size] : sizes)
        count_ += table_.lenders_per_account == 0
                      ? size
                      : std::min<std::size_t>(size, table_.lenders_per_account);
}

bool account_lenders::contains(const std::string& vm) const
{
    return std::any_of(table_.lenders.begin(), table_.lenders.end(),
                       [&](const lender& listed) { return listed.vm == vm; });
}

bool account_lenders::contains(const std::string& account,
                               const std::string& vm) const
{
    const auto& lenders = of(account);
    return std::any_of(lenders.begin(), lenders.end(),
                       [&](const lender& chosen) { return chosen.vm == vm; });
}

const std::vector<lender>& account_lenders::of(const std::string& account) const
{
    const auto found = chosen_.find(account);
    if (found != chosen_.end())
        return found->second;
    return chosen_.emplace(account, choose(account)).first->second;
}

std::vector<lender> account_lenders::choose(const std::string& account) const
{
    if (table_.lenders_per_account == 0)
        return table_.lenders;
    std::map<std::string, std::vector<std::pair<std::uint64_t, lender>>>
        domains;
    for (const auto& listed : table_.lenders)
        domains[listed.failure_domain].emplace_back(
            rendezvous_weight(account, listed.vm), listed);
    std::vector<lender> chosen;
    for (auto& [domain, candidates] : domains)
    {
        std::sort(candidates.rbegin(), candidates.rend());
        candidates.resize(std::min<std::size_t>(candidates.size(),
                                                table_.lenders_per_account));
        for (auto& candidate : candidates)
            chosen.push_back(std::move(candidate.second));
    }
    return chosen;
}

} // namespace oleandergrade
