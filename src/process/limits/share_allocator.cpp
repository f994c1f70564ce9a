#include <oleandergrade/process/limits/share_allocator.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleandergrade
{

namespace
{

constexpr auto min_retry_delay = milliseconds(20);
constexpr auto max_retry_delay = milliseconds(1000);
/// A share is kept unless the VM's fair share differs from it by at least this
/// fraction of the fair share; the reserve makes up for the difference.
constexpr double min_share_change_fraction = 0.35;
/// The same for lenders, which hold what the other VMs do not need.
constexpr double min_lender_change_fraction = 0.1;
/// Operations per second; avoids a division by a rate of zero.
constexpr double min_rate_per_second = 1e-3;
/// In large fleets, VMs whose share would be smaller, in operations per second,
/// borrow instead: what one VM holds but does not use is missing at the others.
constexpr double min_large_fleet_share = 1;
/// In large fleets a share is at most this fraction of the VM's demand, so that
/// it is used up and the rest stays in the reserve, where all VMs can use it.
constexpr double max_large_fleet_demand_fraction = 0.5;
/// In large fleets a VM that is no lender holds at most this multiple of an
/// equal part of an account's rate, so that a new leader can bound what VMs
/// that have not reported hold.
constexpr double max_equal_parts = 4;
/// How often the leader counts the VMs that are connected.
constexpr auto connected_check_interval = milliseconds(50);
/// In large fleets, a VM that has reported within this time does not use its
/// equal fraction. Shorter than the time after which it does, by more than a
/// report takes.
constexpr auto connected_timeout =
    operation_limiter::large_fleet_share_validity - milliseconds(2000);
/// How long after a VM was last heard of its equal fraction is kept free.
/// Longer than the VM uses it.
constexpr auto equal_fraction_time =
    operation_limiter::equal_fraction_validity + milliseconds(5000);
/// For this time after its election, the leader of a large fleet leaves the
/// shares that VMs hold as they are reported. VMs that were killed together
/// with the previous leader have started again by then.
constexpr auto adoption_time = milliseconds(3000);

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
        if (is_new)
        {
            state.name = name;
            add_possible_lenders(state);
        }
        else
        {
            refill_reserve(state, now);
        }
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

void share_allocator::set_lenders(const lender_table& table)
{
    lenders_ = account_lenders(table);
    for (auto& [name, account] : accounts_)
        add_possible_lenders(account);
}

void share_allocator::add_possible_lenders(account_state& account) const
{
    for (const auto& listed : lenders_.of(account.name))
        account.possible_lenders.insert(listed.vm);
    account.possible_lenders.insert(lenders_.table().former_lenders.begin(),
                                    lenders_.table().former_lenders.end());
}

bool share_allocator::is_lender(const std::string& account,
                                const std::string& vm) const
{
    return has_lenders() && lenders_.contains(account, vm);
}

void share_allocator::on_elected(bool is_first_leader, time_point now)
{
    elected_at_ = now;
    const bool keeps_reserve = starts_full_ && is_first_leader;
    has_earlier_shares_ = !keeps_reserve;
    starts_full_ = false;
    reported_vms_.clear();
    vms_with_demands_ = 0;
    for (auto& [name, account] : accounts_)
    {
        account.shares_by_vm.clear();
        account.total_held_rate = 0;
        account.total_wanted_rate = 0;
        account.total_fair_rate = 0;
        account.rebuilt_rate = 0;
        account.refilled_at = now;
        account.possible_lenders.clear();
        add_possible_lenders(account);
        // There is no record of how much the previous leader left in the
        // reserve.
        if (!keeps_reserve)
            account.reserve = account.reserve_after_election;
    }
}

milliseconds share_allocator::share_validity() const
{
    // Operations lent out of a share may be spent a little after it has
    // expired.
    return is_large_fleet() ? operation_limiter::large_fleet_share_validity +
                                  operation_limiter::loan_validity
                            : operation_limiter::share_validity;
}

bool share_allocator::has_lenders() const
{
    return member_count_ >= lending_fleet_size && !lenders_.empty();
}

void share_allocator::on_registered(const std::string& vm, time_point now)
{
    reported_vms_[vm].registered_at = now;
}

bool share_allocator::on_report(const std::string& vm,
                                std::uint64_t incarnation, time_point now)
{
    auto& status = reported_vms_[vm];
    if (status.previous_incarnation != 0 &&
        status.previous_incarnation == incarnation)
        return false;
    if (status.incarnation != 0 && status.incarnation != incarnation)
    {
        status.previous_incarnation = status.incarnation;
        for (auto& [name, account] : accounts_)
        {
            refill_reserve(account, now);
            const auto found = account.shares_by_vm.find(vm);
            if (found == account.shares_by_vm.end())
                continue;
            account.total_held_rate -= found->second.max_held_rate;
            account.total_wanted_rate -= found->second.wanted_rate;
            account.total_fair_rate -= found->second.fair_rate;
            account.shares_by_vm.erase(found);
        }
    }
    status.incarnation = incarnation;
    status.reported_at = now;
    return true;
}

std::vector<account_share>
share_allocator::allocate(const std::string& vm,
                          const std::vector<account_demand>& demands,
                          time_point now)
{
    auto& status = reported_vms_[vm];
    status.reported_at = now;
    const bool is_first_report =
        !std::exchange(status.has_reported_demands, true);
    if (is_first_report)
        ++vms_with_demands_;
    std::vector<account_share> shares;
    const bool lends = has_lenders() && lenders_.contains(vm);
    std::set<std::string> allocated;
    for (const auto& demand : demands)
    {
        const auto found = accounts_.find(demand.account);
        if (found == accounts_.end())
            continue;
        if (is_first_report)
            found->second.rebuilt_rate += demand.held_rate;
        if (lends)
            allocated.insert(demand.account);
        shares.push_back(allocate_account(found->second, vm, demand, now));
    }
    // A lender has a share of its accounts also if its own callers do not use
    // them.
    if (lends)
        for (auto& [name, account] : accounts_)
            if (!allocated.contains(name) && lenders_.contains(name, vm))
                shares.push_back(
                    allocate_account(account, vm, {name, 0, 0}, now));
    return shares;
}

bool share_allocator::is_rebuilding(time_point now) const
{
    const auto timeout =
        is_large_fleet() ? share_validity() + validity_margin : rebuild_timeout;
    return has_earlier_shares_ && now < elected_at_ + timeout &&
           vms_with_demands_ < member_count_;
}

std::size_t
share_allocator::unreported_lenders(const account_state& account) const
{
    return static_cast<std::size_t>(std::count_if(
        account.possible_lenders.begin(), account.possible_lenders.end(),
        [&](const std::string& vm)
        {
            const auto found = reported_vms_.find(vm);
            return found == reported_vms_.end() ||
                   !found->second.has_reported_demands;
        }));
}

// A VM that is gone for good never reports. Without this bound, a leader that
// is elected after all VMs were killed would admit nothing until the shares
// that this VM may hold have expired.
double
share_allocator::max_unreported_fraction(const account_state& account) const
{
    const auto& budget = account.budget;
    if (vms_with_demands_ >= member_count_ || budget.rate <= 0)
        return 0;
    const auto missing_lenders =
        static_cast<double>(unreported_lenders(account));
    const auto missing_others =
        std::max(0.0, static_cast<double>(member_count_ - vms_with_demands_) -
                          missing_lenders);
    // The VMs that are no lenders hold the shared part of the rate at most, and
    // the lenders hold equal parts of the rest.
    const auto others_fraction =
        std::min(budget.shared_rate() / budget.rate,
                 missing_others * max_equal_parts / member_count_);
    const auto lenders_fraction =
        std::min(1.0, missing_lenders / static_cast<double>(lenders_.count()));
    return others_fraction + (1 - others_fraction) * lenders_fraction;
}

// VMs that report get shares by demand; for each other VM an equal fraction of
// the budget is kept free.
double share_allocator::reporting_fraction() const
{
    // In fleets of a size in between, VMs may use their equal fraction early.
    const auto present_count = member_count_ < lending_fleet_size
                                   ? reporting_count_
                                   : connected_count_;
    return std::min(1.0, static_cast<double>(present_count + lapsed_count_) /
                             member_count_);
}

void share_allocator::update_connected_count(time_point now)
{
    if (now < connected_count_updated_at_ + connected_check_interval)
        return;
    connected_count_updated_at_ = now;
    lapsed_count_ = fractions_lapse_ ? count_lapsed(now) : 0;
    // VMs of a new fleet have just started, which counts like a report.
    if (!has_earlier_shares_ && now < elected_at_ + connected_timeout)
    {
        connected_count_ = member_count_;
        return;
    }
    connected_count_ = static_cast<std::uint32_t>(std::count_if(
        reported_vms_.begin(), reported_vms_.end(),
        [&](const auto& entry)
        { return now < entry.second.reported_at + connected_timeout; }));
}

std::uint32_t share_allocator::count_lapsed(time_point now) const
{
    if (now < elected_at_ + equal_fraction_time)
        return 0;
    const auto heard_of = static_cast<std::uint32_t>(std::count_if(
        reported_vms_.begin(), reported_vms_.end(),
        [&](const auto& entry)
        {
            const auto& status = entry.second;
            return now < std::max(status.reported_at, status.registered_at) +
                             equal_fraction_time;
        }));
    return member_count_ - std::min(heard_of, member_count_);
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
    account.total_fair_rate = 0;
    account.next_expiry = time_point::max();
    for (const auto& [vm, share] : account.shares_by_vm)
    {
        account.total_held_rate += share.max_held_rate;
        account.total_wanted_rate += share.wanted_rate;
        account.total_fair_rate += share.fair_rate;
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
    auto& own_share =
        account.shares_by_vm.try_emplace(vm, vm_share{0, 0, 0, {}, now})
            .first->second;
    account.total_held_rate -= own_share.max_held_rate;
    account.total_wanted_rate += demand.wanted_rate - own_share.wanted_rate;
    own_share.wanted_rate = demand.wanted_rate;
    const auto fraction = reporting_fraction();
    const bool lends = is_lender(account.name, vm);
    // While VMs that have not reported may hold shares of the previous leader,
    // only what the others reported is moved among them. A small fleet waits
    // for the reports instead, and every VM keeps the share that it has.
    const bool rebuilding = is_rebuilding(now);
    const auto allowed_rate = divisible_rate_of(account.budget) * fraction;
    const auto divisible_rate =
        rebuilding && is_large_fleet()
            ? std::min(std::max(account.rebuilt_rate, rebuilding_rate(account)),
                       allowed_rate)
            : allowed_rate;
    const auto fair_rate =
        lends ? std::max(0.0, divisible_rate - account.total_fair_rate) /
                    static_cast<double>(lenders_.count())
              : demanded_rate(account, demand.wanted_rate, fraction);
    // Lenders share what the other VMs need not have.
    const auto demanded = lends ? 0 : fair_rate;
    account.total_fair_rate +=
        demanded - std::exchange(own_share.fair_rate, demanded);
    const auto free_rate =
        std::max(0.0, divisible_rate - account.total_held_rate);
    // What is taken from a VM's share still counts as held there until that VM
    // reports again. Until then it is missing at both VMs, so shares are moved
    // only for larger changes.
    const auto min_change = fair_rate * (lends ? min_lender_change_fraction
                                               : min_share_change_fraction);
    if (demand.held_rate > 0 && own_share.max_held_rate == 0)
        own_share.held_since = {};
    // Shares that this leader has allocated may move at once.
    const bool is_adopting =
        rebuilding &&
        (!is_large_fleet() || (now < elected_at_ + adoption_time &&
                               own_share.held_since == time_point()));
    const bool keeps_share =
        is_adopting || std::abs(fair_rate - demand.held_rate) < min_change;
    const auto rate =
        keeps_share ? demand.held_rate : std::min(fair_rate, free_rate);
    own_share.max_held_rate = std::max(rate, demand.held_rate);
    own_share.valid_until = now + share_validity() + validity_margin;
    account.total_held_rate += own_share.max_held_rate;
    account.next_expiry = std::min(account.next_expiry, own_share.valid_until);
    return {demand.account, rate, share_burst(account.budget, rate)};
}

double share_allocator::divisible_rate_of(const account_budget& budget) const
{
    return has_lenders() ? budget.rate : budget.shared_rate();
}

double share_allocator::rebuilding_rate(const account_state& account) const
{
    return has_lenders() ? divisible_rate_of(account.budget) *
                               (1 - max_unreported_fraction(account))
                         : 0;
}

double share_allocator::share_burst(const account_budget& budget,
                                    double rate) const
{
    if (has_lenders())
        return budget.rate > 0 ? budget.burst * rate / budget.rate : 0;
    const auto total_shared_rate = budget.shared_rate();
    return total_shared_rate > 0
               ? budget.shared_burst() * rate / total_shared_rate
               : 0;
}

double share_allocator::demanded_rate(const account_state& account,
                                      double wanted_rate, double fraction) const
{
    const auto demand_fraction = account.total_wanted_rate > 0
                                     ? wanted_rate / account.total_wanted_rate
                                     : 0.0;
    const auto rate = account.budget.shared_rate() * fraction * demand_fraction;
    if (!has_lenders())
        return rate;
    const auto limited_rate =
        std::min({rate, wanted_rate * max_large_fleet_demand_fraction,
                  account.budget.rate * max_equal_parts / member_count_});
    return limited_rate < min_large_fleet_share ? 0 : limited_rate;
}

// A lender's bucket is empty when it gets its share, and fills at its rate.
double share_allocator::missing_lender_tokens(const account_state& account,
                                              time_point now) const
{
    double missing = 0;
    for (const auto& listed : lenders_.of(account.name))
    {
        const auto found = account.shares_by_vm.find(listed.vm);
        if (found == account.shares_by_vm.end())
            continue;
        const auto& share = found->second;
        const auto elapsed =
            std::chrono::duration<double>(now - share.held_since).count();
        missing +=
            std::max(0.0, share_burst(account.budget, share.max_held_rate) -
                              share.max_held_rate * elapsed);
    }
    return missing;
}

void share_allocator::refill_reserve(account_state& account, time_point now)
{
    update_connected_count(now);
    drop_expired_shares(account, now);
    const auto elapsed =
        std::chrono::duration<double>(now - account.refilled_at).count();
    account.refilled_at = now;
    const auto& budget = account.budget;
    const auto fraction = reporting_fraction();
    const bool rebuilding = is_rebuilding(now);
    const auto unheld_rate =
        (rebuilding ? rebuilding_rate(account) : budget.rate * fraction) -
        account.total_held_rate;
    if (!has_lenders())
    {
        // While shares of the previous leader may be unreported, only the
        // fraction that was never shared is certain to be free.
        const auto rate = std::max(budget.reserved_rate() * fraction,
                                   rebuilding ? 0.0 : unheld_rate);
        account.reserve = std::min(account.reserve + elapsed * rate,
                                   budget.reserved_burst() * fraction);
        return;
    }
    auto burst = account.reserve_after_election;
    if (!rebuilding)
        burst = std::max(
            burst, budget.burst - share_burst(budget, account.total_held_rate) +
                       missing_lender_tokens(account, now) -
                       budget.shared_burst() * (1 - fraction));
    account.reserve =
        std::min(account.reserve + elapsed * std::max(0.0, unheld_rate), burst);
}

admission share_allocator::borrow(const std::string& account, time_point now,
                                  std::uint32_t operations)
{
    const auto found = accounts_.find(account);
    if (found == accounts_.end())
        return {false, max_retry_delay, false};
    auto& state = found->second;
    refill_reserve(state, now);
    if (state.reserve >= 1)
    {
        const auto lent = std::clamp<std::uint32_t>(
            static_cast<std::uint32_t>(state.reserve / 4), 1,
            std::max<std::uint32_t>(operations, 1));
        state.reserve -= lent;
        return {true, milliseconds(0), false, lent};
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
