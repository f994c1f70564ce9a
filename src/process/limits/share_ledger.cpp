#include <oleandergrade/process/limits/share_ledger.hpp>

#include <algorithm>
#include <cmath>

namespace oleandergrade
{

namespace
{

constexpr auto min_retry_delay = milliseconds(20);
constexpr auto max_retry_delay = milliseconds(1000);
/// A share is kept unless the VM's fair share differs from it by at least this
/// fraction of the fair share; the reserve makes up for the difference.
constexpr double min_share_change_fraction = 0.35;
/// Operations per second; avoids a division by a rate of zero.
constexpr double min_rate_per_second = 1e-3;

} // namespace

share_ledger::share_ledger(limit_tolerance tolerance, bool starts_full)
    : tolerance_(tolerance), starts_full_(starts_full)
{
}

void share_ledger::use_limits(
    const std::map<std::string, route_account>& accounts, time_point now)
{
    std::erase_if(accounts_, [&](const auto& entry)
                  { return !accounts.contains(entry.first); });
    const bool fill_reserves = starts_full_ && accounts_.empty();
    for (const auto& [name, account] : accounts)
    {
        const auto [found, is_new] = accounts_.try_emplace(name);
        auto& state = found->second;
        if (!is_new)
            fill(state, now);
        state.budget = budget_of(account, tolerance_);
        state.takeover_burst = restart_burst(account, tolerance_) / 2;
        state.filled_at = now;
        if (is_new && fill_reserves)
            state.reserve = state.budget.reserved_burst();
    }
}

void share_ledger::use_members(std::uint32_t member_count,
                               std::uint32_t reporting_count)
{
    members_ = std::max<std::uint32_t>(member_count, 1);
    in_touch_ = std::clamp<std::uint32_t>(reporting_count, 1, members_);
}

void share_ledger::take_over(time_point now)
{
    learning_until_ = starts_full_ ? now : now + learning_time;
    // The first leader of a new fleet has no earlier shares to reconstruct.
    starts_full_ = false;
    learnt_from_.clear();
    for (auto& [name, account] : accounts_)
    {
        account.vms.clear();
        account.filled_at = now;
        // How much the previous leader left in the reserve is not known.
        account.reserve = std::max(account.reserve,
                                   account.takeover_burst * reachable_part());
    }
}

std::vector<account_share>
share_ledger::divide(const std::string& vm,
                     const std::vector<account_demand>& demands, time_point now)
{
    learnt_from_.insert(vm);
    std::vector<account_share> shares;
    for (const auto& demand : demands)
    {
        const auto found = accounts_.find(demand.account);
        if (found != accounts_.end())
            shares.push_back(divide_account(found->second, vm, demand, now));
    }
    return shares;
}

bool share_ledger::is_learning(time_point now) const
{
    return now < learning_until_ && learnt_from_.size() < members_;
}

// VMs that report get shares by demand; for each other VM an equal fraction of
// the budget is kept free.
double share_ledger::reachable_part() const
{
    return static_cast<double>(in_touch_) / members_;
}

double share_ledger::held_by_all(const account_state& account, time_point now)
{
    double held_rate = 0;
    for (const auto& [vm, share] : account.vms)
        held_rate += now < share.valid_until ? share.held : 0;
    return held_rate;
}

account_share share_ledger::divide_account(account_state& account,
                                           const std::string& vm,
                                           const account_demand& demand,
                                           time_point now)
{
    // Until now the reserve accumulated what no VM held.
    fill(account, now);
    auto& own_share = account.vms[vm];
    own_share.held = 0;
    own_share.wanted = demand.wanted;
    double total_wanted_rate = 0;
    for (const auto& [other, share] : account.vms)
        if (other == vm || now < share.valid_until)
            total_wanted_rate += share.wanted;
    const auto divisible_rate = account.budget.shared_rate() * reachable_part();
    const auto demand_fraction =
        total_wanted_rate > 0 ? demand.wanted / total_wanted_rate : 0.0;
    // Until all shares of the previous leader are known or have expired, a VM
    // keeps the share it has; the rest comes out of the reserve.
    const auto free_rate =
        std::max(0.0, divisible_rate - held_by_all(account, now));
    const auto fair_rate = divisible_rate * demand_fraction;
    // What is taken from a VM's share still counts there until the VM reports
    // again and is missing at both VMs; so shares move only for larger changes.
    const bool keeps_share =
        is_learning(now) || std::abs(fair_rate - demand.held) <
                                min_share_change_fraction * fair_rate;
    const auto rate =
        keeps_share ? demand.held : std::min(fair_rate, free_rate);
    own_share.held = std::max(rate, demand.held);
    own_share.valid_until =
        now + operation_limiter::share_validity + validity_margin;
    const auto total_shared_rate = account.budget.shared_rate();
    const auto burst = account.budget.shared_burst();
    return {demand.account, rate,
            total_shared_rate > 0 ? burst * rate / total_shared_rate : 0};
}

void share_ledger::fill(account_state& account, time_point now) const
{
    const auto elapsed =
        std::chrono::duration<double>(now - account.filled_at).count();
    account.filled_at = now;
    const auto fraction = reachable_part();
    // While shares of the previous leader are not known, only the fraction that
    // was never shared is certain to be free.
    const auto unheld_rate = is_learning(now) ? 0.0
                                              : account.budget.rate * fraction -
                                                    held_by_all(account, now);
    const auto rate =
        std::max(account.budget.reserved_rate() * fraction, unheld_rate);
    const auto burst = account.budget.reserved_burst() * fraction;
    account.reserve = std::min(account.reserve + elapsed * rate, burst);
}

admission share_ledger::borrow(const std::string& account, time_point now)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
        return {false, max_retry_delay, false};
    auto& state = found->second;
    fill(state, now);
    if (state.reserve >= 1)
    {
        state.reserve -= 1;
        return {true, milliseconds(0), false};
    }
    const auto rate =
        std::max(state.budget.reserved_rate(), min_rate_per_second);
    const auto time_to_operation = milliseconds(static_cast<std::int64_t>(
        std::ceil(1000 * (1 - state.reserve) / rate)));
    return {false,
            std::clamp(time_to_operation, min_retry_delay, max_retry_delay),
            false};
}

} // namespace oleandergrade
