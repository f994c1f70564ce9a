#include <oleandergrade/process/limits/operation_limiter.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleandergrade
{

namespace
{

constexpr auto min_retry_delay = milliseconds(20);
constexpr auto max_retry_delay = milliseconds(2000);
/// Retry time while the number of VMs is unknown. The list of members arrives
/// within one call to the store or one report.
constexpr auto unknown_members_retry_delay = milliseconds(250);
/// Minimum size of a bucket, so that an account with a tiny share can still run
/// single operations.
constexpr double min_burst = 1.0;
/// Lower demand, in operations per second, is not reported to the leader.
constexpr double min_demand_per_second = 0.05;

double in_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

operation_limiter::operation_limiter(limit_tolerance tolerance,
                                     bool starts_full)
    : tolerance_(tolerance), starts_full_(starts_full)
{
}

void operation_limiter::set_limits(
    const std::map<std::string, client_account>& accounts,
    std::uint32_t member_count, time_point now)
{
    // A VM that has just started is as good as connected: the leader does not
    // keep an equal fraction free for it yet.
    if (member_count_ == 0 && member_count != 0)
        connected_until_ = now + large_fleet_share_validity;
    member_count_ = member_count;
    std::erase_if(buckets_, [&](const auto& entry)
                  { return !accounts.contains(entry.first); });
    for (const auto& [name, account] : accounts)
    {
        const auto [found, is_new] = buckets_.try_emplace(name);
        auto& state = found->second;
        if (!is_new)
            refill(state, now);
        const auto earlier_budget =
            std::exchange(state.budget, budget_of(account, tolerance_));
        // A share of an earlier, higher limit is reduced like the limit, so
        // that the shares of all VMs together do not exceed the new one.
        if (state.budget.rate < earlier_budget.rate)
            state.share_rate *= state.budget.rate / earlier_budget.rate;
        if (state.budget.burst < earlier_budget.burst)
            state.share_burst *= state.budget.burst / earlier_budget.burst;
        if (is_new)
        {
            state.refilled_at = now;
            state.demand_updated_at = now;
            state.initial_fleet_tokens =
                starts_full_ ? state.budget.shared_burst()
                             : restart_burst(account, tolerance_);
        }
        take_initial_tokens(state);
    }
    starts_full_ = starts_full_ && buckets_.empty();
}

void operation_limiter::take_initial_tokens(token_bucket& state) const
{
    if (!knows_members())
        return;
    state.tokens +=
        std::exchange(state.initial_fleet_tokens, 0) / member_count_;
}

void operation_limiter::set_shares(const std::vector<account_share>& shares,
                                   time_point requested_at, time_point now)
{
    reporting_until_ =
        std::max(reporting_until_, requested_at + reporting_validity);
    connected_until_ =
        std::max(connected_until_, requested_at + current_share_validity());
    equal_fraction_until_ =
        std::max(equal_fraction_until_, requested_at + equal_fraction_validity);
    for (const auto& share : shares)
    {
        const auto found = buckets_.find(share.account);
        if (found == buckets_.end())
            continue;
        auto& state = found->second;
        refill(state, now);
        state.share_rate = std::min(share.rate, state.budget.rate);
        state.share_burst = std::min(share.burst, state.budget.burst);
        state.share_valid_until = requested_at + current_share_validity();
    }
}

void operation_limiter::on_registered(time_point sent_at)
{
    equal_fraction_until_ =
        std::max(equal_fraction_until_, sent_at + equal_fraction_validity);
}

bool operation_limiter::is_connected(time_point now) const
{
    return now < (is_large_fleet() ? connected_until_ : reporting_until_);
}

milliseconds operation_limiter::current_share_validity() const
{
    return is_large_fleet() ? large_fleet_share_validity : share_validity;
}

admission operation_limiter::admit(const std::string& account, time_point now)
{
    const auto found = buckets_.find(account);
    if (found == buckets_.end())
        return {false, max_retry_delay, false};
    auto& state = found->second;
    decay_demand(state, now);
    state.recent_operations += 1;
    refill(state, now);
    // Lent operations are spent first, as they are lost after a short time.
    if (state.lent_operations > 0 && now < state.loan_valid_until)
    {
        --state.lent_operations;
        return {true, milliseconds(0), false};
    }
    if (state.tokens >= 1)
    {
        state.tokens -= 1;
        return {true, milliseconds(0), false};
    }
    if (!knows_members() && now >= state.share_valid_until)
        return {false, unknown_members_retry_delay, now < reporting_until_};
    const auto rate = std::max(current_rate(state, now), 1e-3);
    const auto time_to_token = milliseconds(
        static_cast<std::int64_t>(std::ceil(1000 * (1 - state.tokens) / rate)));
    // Without a leader, a large fleet has its lenders.
    const bool may_borrow = (now < reporting_until_ || is_large_fleet()) &&
                            now >= state.reserve_empty_until;
    return {false, std::clamp(time_to_token, min_retry_delay, max_retry_delay),
            may_borrow};
}

void operation_limiter::on_reserve_empty(const std::string& account,
                                         milliseconds retry_after,
                                         time_point now)
{
    const auto found = buckets_.find(account);
    if (found != buckets_.end())
        found->second.reserve_empty_until = now + retry_after;
}

std::uint32_t operation_limiter::loan_size(const std::string& account,
                                           time_point now)
{
    const auto found = buckets_.find(account);
    if (found == buckets_.end())
        return 1;
    auto& state = found->second;
    decay_demand(state, now);
    // The VM's share covers a part of the demand.
    const auto missing_rate =
        std::max(0.0, wanted_rate(state) - current_rate(state, now));
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(missing_rate * in_seconds(loan_period)));
}

void operation_limiter::on_loan(const std::string& account,
                                std::uint32_t operations,
                                time_point valid_until, time_point now)
{
    const auto found = buckets_.find(account);
    if (found == buckets_.end() || operations <= 1 || now >= valid_until)
        return;
    auto& state = found->second;
    const bool has_loan =
        state.lent_operations > 0 && now < state.loan_valid_until;
    // Two loans are spent until the earlier end of both.
    state.loan_valid_until =
        has_loan ? std::min(state.loan_valid_until, valid_until) : valid_until;
    state.lent_operations =
        (has_loan ? state.lent_operations : 0) + operations - 1;
}

admission operation_limiter::lend(const std::string& account,
                                  std::uint32_t operations, time_point now)
{
    const auto found = buckets_.find(account);
    if (found == buckets_.end())
        return {false, max_retry_delay, false};
    auto& state = found->second;
    refill(state, now);
    if (now >= state.share_valid_until || state.tokens < 1)
        return {false, min_retry_delay, false};
    const auto lent =
        std::clamp<std::uint32_t>(static_cast<std::uint32_t>(state.tokens / 4),
                                  1, std::max<std::uint32_t>(operations, 1));
    state.tokens -= lent;
    return {true, milliseconds(0), false, lent};
}

std::vector<account_demand> operation_limiter::demands(time_point now)
{
    std::vector<account_demand> result;
    for (auto& [name, state] : buckets_)
    {
        decay_demand(state, now);
        const auto wanted = wanted_rate(state);
        const bool has_valid_share =
            now < state.share_valid_until &&
            (state.share_rate > 0 || !is_large_fleet());
        if (wanted < min_demand_per_second && !has_valid_share)
            continue;
        result.push_back(
            {name, wanted, has_valid_share ? state.share_rate : 0.0});
    }
    return result;
}

double operation_limiter::current_rate(const token_bucket& state,
                                       time_point now) const
{
    if (now < state.share_valid_until)
        return state.share_rate;
    return has_equal_fraction(now) ? state.budget.rate / member_count_ : 0;
}

double operation_limiter::current_burst(const token_bucket& state,
                                        time_point now) const
{
    // A VM that the leader allocated nothing to must not keep an operation.
    if (now < state.share_valid_until)
        return state.share_rate > 0 || !is_large_fleet()
                   ? std::max(state.share_burst, min_burst)
                   : 0;
    if (!knows_members())
        return min_burst;
    // In a large fleet, one operation kept at each VM would exceed the burst of
    // small accounts. A VM that is reporting can borrow.
    if (is_large_fleet() && is_connected(now))
        return state.budget.shared_burst() / member_count_;
    return std::max(state.budget.shared_burst() / member_count_, min_burst);
}

void operation_limiter::refill(token_bucket& state, time_point now) const
{
    const auto elapsed = in_seconds(now - state.refilled_at);
    state.refilled_at = now;
    state.tokens = std::min(state.tokens + elapsed * current_rate(state, now),
                            current_burst(state, now));
}

// An exponential decay needs no history and no timer: it is computed from the
// elapsed time at each use.
void operation_limiter::decay_demand(token_bucket& state, time_point now) const
{
    const auto elapsed = in_seconds(now - state.demand_updated_at);
    state.demand_updated_at = now;
    state.recent_operations *=
        std::exp(-elapsed / in_seconds(current_demand_time_constant()));
}

double operation_limiter::wanted_rate(const token_bucket& state) const
{
    return state.recent_operations / in_seconds(current_demand_time_constant());
}

milliseconds operation_limiter::current_demand_time_constant() const
{
    return is_large_fleet() ? large_fleet_demand_time_constant
                            : demand_time_constant;
}

} // namespace oleandergrade
