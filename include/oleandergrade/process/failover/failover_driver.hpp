/// Carries out what the replacement of primaries asks for, at the duty's
/// holder.
#pragma once

#include <oleandergrade/connection/target_session.hpp>
#include <oleandergrade/process/failover/grant_ledger.hpp>
#include <oleandergrade/process/failover/group_failover.hpp>
#include <oleandergrade/process/failover/vm_contacts.hpp>
#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/membership/duty_election.hpp>
#include <oleandergrade/process/membership/peer_calls.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Works only while this VM holds the duty. All members run on one executor.
class failover_driver
{
public:
    /// A primary is asked for its position this often.
    static constexpr milliseconds ping_interval{200};
    static constexpr milliseconds ping_timeout{400};
    /// While a replacement is under way, its steps are looked at this often.
    static constexpr milliseconds step_interval{10};
    /// Between notices to a VM that has not confirmed.
    static constexpr milliseconds notice_interval{100};
    static constexpr milliseconds notice_timeout{600};

    failover_driver(boost::asio::any_io_executor executor, fleet_state& state,
                    duty_election& duty, grant_ledger& ledger,
                    peer_calls& peers);

    void start();
    /// This VM took the duty over, or lost it.
    void on_duty_changed(bool holds);
    void on_report(const fleet_report& report, time_point now);
    /// A primary's record was seen in the store.
    void on_record(const primary_record& record);

    /// All records with the newest positions, for grants and notices.
    std::vector<primary_state> primary_states(time_point now) const;
    /// Called when this VM must act on a notice of its own.
    std::function<boost::asio::awaitable<notice_receipt>(primary_notice)>
        on_own_notice;
    std::uint64_t promotions_ordered() const { return promotions_; }
    /// The other VMs, as their reports show them.
    const vm_contacts& contacts() const { return contacts_; }

private:
    struct target_contact
    {
        std::shared_ptr<target_session> session;
        bool busy = false;
        std::optional<time_point> failing_since;
        time_point next_ping;
    };
    struct notice_state
    {
        bool under_way = false;
        time_point next;
    };

    boost::asio::awaitable<void> run();
    milliseconds step(time_point now);
    void add_groups();
    group_sight sight_of(const std::string& group, time_point now);
    void carry_out(const std::string& group, const group_action& action);
    void notify_all(time_point now);
    boost::asio::awaitable<void> notify(std::string vm, std::string address);
    boost::asio::awaitable<void> write(std::string group,
                                       write_primary_record order);
    boost::asio::awaitable<void> promote(std::string group, std::string target);
    boost::asio::awaitable<void> ask(std::string group, std::string target,
                                     std::string text);
    boost::asio::awaitable<void> ping(std::string group, std::string target);
    boost::asio::awaitable<result<target_answer>>
    exchange(std::string target, std::string text, milliseconds timeout);
    void poke();

    boost::asio::any_io_executor executor_;
    fleet_state& state_;
    duty_election& duty_;
    grant_ledger& ledger_;
    peer_calls& peers_;
    boost::asio::steady_timer timer_;
    std::map<std::string, group_failover> groups_;
    std::map<std::string, target_contact> targets_;
    vm_contacts contacts_;
    /// Notices by VM.
    std::map<std::string, notice_state> notices_;
    bool holds_ = false;
    std::uint64_t promotions_ = 0;
};

} // namespace oleandergrade
