#include <oleandergrade/process/limits/share_allocator.hpp>

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

share_allocator::share_allocator(limit_tolerance tolerance, bool starts_full)
    : tolerance_(tolerance), starts_full_(starts_full)
{
}

void share_allocator::set_limits(
    const std::map<std::string, client_account>& accounts, time_point now)
{
    std::erase_if(accounts_, [&](const auto& entry)
                  { return !accounts.contains(entry.first); });
    const bool fill_reserves = starts_full_ && accounts_.empty();
    for (const auto& [name, account] : accounts)
    {
        const auto [found, is_new] = accounts_.try_emplace(name);
        auto& state = found->second;
        if (!is_new)
            refill_reserve(state, now);
        state.budget = budget_of(account, tolerance_);
        state.reserve_after_election = restart_burst(account, tolerance_) / 2;
        state.refilled_at = now;
        if (is_new && fill_reserves)
            state.reserve = state.budget.reserved_burst();
    }
}

void share_allocator::set_member_counts(std::uint32_t member_count,
                                        std::uint32_t reporting_count)
{
    member_count_ = std::max<std::uint32_t>(member_count, 1);
    reporting_count_ =
        std::clamp<std::uint32_t>(reporting_count, 1, member_count_);
}

void share_allocator::on_elected(time_point now)
{
    rebuilding_until_ = starts_full_ ? now : now + rebuild_timeout;
    // The first leader of a new fleet has no earlier shares to reconstruct.
    starts_full_ = false;
    reported_vms_.clear();
    for (auto& [name, account] : accounts_)
    {
        account.shares_by_vm.clear();
        account.total_held_rate = 0;
        account.total_wanted_rate = 0;
        account.refilled_at = now;
        // There is no record of how much the previous leader left in the
        // reserve.
        account.reserve =
            std::max(account.reserve,
                     account.reserve_after_election * reporting_fraction());
    }
}

std::vector<account_share>
share_allocator::allocate(const std::string& vm,
                          const std::vector<account_demand>& demands,
                          time_point now)
{
    reported_vms_.insert(vm);
    std::vector<account_share> shares;
    for (const auto& demand : demands)
    {
        const auto found = accounts_.find(demand.account);
        if (found != accounts_.end())
            shares.push_back(allocate_account(found->second, vm, demand, now));
    }
    return shares;
}

bool share_allocator::is_rebuilding(time_point now) const
{
    return now < rebuilding_until_ && reported_vms_.size() < member_count_;
}

// VMs that report get shares by demand; for each other VM an equal fraction of
// the budget is kept free.
double share_allocator::reporting_fraction() const
{
    return static_cast<double>(reporting_count_) / member_count_;
}

void share_allocator::drop_expired_shares(account_state& account,
                                          time_point now)
{
    if (now < account.next_expiry)
        return;
    std::erase_if(account.shares_by_vm, [&](const auto& entry)
                  { return now >= entry.second.valid_until; });
    account.total_held_rate = 0;
    account.total_wanted_rate = 0;
    account.next_expiry = time_point::max();
    for (const auto& [vm, share] : account.shares_by_vm)
    {
        account.total_held_rate += share.max_held_rate;
        account.total_wanted_rate += share.wanted_rate;
        account.next_expiry = std::min(account.next_expiry, share.valid_until);
    }
}

account_share share_allocator::allocate_account(account_state& account,
                                                const std::string& vm,
                                                const account_demand& demand,
                                                time_point now)
{
    // Until now the reserve accumulated what no VM held.
    refill_reserve(account, now);
    auto& own_share = account.shares_by_vm[vm];
    account.total_held_rate -= own_share.max_held_rate;
    account.total_wanted_rate += demand.wanted_rate - own_share.wanted_rate;
    own_share.wanted_rate = demand.wanted_rate;
    const auto divisible_rate =
        account.budget.shared_rate() * reporting_fraction();
    const auto demand_fraction =
        account.total_wanted_rate > 0
            ? demand.wanted_rate / account.total_wanted_rate
            : 0.0;
    // Until all shares of the previous leader have been reported or have
    // expired, a VM keeps the share it has; it borrows the rest from the
    // reserve.
    const auto free_rate =
        std::max(0.0, divisible_rate - account.total_held_rate);
    const auto fair_rate = divisible_rate * demand_fraction;
    // What is taken from a VM's share still counts as held there until that VM
    // reports again. Until then it is missing at both VMs, so shares are moved
    // only for larger changes.
    const bool keeps_share =
        is_rebuilding(now) || std::abs(fair_rate - demand.held_rate) <
                                  min_share_change_fraction * fair_rate;
    const auto rate =
        keeps_share ? demand.held_rate : std::min(fair_rate, free_rate);
    own_share.max_held_rate = std::max(rate, demand.held_rate);
    own_share.valid_until =
        now + operation_limiter::share_validity + validity_margin;
    account.total_held_rate += own_share.max_held_rate;
    account.next_expiry = std::min(account.next_expiry, own_share.valid_until);
    const auto total_shared_rate = account.budget.shared_rate();
    const auto burst = account.budget.shared_burst();
    return {demand.account, rate,
            total_shared_rate > 0 ? burst * rate / total_shared_rate : 0};
}

void share_allocator::refill_reserve(account_state& account,
                                     time_point now) const
{
    drop_expired_shares(account, now);
    const auto elapsed =
        std::chrono::duration<double>(now - account.refilled_at).count();
    account.refilled_at = now;
    const auto fraction = reporting_fraction();
    // While shares of the previous leader may be unreported, only the fraction
    // that was never shared is certain to be free.
    const auto unheld_rate =
        is_rebuilding(now)
            ? 0.0
            : account.budget.rate * fraction - account.total_held_rate;
    const auto rate =
        std::max(account.budget.reserved_rate() * fraction, unheld_rate);
    const auto burst = account.budget.reserved_burst() * fraction;
    account.reserve = std::min(account.reserve + elapsed * rate, burst);
}

admission share_allocator::borrow(const std::string& account, time_point now)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
        return {false, max_retry_delay, false};
    auto& state = found->second;
    refill_reserve(state, now);
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
