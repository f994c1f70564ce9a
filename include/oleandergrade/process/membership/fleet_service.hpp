/// Keeps a VM in touch with the store, the other VMs and the duty's holder.
#pragma once

#include <oleandergrade/connection/peer_link.hpp>
#include <oleandergrade/process/configuration/store_records.hpp>
#include <oleandergrade/process/failover/failover_driver.hpp>
#include <oleandergrade/process/failover/grant_ledger.hpp>
#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/limits/share_ledger.hpp>
#include <oleandergrade/process/membership/duty_election.hpp>
#include <oleandergrade/process/membership/holder_contact.hpp>
#include <oleandergrade/process/membership/peer_calls.hpp>

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

/// Counters since the process started.
struct fleet_counts
{
    std::uint64_t duties_taken = 0;
    std::uint64_t grants_lost = 0;
    std::uint64_t reports_unanswered = 0;
    std::uint64_t operations_borrowed = 0;
    std::uint64_t operations_not_lent = 0;
    std::uint64_t operations_lent = 0;
    std::uint64_t snapshots_fetched = 0;
};

/// Each VM reports to the duty's holder several times a second and gets a
/// grant back: how long it may use primaries, which ones, and its share of the
/// accounts' limits. All members run on one executor.
class fleet_service
{
public:
    static constexpr milliseconds report_interval{250};
    static constexpr milliseconds call_timeout{400};
    /// A configuration that another VM has and the store has not shown for
    /// this long is fetched from that VM.
    static constexpr milliseconds configuration_patience{300};

    fleet_service(boost::asio::io_context& context, fleet_state& state);
    ~fleet_service();

    /// Throws boost::system::system_error if the peer address is taken.
    void start();
    /// Gives the duty up, if this VM holds it.
    boost::asio::awaitable<void> retire();

    /// Takes one operation of an account out of the holder's reserve.
    boost::asio::awaitable<admission> borrow(std::string account);

    /// This VM reaches neither the holder nor most of the other VMs. Its
    /// callers are better served elsewhere.
    bool is_isolated() const { return isolated_; }
    /// Called when the VM becomes isolated, or ceases to be.
    std::function<void(bool)> on_isolation;

    const duty_election& duty() const { return duty_; }
    const fleet_counts& counts() const { return counts_; }
    std::uint64_t promotions_ordered() const
    {
        return failover_.promotions_ordered();
    }

private:
    void use_all_own_keys(const stored_range& range);
    void use_own_key(const stored_change& change);
    void use_record(const primary_record& record, const char* source);
    void on_members_changed();

    boost::asio::awaitable<void> register_member();
    boost::asio::awaitable<void> elect();
    boost::asio::awaitable<void> run_duty_call(duty_call call);
    void on_duty_changed();
    void turn_to_holder(const std::string& address);
    boost::asio::awaitable<void> report_to_holder();
    boost::asio::awaitable<void> report_once();
    std::string report_address();
    boost::asio::awaitable<void> look_around();
    boost::asio::awaitable<void> probe(std::string address,
                                       std::shared_ptr<std::size_t> answers);
    std::vector<std::string> other_addresses() const;
    void set_isolated(bool isolated, std::size_t asked, std::size_t answered);
    fleet_report make_report();
    void use_grant(const fleet_grant& grant, const std::string& address,
                   time_point sent_at);
    void grant_to_self(time_point now);
    boost::asio::awaitable<void> fetch_snapshot(std::string address);

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<peer_body> serve(peer_body body);
    borrow_reply lend(const borrow_request& request);
    fleet_grant answer_report(const fleet_report& report);
    boost::asio::awaitable<notice_receipt> take_notice(primary_notice notice);
    /// How long a grant of this VM holds from now on; zero if it may not grant.
    milliseconds grant_validity(time_point now) const;
    bool may_grant(time_point now) const;

    boost::asio::io_context& context_;
    fleet_state& state_;
    duty_election duty_;
    grant_ledger ledger_;
    share_ledger shares_;
    holder_contact holder_;
    peer_calls peers_;
    failover_driver failover_;
    store_records records_;
    store_follower own_follower_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer election_poke_;
    boost::asio::steady_timer report_poke_;
    fleet_counts counts_;
    bool registered_ = false;
    bool held_duty_ = false;
    bool had_grant_ = false;
    bool fetching_ = false;
    bool isolated_ = false;
    bool looking_around_ = false;
    std::minstd_rand random_;
    /// Time since the store last answered the holder, as it says.
    milliseconds holder_store_age_{grant_ledger::grant_without_store};
    /// Since when another VM has a newer configuration.
    std::optional<time_point> behind_since_;
};

} // namespace oleandergrade
