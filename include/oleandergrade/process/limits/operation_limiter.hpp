/// Admits or refuses the operations of client accounts at one VM. Pure logic:
/// no I/O, and the caller passes the current time.
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

/// Whether an operation may run, and if not, when to retry.
struct admission
{
    bool admitted = false;
    /// Time until a retry may succeed; 0 if admitted.
    milliseconds retry_after{0};
    /// This VM's share is used up, but the leader or a lender may have
    /// operations left.
    bool may_borrow = false;
    /// Number of operations that were lent, if the answer is a loan.
    std::uint32_t operations = 0;

    bool operator==(const admission&) const = default;
};

/// Limits operations with a token bucket for each account.
///
/// The rate and burst of a bucket are this VM's share of the account's limits,
/// which the leader assigns by demand. Operations beyond the share are borrowed
/// from the leader's reserve or from lenders. A VM that is not reporting to the
/// leader uses an equal fraction of the limits, 1 / members, which the leader
/// keeps free for it.
class operation_limiter
{
public:
    /// How long a share is valid in small fleets. Longer
    /// than it takes to elect a new leader.
    static constexpr milliseconds share_validity{2500};
    /// How long a share is valid in larger fleets. Longer than the store may be
    /// unavailable while the leader is lost, as no VM can be elected then.
    static constexpr milliseconds large_fleet_share_validity{12000};
    /// Longest time for which lent operations may be spent.
    static constexpr milliseconds loan_validity{500};
    /// A loan covers the demand of this time.
    static constexpr milliseconds loan_period{200};
    /// How long after its last answered report a VM counts as reporting. After
    /// that it uses its equal fraction of those accounts of which it holds no
    /// share. The leader reserves that fraction for VMs that do not report, and
    /// does so a little before this time is over.
    static constexpr milliseconds reporting_validity{900};
    /// How long after its last answered report, or its registration, a VM may
    /// use its equal fraction. The leader keeps the fraction free for longer.
    static constexpr milliseconds equal_fraction_validity{20'000};
    /// Time constant of the exponential average of the demand.
    static constexpr milliseconds demand_time_constant{1000};
    /// The same in large fleets. With the shorter one, a
    /// VM with less than one operation per second reported three times its
    /// demand after two operations, and its share remained unused.
    static constexpr milliseconds large_fleet_demand_time_constant{3000};

    /// `starts_full`: the fleet starts for the first time, so no earlier
    /// incarnation can have spent the burst and buckets start full.
    operation_limiter(limit_tolerance tolerance, bool starts_full);

    /// Replaces the accounts' limits. Buckets of accounts that are not in
    /// `accounts` are dropped; `member_count` is the number of VMs in the
    /// fleet, or 0 while it is unknown. Nothing is admitted then except from
    /// shares.
    void set_limits(const std::map<std::string, client_account>& accounts,
                    std::uint32_t member_count, time_point now);
    /// Whether the number of VMs in the fleet is known.
    bool knows_members() const { return member_count_ != 0; }
    /// Replaces this VM's shares of the given accounts. Their validity counts
    /// from `requested_at`, when the report that requested them was sent.
    void set_shares(const std::vector<account_share>& shares,
                    time_point requested_at, time_point now);

    /// The store has acknowledged the VM's registration, which was sent at
    /// `sent_at`.
    void on_registered(time_point sent_at);

    /// Takes one operation out of the account's bucket. Refuses accounts that
    /// are not configured.
    admission admit(const std::string& account, time_point now);
    /// Records that the leader's reserve has no operation left for the account.
    /// Nothing is borrowed for it until `retry_after` has passed.
    void on_reserve_empty(const std::string& account, milliseconds retry_after,
                          time_point now);

    /// Returns how many operations to borrow for the account: this VM's demand
    /// within `loan_period`, at least 1.
    std::uint32_t loan_size(const std::string& account, time_point now);
    /// Records that `operations` were lent to this VM, including the one that
    /// runs now. The others may be spent until `valid_until`.
    void on_loan(const std::string& account, std::uint32_t operations,
                 time_point valid_until, time_point now);
    /// Lends up to `operations` out of this VM's own share to another VM, at
    /// most a quarter of what it has but at least one if it has one.
    admission lend(const std::string& account, std::uint32_t operations,
                   time_point now);

    /// Returns the demand and the valid share of each account that has recent
    /// demand or a valid share.
    std::vector<account_demand> demands(time_point now);

private:
    struct token_bucket
    {
        /// The whole fleet's budget for the account.
        account_budget budget;
        /// This VM's share, in operations per second and operations.
        double share_rate = 0;
        double share_burst = 0;
        time_point share_valid_until;
        time_point reserve_empty_until;
        /// Operations that may run now, as of `refilled_at`.
        double tokens = 0;
        /// Operations lent to this VM that it may spend until
        /// `loan_valid_until`.
        std::uint32_t lent_operations = 0;
        time_point loan_valid_until;
        /// Operations that all VMs together may run at the start, until this
        /// VM has taken its part of them.
        double initial_fleet_tokens = 0;
        time_point refilled_at;
        /// Requested operations, decaying with the time constant
        /// `demand_time_constant`, as of `demand_updated_at`.
        double recent_operations = 0;
        time_point demand_updated_at;
    };

    /// Return the rate and burst that apply at this VM now: those of its share.
    /// Without a valid share it has the equal fraction, but no rate of its own
    /// while it is reporting.
    double current_rate(const token_bucket& state, time_point now) const;
    double current_burst(const token_bucket& state, time_point now) const;
    bool is_large_fleet() const
    {
        return member_count_ >= large_limit_vm_fleet_size;
    }
    milliseconds current_share_validity() const;
    /// Whether the leader keeps no equal fraction free for this VM. In large
    /// fleets that lasts as long as a share: until then, VMs that do not reach
    /// the leader borrow from the lenders.
    bool is_connected(time_point now) const;
    /// Whether the VM may use its equal fraction.
    bool has_equal_fraction(time_point now) const
    {
        return knows_members() && !is_connected(now) &&
               now < equal_fraction_until_;
    }
    /// Adds the tokens that have accumulated since the last call.
    void refill(token_bucket& state, time_point now) const;
    /// Adds this VM's part of the initial tokens, once the number of VMs is
    /// known.
    void take_initial_tokens(token_bucket& state) const;
    /// Brings the decaying demand up to date.
    void decay_demand(token_bucket& state, time_point now) const;
    /// Returns the demand in operations per second, as of the last update.
    double wanted_rate(const token_bucket& state) const;
    milliseconds current_demand_time_constant() const;

    limit_tolerance tolerance_;
    /// Until then this VM counts as reporting: the leader has allocated all
    /// limits and keeps no equal fraction free for this VM.
    time_point reporting_until_;
    /// The same in large fleets.
    time_point connected_until_;
    /// From then on another leader may have given this VM's equal fraction to
    /// other VMs.
    time_point equal_fraction_until_;
    bool starts_full_;
    /// 0 while it is unknown.
    std::uint32_t member_count_ = 0;
    std::map<std::string, token_bucket> buckets_;
};

} // namespace oleandergrade
