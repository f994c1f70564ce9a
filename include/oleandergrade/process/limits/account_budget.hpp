/// Splits an account's fleet-wide limits into shares for the VMs and a reserve
/// at the leader.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <cstdint>

namespace oleandergrade
{

/// How far an account's operations may exceed its limits before operators
/// count this as a violation.
struct limit_tolerance
{
    /// The limits apply to every time window of this length.
    milliseconds window{5000};
    /// Fraction by which the operations of a window may exceed the limits.
    double overshoot_fraction = 0;
    /// Number of operations that a window may contain in addition to that.
    double slack_operations = 0;

    bool operator==(const limit_tolerance&) const = default;
};

/// Fraction of the tolerance that is added to the burst. The rest covers the
/// error that arises while shares are moved from one VM to another. With half
/// of the slack operations, a window of 9 VMs was 0.5 % too full in 684 seeds.
inline constexpr double burst_tolerance_fraction = 0.3;
/// Fraction of the overshoot that is added to the rate. It makes up for the
/// operations lost while shares are moved: an account whose demand exceeds its
/// rate must get all of its rate.
inline constexpr double rate_overshoot_fraction = 0.4;
/// Fractions of the rate and the burst that the VMs hold as shares. The rest is
/// the leader's reserve, from which VMs borrow single operations.
inline constexpr double shared_rate_fraction = 0.6;
inline constexpr double shared_burst_fraction = 0.4;
/// Accounts with a lower rate, in operations per second, have no shares and are
/// served from the reserve only: operations that one VM holds but does not use
/// would be missing at the others.
inline constexpr double min_shared_rate_per_second = 20;

/// Below this number of VMs, a VM's equal fraction of the limits is large
/// enough to serve callers while the leader is lost. From it on, shares are
/// valid for longer, and the leader expects that.
inline constexpr std::uint32_t large_limit_fleet_size = 12;
/// From this number on, VMs apply the rules of large fleets. It is higher, so
/// that a leader whose list of members is a little shorter than a VM's does not
/// expect an earlier expiry.
inline constexpr std::uint32_t large_limit_vm_fleet_size = 14;
/// From this number of VMs on, some VMs, the lenders, hold what the others do
/// not need of an account's limits, and lend it. Other VMs can then borrow
/// while the leader is lost or not reachable. It is higher again, because the
/// lenders may hold all of the limits only if no VM uses an equal fraction
/// meanwhile.
inline constexpr std::uint32_t lending_fleet_size = 16;

/// What the whole fleet together may spend on one account.
struct account_budget
{
    /// Operations per second.
    double rate = 0;
    /// Operations that all VMs and the reserve together may have accumulated.
    double burst = 0;

    /// The portions that VMs hold as shares; 0 if the account has no shares.
    double shared_rate() const
    {
        return rate < min_shared_rate_per_second ? 0
                                                 : rate * shared_rate_fraction;
    }
    double shared_burst() const
    {
        return rate < min_shared_rate_per_second
                   ? 0
                   : burst * shared_burst_fraction;
    }
    /// The portions that the leader keeps as the reserve.
    double reserved_rate() const { return rate - shared_rate(); }
    double reserved_burst() const { return burst - shared_burst(); }

    bool operator==(const account_budget&) const = default;
};

/// Fraction of the tolerance that restarted VMs may spend at once. A restarted
/// VM has no record of what it spent before.
inline constexpr double restart_tolerance_fraction = 0.25;

/// Returns the number of operations that all VMs together may have accumulated
/// immediately after a restart.
inline double restart_burst(const client_account& account,
                            const limit_tolerance& tolerance)
{
    const auto window_seconds =
        std::chrono::duration<double>(tolerance.window).count();
    return restart_tolerance_fraction *
           (tolerance.overshoot_fraction *
                (window_seconds * account.rate + account.burst) +
            tolerance.slack_operations);
}

/// Returns the account's budget: its configured limits, raised by the fractions
/// of the tolerance above.
inline account_budget budget_of(const client_account& account,
                                const limit_tolerance& tolerance)
{
    const auto window_seconds =
        std::chrono::duration<double>(tolerance.window).count();
    const auto allowed_operations =
        window_seconds * account.rate + account.burst;
    return {account.rate *
                (1 + rate_overshoot_fraction * tolerance.overshoot_fraction),
            account.burst +
                burst_tolerance_fraction *
                    (tolerance.overshoot_fraction * allowed_operations +
                     tolerance.slack_operations)};
}

} // namespace oleandergrade
