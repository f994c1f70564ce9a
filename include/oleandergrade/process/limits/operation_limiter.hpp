/// Admits operations of client accounts at one VM. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/process/limits/account_budget.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Whether an operation may run, and if not, when to come back.
struct admission
{
    bool admitted = false;
    milliseconds retry_after{0};
    /// The share is used up; the holder's reserve may have something left.
    bool may_borrow = false;

    bool operator==(const admission&) const = default;
};

/// A token bucket per account. Its rate and burst are the VM's share of the
/// account's limits, which the duty's holder assigns by demand; what goes
/// beyond it is borrowed from the holder's reserve. A VM that is out of touch
/// with the holder takes an equal part, which the holder keeps free for it.
class operation_limiter
{
public:
    /// How long a share holds. Longer than it takes to replace a holder.
    static constexpr milliseconds share_validity{2500};
    /// A VM whose last share is older takes its equal part of accounts that it
    /// holds no share of. The holder keeps that part for VMs that do not
    /// report a little earlier.
    static constexpr milliseconds touch_validity{900};
    /// Time over which demand is averaged.
    static constexpr milliseconds demand_time{1000};

    /// `starts_full`: no other run of the fleet can have spent the burst.
    operation_limiter(limit_tolerance tolerance, bool starts_full);

    void use_limits(const std::map<std::string, route_account>& accounts,
                    std::uint32_t members, time_point now);
    void use_members(std::uint32_t members) { members_ = members; }
    /// Shares that were asked for at `asked_at`.
    void use_shares(const std::vector<account_share>& shares,
                    time_point asked_at, time_point now);

    admission admit(const std::string& account, time_point now);
    /// The reserve has nothing left for the account; it is not asked again
    /// before the time given.
    void on_reserve_empty(const std::string& account, milliseconds retry_after,
                          time_point now);

    /// Demand and valid shares of accounts that were used lately.
    std::vector<account_demand> demands(time_point now);

private:
    struct bucket
    {
        account_budget budget;
        double share_rate = 0;
        double share_burst = 0;
        time_point share_until;
        time_point reserve_empty_until;
        double tokens = 0;
        time_point filled_at;
        /// Operations asked for, decaying over `demand_time`.
        double recent = 0;
        time_point recent_at;
    };

    double rate_of(const bucket& account, time_point now) const;
    double burst_of(const bucket& account, time_point now) const;
    void fill(bucket& account, time_point now) const;
    static void decay(bucket& account, time_point now);

    limit_tolerance tolerance_;
    /// The holder has divided all limits, and kept nothing for this VM.
    time_point in_touch_until_;
    bool starts_full_;
    std::uint32_t members_ = 1;
    std::map<std::string, bucket> buckets_;
};

} // namespace oleandergrade
