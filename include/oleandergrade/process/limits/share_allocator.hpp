/// Allocates shares of the accounts' limits to the VMs. Pure logic that runs at
/// the leader; the caller passes the current time.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/connection/lender_table.hpp>
#include <oleandergrade/process/limits/operation_limiter.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Allocates each account's limits to the VMs and lends from a reserve.
///
/// A fraction of an account's limits is divided into shares by demand. The
/// rest, together with what no VM holds, is the reserve from which VMs borrow.
/// All shares that are valid at the same time never exceed their fraction of
/// the limits: a VM's share grows only after larger shares of other VMs have
/// been replaced or have expired. For each VM that does not report, an equal
/// fraction (1 / members) of everything is kept free, because such a VM uses it
/// without a request; in large fleets only when it has not reported for 10 s.
///
/// In fleets with lenders, VMs with much demand get a share of half of it, the
/// lenders get the rest, and the reserve contains what no VM holds.
class share_allocator
{
public:
    /// The leader counts shares as valid for this much longer than the VMs use
    /// them.
    static constexpr milliseconds validity_margin{300};
    /// In small fleets, VMs that reach a new leader report to it within this
    /// time after its election. For each other VM an equal fraction is kept
    /// free. In large fleets, the shares of VMs that have not
    /// reported are kept free until they have expired.
    static constexpr milliseconds rebuild_timeout{600};

    /// `starts_full`: the fleet starts for the first time, so no earlier
    /// incarnation can have spent the burst and reserves start full.
    share_allocator(limit_tolerance tolerance, bool starts_full);

    /// Replaces the accounts' limits; accounts that are not in `accounts` are
    /// dropped.
    void set_limits(const std::map<std::string, client_account>& accounts,
                    time_point now);
    /// Sets the number of VMs in the fleet and how many of them report,
    /// including this one.
    void set_member_counts(std::uint32_t member_count,
                           std::uint32_t reporting_count);
    /// Sets whether the equal fractions of VMs that have not been heard of for
    /// long are given to the others. Only if all VMs stop to use it in time,
    /// and this leader sees registrations at once.
    void set_fractions_lapse(bool lapse) { fractions_lapse_ = lapse; }
    /// A VM has registered, and may use its equal fraction before it reports.
    void on_registered(const std::string& vm, time_point now);
    /// Replaces the VMs that hold what the others do not need, to lend it. The
    /// table must be in the store already.
    void set_lenders(const lender_table& table);
    /// This VM was elected leader. The shares that VMs hold are reconstructed
    /// from their reports. `is_first_leader`: no VM has been the leader since
    /// the fleet started for the first time, so that there are none.
    void on_elected(bool is_first_leader, time_point now);

    /// Records that a VM has reported, with or without its demands. If it has
    /// restarted, its shares are void. Returns false, and records nothing, if
    /// the report is of an incarnation before the one that reported last. To be
    /// called before `allocate`.
    bool on_report(const std::string& vm, std::uint64_t incarnation,
                   time_point now);
    /// Records a VM's demands and returns its shares, valid from now. Accounts
    /// that are not configured are left out.
    std::vector<account_share>
    allocate(const std::string& vm, const std::vector<account_demand>& demands,
             time_point now);
    /// Takes up to `operations` out of an account's reserve, at most a quarter
    /// of it but at least one if there is one. Refuses accounts that are not
    /// configured.
    admission borrow(const std::string& account, time_point now,
                     std::uint32_t operations = 1);

private:
    struct vm_share
    {
        /// Demand in operations per second, as last reported.
        double wanted_rate = 0;
        /// The rate that it is to have because of that demand; 0 for lenders.
        double fair_rate = 0;
        /// Upper bound of the rate that the VM may be using: the larger of the
        /// last share allocated to it and the last share it reported, because
        /// the new share may not have reached it.
        double max_held_rate = 0;
        time_point valid_until;
        /// When this leader first allocated the share; earlier if the VM held
        /// it already.
        time_point held_since;
    };
    /// What the leader knows of a VM that has reported since the election.
    struct vm_status
    {
        std::uint64_t incarnation = 0;
        std::uint64_t previous_incarnation = 0;
        time_point reported_at;
        time_point registered_at;
        bool has_reported_demands = false;
    };
    struct account_state
    {
        std::string name;
        account_budget budget;
        /// Valid shares by the name of the VM.
        std::map<std::string, vm_share> shares_by_vm;
        /// Sums over `shares_by_vm`. Reports and requests to the reserve are
        /// too frequent to add up the shares of all VMs for each of them.
        double total_held_rate = 0;
        double total_wanted_rate = 0;
        double total_fair_rate = 0;
        /// Sum of the shares that VMs held at their first reports after the
        /// election.
        double rebuilt_rate = 0;
        /// No share expires before this time.
        time_point next_expiry = time_point::max();
        /// Operations in the reserve right after the election of a leader.
        double reserve_after_election = 0;
        /// Operations in the reserve.
        double reserve = 0;
        time_point refilled_at;
        /// VMs that lend, or may have lent, operations of the account since
        /// the election or shortly before.
        std::set<std::string> possible_lenders;
    };

