/// Connects a VM with the store, the other VMs and the leader.
#pragma once

#include <oleandergrade/connection/peer_link.hpp>
#include <oleandergrade/process/configuration/store_mirror.hpp>
#include <oleandergrade/process/failover/failover_driver.hpp>
#include <oleandergrade/process/failover/grant_tracker.hpp>
#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/limits/operation_lending.hpp>
#include <oleandergrade/process/membership/copy_fetcher.hpp>
#include <oleandergrade/process/membership/grant_issuer.hpp>
#include <oleandergrade/process/membership/isolation_monitor.hpp>
#include <oleandergrade/process/membership/leader_election.hpp>
#include <oleandergrade/process/membership/leader_tracker.hpp>
#include <oleandergrade/process/membership/peer_client.hpp>
#include <oleandergrade/process/membership/peer_sample.hpp>
#include <oleandergrade/process/membership/report_relay.hpp>
#include <oleandergrade/process/membership/store_pacing.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace oleandergrade
{

/// Counters of one VM since its process started.
struct fleet_counts
{
    /// How often this VM has become the leader.
    std::uint64_t elections_won = 0;
    /// How often the VM's grant has run out.
    std::uint64_t grants_lost = 0;
    std::uint64_t reports_unanswered = 0;
    /// Reports that a relay has not answered.
    std::uint64_t relays_lost = 0;
};

/// A VM's membership in the fleet: registration, leader election, reports and
/// grants, and the server side of all calls between VMs.
///
/// Each VM reports to the leader several times a second and receives a grant in
/// return, which contains the time for which it may use primaries, the records
/// of these primaries, and its shares of the client accounts' limits. All
/// members run on one executor.
class fleet_service
{
public:
    static constexpr milliseconds report_interval{250};
    /// Timeout of reports and probes.
    static constexpr milliseconds call_timeout{400};
    /// Timeout of reports to a relay. Together with a report to the leader that
    /// follows it ends before the grant does.
    static constexpr milliseconds relay_timeout{350};
    fleet_service(boost::asio::io_context& context, fleet_state& state);
    ~fleet_service();

    /// Starts to listen for calls of other VMs, and all background work. Throws
    /// boost::system::system_error if the peer address is malformed or in use.
    void start();
    /// Ends the leadership of this VM, if it is the leader, and its lease, so
    /// that another VM can be elected at once. To be called before the process
    /// stops.
    boost::asio::awaitable<void> retire();

    /// Borrows operations of a client account, as many as this VM needs for a
    /// short time, and records them in the limiter, except the one that runs
    /// now. Asks the leader and the lenders one after another; not admitted if
    /// none of them lends in time.
    boost::asio::awaitable<admission> borrow(std::string account)
    {
        return lending_.borrow(std::move(account));
    }

    /// Whether this VM gets no answer from the leader, and fewer than half of
    /// the other VMs that it probed have answered. Its callers are better
    /// served by another VM.
    bool is_isolated() const { return isolation_.is_isolated(); }
    /// `handler` is called with true when the VM becomes isolated, and with
    /// false when it no longer is.
    void on_isolation(std::function<void(bool)> handler)
    {
        isolation_.on_change = std::move(handler);
    }

    /// Sends a report at once, for instance to tell the leader that this VM
    /// stops.
    void report_now();
    /// Answers statements that other VMs forward; called with the message and
    /// the number of the link that it arrived over. If not set, nothing is
    /// accepted.
    std::function<boost::asio::awaitable<forwarded_answer>(
        forwarded_statement statement, std::uint64_t link)>
        serve_forwarded;
    std::function<boost::asio::awaitable<forwarded_answer>(
        forwarded_end request)>
        end_forwarded;
    /// Called when a link of another VM to this one was closed.
    std::function<void(std::uint64_t link)> on_link_closed;

    const leader_election& election() const { return election_; }
    /// Address of the VM that relays this VM's reports; empty if it reports to
    /// the leader.
    const std::string& relay_address() const { return relay_address_; }
    std::uint64_t reports_relayed() const { return relay_.relayed_count(); }
    std::uint64_t snapshots_fetched() const { return copies_.fetched_count(); }
    /// The newest version of the configuration that another VM has named.
    std::uint64_t newest_known_version() const
    {
        return copies_.newest_known_version();
    }
    const fleet_counts& counts() const { return counts_; }
    std::uint64_t lender_table_version() const
    {
        return lending_.table_version();
    }
    const struct lending_counts& lending_counts() const
    {
        return lending_.counts();
    }
    /// Returns what is known of each prefix of the store that the VM follows.
    std::vector<followed_prefix> followed_prefixes(time_point now) const;
    std::uint64_t promotions_ordered() const
    {
        return failover_.promotions_ordered();
    }

private:
    /// Applies a complete read of the product's own keys; members that it does
    /// not contain are removed.
    void apply_all_own_keys(const stored_range& range);
    /// Reads everything again if the store was restored from a copy.
    void check_store_generation();
    /// Registers this VM again if the store has lost its registration. The
    /// leader does so for the others: not all of them follow the store.
    void restore_registrations(const std::vector<std::string>& lost_members,
                               const stored_range& range);
    boost::asio::awaitable<void> restore_registration(fleet_member member);
    /// Resigns if this VM leads with a lower token: another leader has been
    /// elected, or the store has lost one that was.
    void on_higher_token(std::uint64_t token);
    boost::asio::awaitable<void> end_lease(std::uint64_t lease);
    /// Applies a registration, or its removal, to the list of members.
    void apply_member(const stored_change& change);
    /// Applies a change of the leader key, a registration or a primary record.
    void apply_own_key(const stored_change& change);
    /// All changes of the product's own keys up to this revision of the store
    /// have been applied.
    void on_changes_applied(std::uint64_t store_revision);
    /// Applies a primary record if it is newer than the current one. `source`
    /// is written to the log: "store", "holder" (a grant of the leader) or
    /// "notice".
    void apply_primary_record(const primary_record& record, const char* source);
    void on_members_changed();

    /// Registers this VM in the store.
    boost::asio::awaitable<void> register_member();
    /// Executes the calls of the election for as long as the process runs.
    boost::asio::awaitable<void> run_election();
    boost::asio::awaitable<void> execute_election_call(election_call call);
    /// To be called after each event of the election; acts if this VM has
    /// become the leader or has lost its leadership.
    void on_election_event();
    /// Sends the next report to another leader, at once. An empty address
    /// stands for the leader that the store shows.
    void switch_to_leader(const std::string& address);
    /// Reports to the leader at regular intervals, or grants to itself if this
    /// VM is the leader, for as long as the process runs.
    boost::asio::awaitable<void> run_report_loop();
    /// Relies on a leader that confirms what it follows in the store, if there
    /// is one, or else confirms it at this VM. In a large fleet most VMs do so
    /// only after a time that grows with their rank in their failure domain, so
    /// that not all of them call the store when a leader is lost.
    void update_follow_mode(time_point now);
    /// Sets the delays between failed calls of the store by the size of the
    /// fleet, and by whether the store answers the calls for its own keys.
    void update_retry_delays(follow_mode mode);
    /// Returns whether this VM receives all changes from the store itself.
    bool is_current() const
    {
        return store_mirror_.is_current() && own_keys_follower_.is_current();
    }
    /// Sends one report, through a relay if there is one, and applies the grant
    /// that answers it.
    boost::asio::awaitable<void> send_report();
    /// Sends one report to the relay. Returns false if it was not answered with
    /// a grant.
    boost::asio::awaitable<bool> send_report_to_relay();
    /// Sends the reports of other VMs to the leader.
    boost::asio::awaitable<result<relayed_grants>>
    send_relayed_reports(relayed_reports reports);
    /// Address for the next report; empty if there is none.
    std::string next_report_address();
    /// Address of the leader as far as it is known; may be empty.
    const std::string& leader_address() const;
    /// Addresses of the seeds and the registered members without this VM.
    std::vector<std::string> other_addresses() const;
    /// Addresses of the VMs that get reports while there is no leader: all
    /// others in a small fleet, a few in a large one.
    std::vector<std::string> report_peer_addresses();
    /// Number of VMs as far as it is known: by registrations, by answers to
    /// reports and, until the first grant, by the seeds.
    std::size_t known_fleet_size() const;
    /// Takes over the number of members that an answer to a report names.
    void on_member_count_reported(const fleet_grant& answer);
    store_pacing pacing() const;
    /// Returns whether this VM is to look for members that it lacks. A large
    /// fleet that starts registers members all the time, and looking for each
    /// of them would overload the store and the leader.
    bool must_seek_members(std::uint32_t member_count, time_point now);
    fleet_report make_report();
    /// Applies the answer of the VM at `sender_address` to a report that was
    /// sent at `report_sent_at`.
    void apply_grant(const fleet_grant& grant,
                     const std::string& sender_address,
                     time_point report_sent_at);
    /// Reads the evacuated domains again if they have differed from those of
    /// the leader for some time.
    void compare_evacuations(const fleet_grant& grant, time_point now);
    /// Whether the store, as far as it has been read, has keys that only a
    /// leader writes.
    bool store_shows_earlier_leader() const;
    /// Renews this leader's own grant and its own shares of the limits.
    void grant_to_self(time_point now);
    boost::asio::awaitable<void> accept_loop();
    /// Returns the reply to a request of another VM that arrived over the link
    /// with this number.
    boost::asio::awaitable<peer_body> handle_request(peer_body body,
                                                     std::uint64_t link);
    /// Returns the reply to a message that concerns forwarded statements.
    boost::asio::awaitable<peer_body>
    handle_forwarding_request(peer_body body, std::uint64_t link);
    /// Applies the leader's notification about primaries. The receipt promises
    /// that no more statements are sent under a closed record, and that no
    /// answer to an earlier one is passed on as a success.
    boost::asio::awaitable<notice_receipt> handle_notice(primary_notice notice);
    boost::asio::io_context& context_;
    fleet_state& state_;
    leader_election election_;
    grant_tracker grant_tracker_;
    leader_tracker leader_;
    peer_client peers_;
    failover_driver failover_;
    grant_issuer grants_;
    operation_lending lending_;
    isolation_monitor isolation_;
    report_relay relay_;
    store_mirror store_mirror_;
    store_follower own_keys_follower_;
    copy_fetcher copies_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer election_wake_timer_;
    boost::asio::steady_timer report_wake_timer_;
    fleet_counts counts_;
    /// Number of the link that was accepted last.
    std::uint64_t last_link_ = 0;
    /// The store has acknowledged this VM's registration.
    bool registered_ = false;
    /// Generation of the store, and whether it has changed since the process
    /// started.
    std::uint64_t store_generation_ = 0;
    bool store_was_restored_ = false;
    /// Whether this VM was the leader after the previous election event.
    bool was_leader_ = false;
    /// At the last election of this VM there was no sign of an earlier leader.
    bool is_first_leader_ = false;
    /// Whether this VM held a valid grant at the previous report.
    bool had_grant_ = false;
    std::minstd_rand random_;
    /// The VMs that get reports in a large fleet without a leader.
    peer_sample report_peers_;
    /// The number of members in the last grant, or the largest one in another
    /// answer to a report.
    std::uint32_t reported_member_count_ = 0;
    /// Number of members at the leader for which this VM has last looked for
    /// further members in the store.
    std::uint32_t refreshed_at_member_count_ = 0;
    /// When this VM may look for the members that it lacks; not set while it
    /// lacks none.
    std::optional<time_point> members_sought_at_;
    /// Since when the store has shown this VM other evacuated domains than the
    /// leader's grants.
    std::optional<time_point> evacuations_differ_since_;
    /// Time since the store last answered the leader, according to the leader.
    milliseconds leader_store_age_{grant_tracker::store_outage_tolerance};
    time_point started_at_;
    time_point demands_reported_at_;
    std::string relay_address_;
    /// A relay that has not answered, until the leader has been told.
    std::string lost_relay_;
    /// Whether this VM follows the store also while it has a leader.
    bool is_follower_ = true;
    /// Position of this VM among those of its failure domain.
    std::size_t rank_in_domain_ = 0;
};

} // namespace oleandergrade
