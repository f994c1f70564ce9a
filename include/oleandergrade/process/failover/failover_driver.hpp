/// Executes the replacement of primaries at the leader.
#pragma once

#include <oleandergrade/connection/target_session.hpp>
#include <oleandergrade/process/failover/grant_tracker.hpp>
#include <oleandergrade/process/failover/group_failover.hpp>
#include <oleandergrade/process/failover/vm_report_tracker.hpp>
#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/membership/leader_election.hpp>
#include <oleandergrade/process/membership/peer_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Runs the failover state machine of each group: observes targets and VMs,
/// executes the requested actions and passes their outcomes back. Active only
/// while this VM is the leader. All members run on one executor.
class failover_driver
{
public:
    /// Interval between requests for the position of a primary's log.
    static constexpr milliseconds ping_interval{200};
    static constexpr milliseconds ping_timeout{400};
    /// Interval between steps of the state machines while a replacement is in
    /// progress.
    static constexpr milliseconds step_interval{10};
    /// Interval between notifications to a VM that has not confirmed a record.
    static constexpr milliseconds notice_interval{100};
    static constexpr milliseconds notice_timeout{600};

    failover_driver(boost::asio::any_io_executor executor, fleet_state& state,
                    leader_election& election, grant_tracker& grants,
                    peer_client& peers);

    void start();
    /// This VM has become the leader or has ceased to be it.
    void on_leadership_changed(bool is_leader);
    /// Makes the next step run at once.
    void wake();
    /// Begins no further action, and ends the orders that have not been written
    /// yet. To be called before the lease is given back.
    void stop_ordering();
    /// Whether an order has been written and not been answered yet.
    bool has_open_orders() const { return !orders_.empty(); }
    /// Records the report of another VM.
    void on_report(const fleet_report& report, time_point now);
    /// Applies a primary record that was observed in the store.
    void on_stored_record(const stored_primary_record& stored);
    /// All records have been read: the store contains those of these groups.
    void on_store_read(const std::set<std::string>& listed_groups);
    /// The store was restored from a copy.
    void on_store_restored();

    /// Returns all records with the newest known log position of each primary,
    /// for grants.
    std::vector<primary_state> primary_states(time_point now) const;
    /// Called to apply a notification to this VM itself. Must be set before
    /// `start`.
    std::function<boost::asio::awaitable<notice_receipt>(primary_notice)>
        on_local_notice;
    /// Called with a fencing token above this leader's that a VM has observed.
    std::function<void(std::uint64_t)> on_higher_token;
    /// Number of promotions ordered since the process started.
    std::uint64_t promotions_ordered() const { return promotions_ordered_; }
    /// The reports and confirmations of the other VMs.
    const vm_report_tracker& vm_reports() const { return vm_reports_; }

private:
    struct target_connection
    {
        std::shared_ptr<target_session> session;
        /// Whether an exchange is in progress on the session.
        bool exchange_in_flight = false;
        /// When the first of the current series of failed pings was sent; empty
        /// if the last ping was answered.
        std::optional<time_point> failing_since;
        time_point next_ping_at;
    };
    struct notice_state
    {
        /// Whether a notification has been sent and not been answered yet.
        bool in_flight = false;
        /// Earliest time of the next notification.
        time_point next_notice_at;
    };

    boost::asio::awaitable<void> run();
    /// Advances all groups. Returns the time until the next step.
    milliseconds advance_groups(time_point now);
    /// Creates the state machines of groups that targets have registered for.
    void add_groups();
    group_observation observe_group(const std::string& group, time_point now);
    void execute(const std::string& group, const group_action& action);
    /// Notifies every VM that has not confirmed the newest records.
    void notify_unconfirmed_vms(time_point now);
    boost::asio::awaitable<void> notify_vm(std::string vm, std::string address);
    /// Records what the VM holds, and uses records of it that are newer than
    /// the known ones.
    void apply_receipt(const std::string& vm, const primary_notice& notice,
                       const notice_receipt& receipt);
    /// Ends all orders under way.
    void end_orders();
    boost::asio::awaitable<void> write_record(std::string group,
                                              write_primary_record order);
    boost::asio::awaitable<void> order_promotion(std::string group,
                                                 std::string target);
    /// Sends a statement that the target answers with a report. One that
    /// changes the target is sent only if this VM may act when it is written.
    boost::asio::awaitable<void> request_report(std::string group,
                                                std::string target,
                                                std::string text,
                                                bool is_order = false);
    /// Ends the effect of a fence at the target.
    boost::asio::awaitable<void> resume(std::string group, std::string target);
    boost::asio::awaitable<void> ping_primary(std::string group,
                                              std::string target);
    /// Sends one statement to the target, over a new session if there is no
    /// usable one. Fails if another exchange with the target is in progress,
    /// and if the statement is an order and this VM may not act when the
    /// session is open.
    boost::asio::awaitable<result<target_answer>>
    exchange(std::string target, std::string text, milliseconds timeout,
             bool is_order = false);
    boost::asio::any_io_executor executor_;
    fleet_state& state_;
    leader_election& election_;
    grant_tracker& grant_tracker_;
    peer_client& peers_;
    boost::asio::steady_timer timer_;
    std::map<std::string, group_failover> groups_;
    std::map<std::string, target_connection> target_connections_;
    vm_report_tracker vm_reports_;
    /// State of the notifications, by VM.
    std::map<std::string, notice_state> notice_states_;
    /// Promotions that are being ordered.
    std::set<std::shared_ptr<order_authority>> orders_;
    bool is_leader_ = false;
    bool has_stopped_ordering_ = false;
    std::uint64_t promotions_ordered_ = 0;
};

} // namespace oleandergrade