    /// Computes the VM's new share of one account.
    account_share allocate_account(account_state& account,
                                   const std::string& vm,
                                   const account_demand& demand,
                                   time_point now);
    /// The fraction of the budget that is not kept free for VMs that do not
    /// report.
    double reporting_fraction() const;
    bool is_large_fleet() const
    {
        return member_count_ >= large_limit_fleet_size;
    }
    milliseconds share_validity() const;
    /// Whether there are lenders that hold a part of the reserve.
    bool has_lenders() const;
    /// The rate that may be held as shares. In fleets with lenders that is all
    /// of it.
    double divisible_rate_of(const account_budget& budget) const;
    /// The burst of a share with this rate.
    double share_burst(const account_budget& budget, double rate) const;
    /// The rate that a VM is to have because of its demand.
    double demanded_rate(const account_state& account, double wanted_rate,
                         double fraction) const;
    /// The operations that the lenders have not accumulated yet since they got
    /// their shares.
    double missing_lender_tokens(const account_state& account,
                                 time_point now) const;
    /// Counts the VMs that do not use their equal fraction.
    void update_connected_count(time_point now);
    /// Counts the VMs that have not been heard of for so long that they may no
    /// longer use their equal fraction.
    std::uint32_t count_lapsed(time_point now) const;
    /// Adds the lenders of the current table to those that may hold a lender's
    /// share of the account.
    void add_possible_lenders(account_state& account) const;
    /// Whether VMs may still hold shares from an earlier leader that this VM
    /// has no record of.
    bool is_rebuilding(time_point now) const;
    bool is_lender(const std::string& account, const std::string& vm) const;
    /// Number of VMs that may hold a lender's share of the account and have not
    /// reported since the election.
    std::size_t unreported_lenders(const account_state& account) const;
    /// The largest fraction of an account's rate that VMs of a fleet with
    /// lenders may hold that have not reported since the election.
    double max_unreported_fraction(const account_state& account) const;
    /// The rate that no VM holds which has not reported since the election;
    /// zero in fleets without lenders.
    double rebuilding_rate(const account_state& account) const;
    /// Removes the shares that are no longer valid.
    static void drop_expired_shares(account_state& account, time_point now);
    /// Adds the operations that have accumulated in the reserve since the last
    /// call.
    void refill_reserve(account_state& account, time_point now);

    limit_tolerance tolerance_;
    bool starts_full_;
    std::uint32_t member_count_ = 1;
    std::uint32_t reporting_count_ = 1;
    time_point elected_at_;
    bool has_earlier_shares_ = false;
    /// VMs that have reported since the election.
    std::map<std::string, vm_status> reported_vms_;
    /// Number of those that have reported their demands.
    std::uint32_t vms_with_demands_ = 0;
    account_lenders lenders_;
    std::uint32_t connected_count_ = 0;
    bool fractions_lapse_ = false;
    std::uint32_t lapsed_count_ = 0;
    time_point connected_count_updated_at_;
    std::map<std::string, account_state> accounts_;
};

} // namespace oleandergrade
