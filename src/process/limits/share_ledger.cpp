#include <oleandergrade/process/limits/share_ledger.hpp>

#include <oleandergrade/process/limits/operation_limiter.hpp>

#include <algorithm>

namespace oleandergrade
{

void share_ledger::use_limits(
    const std::map<std::string, route_account>& accounts)
{
    std::erase_if(accounts_, [&](const auto& entry)
                  { return !accounts.contains(entry.first); });
    for (const auto& [name, account] : accounts)
        accounts_[name].limits = account;
}

void share_ledger::use_members(std::uint32_t members)
{
    members_ = std::max<std::uint32_t>(members, 1);
}

void share_ledger::take_over(time_point now)
{
    learning_until_ = now + operation_limiter::share_validity + validity_margin;
    for (auto& [name, account] : accounts_)
        account.vms.clear();
}

std::vector<account_share>
share_ledger::divide(const std::string& vm,
                     const std::vector<account_demand>& demands, time_point now)
{
    std::vector<account_share> shares;
    for (const auto& demand : demands)
    {
        const auto found = accounts_.find(demand.account);
        if (found != accounts_.end())
            shares.push_back(divide_account(found->second, vm, demand, now));
    }
    return shares;
}

account_share share_ledger::divide_account(account_state& account,
                                           const std::string& vm,
                                           const account_demand& demand,
                                           time_point now)
{
    const auto rate = account.limits.rate;
    const auto even = rate / members_;
    auto& own = account.vms[vm];
    own.wanted = demand.wanted;
    double wanted_by_all = 0;
    double held_by_others = 0;
    std::uint32_t reporting = 1;
    for (const auto& [other, share] : account.vms)
    {
        if (other != vm && now >= share.valid_until)
            continue;
        wanted_by_all += share.wanted;
        if (other == vm)
            continue;
        held_by_others += share.rate;
        ++reporting;
    }
    const auto silent = members_ > reporting ? members_ - reporting : 0;
    const auto part =
        wanted_by_all > 0 ? demand.wanted / wanted_by_all : 1.0 / reporting;
    const auto divided = rate * (members_ - silent) / members_;
    const auto fair =
        divided * ((1 - even_part) * part + even_part / reporting);
    // Before all shares of the holder before have run out, nobody gets more
    // than it has.
    const auto free = now < learning_until_
                          ? std::max(demand.held, even)
                          : std::max(0.0, divided - held_by_others);
    own.rate = std::min(fair, free);
    own.valid_until = now + operation_limiter::share_validity + validity_margin;
    const auto burst = account.limits.burst * operation_limiter::burst_part;
    return {demand.account, own.rate, rate > 0 ? burst * own.rate / rate : 0};
}

} // namespace oleandergrade
