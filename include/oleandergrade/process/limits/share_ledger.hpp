/// Divides accounts' limits among the VMs. Pure logic that runs at the duty's
/// holder.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// The shares that are valid at any moment never exceed an account's rate: a
/// VM gets more only after the others' larger shares have been replaced or
/// have run out. For a VM that does not report, an equal part is kept, which it
/// takes without asking.
class share_ledger
{
public:
    /// Shares count as valid for a little longer than the VMs use them.
    static constexpr milliseconds validity_margin{300};
    /// Part of an account's rate that is divided evenly, so that a VM can
    /// serve the first callers of an account.
    static constexpr double even_part = 0.2;

    void use_limits(const std::map<std::string, route_account>& accounts);
    void use_members(std::uint32_t members);
    /// The duty was taken over: what VMs hold is learnt from their reports.
    void take_over(time_point now);

    /// Takes in a VM's demands and returns its shares, valid from now.
    std::vector<account_share>
    divide(const std::string& vm, const std::vector<account_demand>& demands,
           time_point now);

private:
    struct vm_share
    {
        double wanted = 0;
        double rate = 0;
        time_point valid_until;
    };
    struct account_state
    {
        route_account limits;
        std::map<std::string, vm_share> vms;
    };

    account_share divide_account(account_state& account, const std::string& vm,
                                 const account_demand& demand, time_point now);

    std::uint32_t members_ = 1;
    time_point learning_until_;
    std::map<std::string, account_state> accounts_;
};

} // namespace oleandergrade
