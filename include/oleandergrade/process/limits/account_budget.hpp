/// How an account's limits are divided over the fleet.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/version/route_table.hpp>

namespace oleandergrade
{

/// How strictly operators count an account's operations.
struct limit_tolerance
{
    /// The limits hold in every span of this length.
    milliseconds window{5000};
    /// Part by which a window may exceed them, and operations besides.
    double overshoot = 0;
    double slack = 0;

    bool operator==(const limit_tolerance&) const = default;
};

/// Part of the tolerance that gathers as burst; the rest is kept for shares
/// that are moved from one VM to another.
inline constexpr double tolerance_part = 0.3;
/// Part of the overshoot that is added to the rate, for what is lost while
/// shares move: an account that asks for more than its rate must get all of it.
inline constexpr double rate_tolerance_part = 0.4;
/// Parts of rate and burst that the VMs hold as shares. The rest is the
/// reserve of the duty's holder, from which they borrow operation by operation.
inline constexpr double shared_rate_part = 0.6;
inline constexpr double shared_burst_part = 0.4;
/// Accounts with a lower rate, in operations per second, have no shares: what
/// a VM holds and does not use would be missing elsewhere.
inline constexpr double least_shared_rate = 20;

/// What may be spent of one account through the whole fleet.
struct account_budget
{
    /// Operations per second.
    double rate = 0;
    /// Operations that may have gathered everywhere together.
    double burst = 0;

    double shared_rate() const
    {
        return rate < least_shared_rate ? 0 : rate * shared_rate_part;
    }
    double shared_burst() const
    {
        return rate < least_shared_rate ? 0 : burst * shared_burst_part;
    }
    double reserved_rate() const { return rate - shared_rate(); }
    double reserved_burst() const { return burst - shared_burst(); }

    bool operator==(const account_budget&) const = default;
};

/// Part of the tolerance that a restarted VM may spend at once: it has
/// forgotten what it spent before.
inline constexpr double restart_part = 0.25;

/// Operations that all VMs together may have gathered right after a restart.
inline double restart_burst(const route_account& account,
                            const limit_tolerance& tolerance)
{
    const auto seconds =
        std::chrono::duration<double>(tolerance.window).count();
    return restart_part *
           (tolerance.overshoot * (seconds * account.rate + account.burst) +
            tolerance.slack);
}

inline account_budget budget_of(const route_account& account,
                                const limit_tolerance& tolerance)
{
    const auto seconds =
        std::chrono::duration<double>(tolerance.window).count();
    const auto allowed = seconds * account.rate + account.burst;
    return {account.rate * (1 + rate_tolerance_part * tolerance.overshoot),
            account.burst + tolerance_part * (tolerance.overshoot * allowed +
                                              tolerance.slack)};
}

} // namespace oleandergrade
