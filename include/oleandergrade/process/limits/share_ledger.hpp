/// Divides accounts' limits among the VMs. Pure logic that runs at the duty's
/// holder.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/process/limits/operation_limiter.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// One part of an account's limits is divided into shares by demand; what no
/// VM holds is a reserve that VMs borrow from. The shares that are valid at any
/// moment never exceed their part: a VM gets more only after the others' larger
/// shares have been replaced or have run out. For a VM that does not report, an
/// equal part of everything is kept, which it takes without asking.
class share_ledger
{
public:
    /// Shares count as valid for a little longer than the VMs use them.
    static constexpr milliseconds validity_margin{300};
    /// VMs in touch report within this after a change of holder. For the others
    /// an equal part is kept.
    static constexpr milliseconds learning_time{600};

    /// `starts_full`: no other run of the fleet can have spent the burst.
    share_ledger(limit_tolerance tolerance, bool starts_full);

    void use_limits(const std::map<std::string, route_account>& accounts,
                    time_point now);
    /// `in_touch`: those of the members that report, this VM included.
    void use_members(std::uint32_t members, std::uint32_t in_touch);
    /// The duty was taken over: what VMs hold is learnt from their reports.
    void take_over(time_point now);

    /// Takes in a VM's demands and returns its shares, valid from now.
    std::vector<account_share>
    divide(const std::string& vm, const std::vector<account_demand>& demands,
           time_point now);
    /// Takes one operation out of an account's reserve.
    admission borrow(const std::string& account, time_point now);

private:
    struct vm_share
    {
        double wanted = 0;
        /// The VM's share at most: the one given last, or the one that it last
        /// reported, whose replacement may not have arrived.
        double held = 0;
        time_point valid_until;
    };
    struct account_state
    {
        account_budget budget;
        std::map<std::string, vm_share> vms;
        /// Operations that a new holder finds in the reserve.
        double takeover_burst = 0;
        /// Operations in the reserve.
        double reserve = 0;
        time_point filled_at;
    };

    account_share divide_account(account_state& account, const std::string& vm,
                                 const account_demand& demand, time_point now);
    /// The part of the budget that is not kept for silent VMs.
    double reachable_part() const;
    bool is_learning(time_point now) const;
    /// Rate of all valid shares together.
    static double held_by_all(const account_state& account, time_point now);
    void fill(account_state& account, time_point now) const;

    limit_tolerance tolerance_;
    bool starts_full_;
    std::uint32_t members_ = 1;
    std::uint32_t in_touch_ = 1;
    /// Until when VMs may hold shares that are not known here.
    time_point learning_until_;
    std::set<std::string> learnt_from_;
    std::map<std::string, account_state> accounts_;
};

} // namespace oleandergrade
