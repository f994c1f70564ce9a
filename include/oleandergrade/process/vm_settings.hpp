/// Settings that a VM receives from the platform when it starts and when they
/// change.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/forwarding/sharing_policy.hpp>
#include <oleandergrade/process/limits/account_budget.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Settings of one VM. Addresses have the form "IP:PORT" and are empty where
/// there is none.
struct vm_settings
{
    std::string name;
    std::string failure_domain;
    /// Address on which callers' sessions are accepted.
    std::string session_address;
    /// Address on which readiness is served.
    std::string readiness_address;
    /// Address on which connections of other VMs are accepted.
    std::string peer_address;
    /// Address at which other VMs connect to this one; differs from
    /// `peer_address` only if the proxy's own settings set another address.
    std::string advertised_peer_address;
    /// Address on which metrics and the state dump are served.
    std::string metrics_address;
    /// Peer addresses of some other VMs, to which this VM reports until it has
    /// found the leader. Some of these VMs may be down.
    std::vector<std::string> seed_addresses;
    std::string store_address;
    std::string promotion_address;
    /// Shortest lifetime of a lease that the store grants.
    milliseconds min_lease_lifetime{1000};
    /// Time within which a new configuration must be in force.
    milliseconds configuration_apply_timeout{3000};
    /// Time after which a draining target must not get new work.
    milliseconds drain_timeout{7000};
    /// Time within which the process must end after a signal to stop.
    milliseconds stop_timeout{6000};
    /// Length of the windows in which an account's operations are limited.
    milliseconds limit_window{5000};
    /// Fraction by which the operations of a window may exceed the limit.
    double limit_overshoot_fraction = 0;
    /// Number of operations that a window may contain in addition to that.
    double limit_slack_operations = 0;
    /// Processor time that the VM may use, in thousandths of a core; 0 if the
    /// settings do not tell.
    unsigned processor_millicores = 0;
    /// Number of VMs in the fleet from which on reports are relayed; from the
    /// proxy's own settings.
    std::size_t relay_from = 100;
    /// When the VMs of the fleet share sessions at targets.
    sharing_policy sharing;
    /// Number of VMs of a failure domain that a leader lists as lenders and
    /// divides the accounts among.
    std::size_t lenders_per_domain = 5;
    /// The fleet starts for the first time, so there is no earlier incarnation.
    bool is_first_start = false;

    /// Returns how far accounts may exceed their limits.
    limit_tolerance tolerance() const
    {
        return {limit_window, limit_overshoot_fraction, limit_slack_operations};
    }

    bool operator==(const vm_settings&) const = default;
};

} // namespace oleandergrade
