/// Finds out whether this VM is cut off from the rest of the fleet.
#pragma once

#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/membership/leader_tracker.hpp>
#include <oleandergrade/process/membership/peer_client.hpp>
#include <oleandergrade/process/membership/probe_selection.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace oleandergrade
{

/// Probes a selection of the other VMs while the leader does not answer.
/// The VM is isolated if fewer than half of them answer. All members must be
/// called on one executor.
class isolation_monitor
{
public:
    /// Timeout of a probe.
    static constexpr milliseconds probe_timeout{400};

    /// The references must outlive the object. `make_probe` returns the report
    /// that is sent as a probe.
    isolation_monitor(boost::asio::any_io_executor executor, fleet_state& state,
                      const leader_tracker& leader, peer_client& peers,
                      std::function<fleet_report()> make_probe);

    /// Called with true when the VM becomes isolated, and with false when it no
    /// longer is.
    std::function<void(bool)> on_change;

    /// Starts to probe if the VM's grant is overdue and no probe is under way.
    void check(time_point now);
    /// The VM has received a grant, or is the leader.
    void on_grant();

    bool is_isolated() const { return isolated_; }

private:
    boost::asio::awaitable<void> probe_peers();
    /// Sends a report to one VM and increments `answer_count` if it answers.
    boost::asio::awaitable<void>
    probe_peer(std::string address, std::shared_ptr<std::size_t> answer_count);
    /// `probed_vms` and `answering_vms` count the VMs that were probed, for the
    /// log.
    void set_isolated(bool isolated, std::size_t probed_vms,
                      std::size_t answering_vms);

    boost::asio::any_io_executor executor_;
    fleet_state& state_;
    const leader_tracker& leader_;
    peer_client& peers_;
    std::function<fleet_report()> make_probe_;
    bool isolated_ = false;
    bool is_probing_ = false;
    probe_selection selection_;
};

} // namespace oleandergrade
