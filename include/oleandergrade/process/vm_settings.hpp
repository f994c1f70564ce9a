/// What a VM of the fleet is told at its start and when its settings change.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/limits/account_budget.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Immutable. Addresses are "IP:PORT"; empty where there is none.
struct vm_settings
{
    std::string name;
    std::string failure_domain;
    /// Where callers' sessions arrive.
    std::string session_address;
    /// Where readiness is asked for.
    std::string readiness_address;
    /// Where other VMs call.
    std::string peer_address;
    /// Where other VMs are told to call.
    std::string advertised_address;
    /// Where metrics and the state dump are served.
    std::string metrics_address;
    /// Peer addresses of some other VMs; they may be down.
    std::vector<std::string> seeds;
    std::string store_address;
    std::string promotion_address;
    /// Shortest lease that the store grants.
    milliseconds shortest_lease{1000};
    /// Time to apply a configuration.
    milliseconds configuration_time{3000};
    /// A leaving target gets no new work after this.
    milliseconds drain_time{7000};
    /// Time between the request to stop and the end of the process.
    milliseconds stop_time{6000};
    /// Span of the limit on an account's operations.
    milliseconds limit_window{5000};
    /// Part by which a window may exceed the limit, and operations besides.
    double limit_overshoot = 0;
    double limit_slack = 0;
    /// The fleet starts for the first time; nothing ran before.
    bool first_start = false;

    limit_tolerance tolerance() const
    {
        return {limit_window, limit_overshoot, limit_slack};
    }

    bool operator==(const vm_settings&) const = default;
};

} // namespace oleandergrade
