/// The leader's answers to the reports of the VMs.
#pragma once

#include <oleandergrade/process/failover/failover_driver.hpp>
#include <oleandergrade/process/failover/grant_tracker.hpp>
#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/forwarding/holder_assigner.hpp>
#include <oleandergrade/process/limits/share_allocator.hpp>
#include <oleandergrade/process/membership/leader_election.hpp>
#include <oleandergrade/process/membership/leader_tracker.hpp>
#include <oleandergrade/process/membership/relay_chooser.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Grants, shares of limits and lent operations that this VM issues while it is
/// the leader. At other VMs it answers with the leader's address. Sends nothing
/// itself.
class grant_issuer
{
public:
    /// The references must outlive the object.
    grant_issuer(fleet_state& state, const leader_election& election,
                 const leader_tracker& leader, failover_driver& failover,
                 grant_tracker& grants);

    /// Returns whether this VM receives all changes from the store itself. A
    /// leader that may miss changes reports an age at which the VMs confirm
    /// the state of the store themselves.
    std::function<bool()> is_current;
    /// Called with the address of a VM that has reported a newer configuration
    /// than this VM has.
    std::function<void(std::string address)> on_newer_configuration;
    /// Called with a fencing token above this leader's that a VM has observed.
    std::function<void(std::uint64_t token)> on_higher_token;

    /// This VM was elected leader. `is_first_leader`: there is no sign of an
    /// earlier leader, so that no VM holds a share.
    void on_elected(bool is_first_leader, time_point now);
    /// The complete view shows that there was an earlier leader after all. To
    /// be called before the first grant.
    void on_predecessor_found(time_point now)
    {
        share_allocator_.on_elected(false, now);
    }
    /// To be called after each change of the registered VMs.
    void on_members_changed(time_point now);
    /// A VM has registered with a new incarnation.
    void on_registered(const std::string& vm, time_point now)
    {
        share_allocator_.on_registered(vm, now);
    }
    /// Replaces the limits that are divided into shares.
    void set_limits(const route_table& table, time_point now);

    /// Returns how long a grant issued now is valid; zero if this VM may not
    /// issue one.
    milliseconds allowed_validity(time_point now) const;
    bool may_issue(time_point now) const
    {
        return allowed_validity(now).count() > 0;
    }

    /// Returns a grant. Not accepted if this VM may not issue one or has not
    /// seen the sender registered in the store; then it contains the address of
    /// the leader that this VM last observed.
    fleet_grant answer_report(const fleet_report& report, time_point now);
    relayed_grants answer_relayed_reports(const relayed_reports& reports,
                                          time_point now);
    /// Renews this leader's own grant and its own shares of the limits.
    /// `validity` is that of the grant, which must not be zero.
    void grant_to_self(milliseconds validity, time_point now);
    /// Sets the VMs that lend in addition to the leader.
    void set_lenders(const lender_table& table)
    {
        lenders_ = table;
        share_allocator_.set_lenders(table);
    }
    /// Whether the VM has reported recently and does not stop.
    bool is_present(const std::string& vm, time_point now) const
    {
        return failover_.vm_reports().is_reporting(vm, now) &&
               !stopping_vms_.contains(vm);
    }
    /// Takes up to `operations` out of an account's reserve. To be called only
    /// while this VM may issue grants.
    admission borrow(const std::string& account, std::uint32_t operations,
                     time_point now)
    {
        return share_allocator_.borrow(account, now, operations);
    }

private:
    /// Returns what all grants have in common that this VM issues now to the
    /// VMs of a failure domain. Not accepted if this VM may not issue grants.
    fleet_grant make_common_grant(const std::string& failure_domain,
                                  time_point now);
    /// Records a report, and that it is answered with `common` if it may be.
    relayed_grant answer_with(const fleet_grant& common,
                              const fleet_report& report, time_point now);
    /// Adds the holder table and the lender table to what the grants have in
    /// common if one of the VMs has another version.
    void add_tables(relayed_grants& answer,
                    const relayed_reports& reports) const;
    /// Brings the holder table up to date, at intervals, or at once if
    /// `is_due`.
    void update_holders(bool is_due, time_point now);
    /// Returns the failure domain of a VM, or an empty text if it is not
    /// registered.
    std::string failure_domain_of(const std::string& vm) const;

    fleet_state& state_;
    const leader_election& election_;
    const leader_tracker& leader_;
    failover_driver& failover_;
    grant_tracker& grant_tracker_;
    share_allocator share_allocator_;
    relay_chooser relay_chooser_;
    holder_assigner holder_assigner_;
    lender_table lenders_;
    time_point elected_at_;
    time_point holders_updated_at_;
    /// Names of the VMs that have reported that they stop.
    std::set<std::string> stopping_vms_;
};

} // namespace oleandergrade
