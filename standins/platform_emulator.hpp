/// Emulates the platform that the proxies run on: its key-value store, its HTTP
/// interface for promotions, and replicated database servers that use its
/// session protocol. Everything listens on the loopback address.
#pragma once

#include "group_model.hpp"
#include "received_statements.hpp"
#include "store_model.hpp"

#include <oleandergrade/connection/http_server.hpp>
#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standins
{

/// Ports, size and timing of the emulated platform.
struct emulator_settings
{
    unsigned short store_port = 0;
    unsigned short promotion_port = 0;
    /// Port of the first database server; each further one of each group takes
    /// the next port.
    unsigned short first_server_port = 0;
    /// Names of the database groups; "group-0" and "group-1" if empty.
    std::vector<std::string> group_names;
    /// Added to the port that each server registers in the store. A test can
    /// then run TCP proxies on those ports, which clients connect to instead,
    /// and disturb the connections.
    unsigned short advertised_port_offset = 0;
    unsigned servers_per_group = 3;
    /// Failure domains of the servers of each group, assigned in turn.
    std::vector<std::string> server_domains{"a"};
    /// Number of statements that a server runs at the same time.
    unsigned slots_per_server = 3;
    /// Maximum number of connections to a server.
    unsigned max_connections_per_server = 21;
    /// Time that a statement occupies a slot.
    oleandergrade::milliseconds statement_duration{3};
    /// Time until a replica applies a commit.
    oleandergrade::milliseconds replication_lag{8};
    /// Time until an ordered promotion takes effect.
    oleandergrade::milliseconds promotion_delay{100};
};

/// Counters of requests since the emulator started.
struct emulator_counters
{
    /// Sessions opened for a name that is not a configured client account, for
    /// example with a caller's key instead of the account's name. This must
    /// never happen. Sessions without an account ("-") are not counted.
    std::uint64_t foreign_accounts = 0;
    /// Statements that took a slot.
    std::uint64_t statements = 0;
    /// Connections that the servers accepted.
    std::uint64_t connections = 0;
    /// Sessions refused because a server had too many connections.
    std::uint64_t refused_connections = 0;
    /// Messages longer than the protocol allows, for which a server closed the
    /// connection. This must never happen.
    std::uint64_t overlong_messages = 0;
    /// Calls to the store, including those that were not answered.
    std::uint64_t store_calls = 0;
};

/// The emulated platform. Not thread-safe: all members run on the executor of
/// `context`.
class platform_emulator
{
public:
    /// Starts to listen on all ports and registers the servers in the store.
    /// Throws boost::system::system_error if a port is taken.
    platform_emulator(boost::asio::io_context& context,
                      emulator_settings settings);
    ~platform_emulator();

    /// Writes a configuration to the store. Its groups must be those of the
    /// settings.
    void put_configuration(const oleandergrade::route_table& table);
    /// Writes a configuration with one route of each consistency per group:
    /// "strict-N" reads the current data, "own-N" the session's own writes and
    /// "aged-N" data of bounded age, where N is the number of the group.
    /// `account_keys` holds pairs of a client account and its key; each account
    /// has a rate and a burst of `rate_per_s` operations per second.
    void put_configuration(
        std::uint64_t version,
        const std::vector<std::pair<std::string, std::string>>& account_keys,
        unsigned rate_per_s);
    /// Puts the current configuration into the store again with the next
    /// version number.
    void repeat_configuration();
    /// Returns the version of the configuration in the store.
    std::uint64_t configuration_version() const
    {
        return configuration_.version;
    }
    /// Injects a fault, given as its name and its argument, such as
    /// "crash i-0-1" or "store-slow 250". Fails with step "fault" if the fault
    /// or the server is unknown.
    oleandergrade::result<bool> apply_fault(const std::string& line);
    /// Returns the names of all faults.
    static std::vector<std::string> fault_names();

    /// Replaces the store by a copy of itself that is about this old, up to
    /// `max_copy_age`. Its revisions go back, all leases end, waiting watches
    /// are cut, and the generation that all answers name rises by one. What the
    /// operators and the servers have written is written again.
    void restore_store(oleandergrade::milliseconds copy_age);
    static constexpr oleandergrade::seconds max_copy_age{11};

    /// Makes the store unavailable or available. While it is unavailable, new
    /// calls have no effect and fail with status 503 after 3 s. A call that is
    /// in progress when the store becomes unavailable fails in the same way,
    /// but may take effect.
    void set_store_unavailable(bool unavailable)
    {
        store_unavailable_ = unavailable;
    }
    /// Sets whether the store accepts new calls without executing or answering
    /// them. Such a call gets no answer later either, and its connection stays
    /// open. Watches that are already waiting are answered as usual.
    void set_store_silent(bool silent) { store_silent_ = silent; }
    /// Sets whether calls for the prefix of the configuration fail at once with
    /// status 503 and have no effect.
    void set_configuration_refused(bool refused)
    {
        configuration_refused_ = refused;
    }
    /// Sets the delay before the store executes each call.
    void set_store_delay(oleandergrade::milliseconds delay)
    {
        store_delay_ = delay;
    }
    /// Sets the fraction (0 to 1) of the store's answers that are lost after
    /// the call took effect: the client receives status 503 after 3 s instead.
    void set_store_loss_fraction(double fraction)
    {
        store_loss_fraction_ = fraction;
    }
    /// Sets whether the answers to promotion requests are lost, that is delayed
    /// by 3 s, although the promotions are ordered.
    void set_promotion_answers_lost(bool lost)
    {
        promotion_answers_lost_ = lost;
    }
    /// Stops a server: closes its sessions, refuses new ones and deletes its
    /// record in the store.
    void crash(const std::string& id);
    /// Starts a stopped server again. It becomes a replica if there is a
    /// primary with a higher term. No effect if the server runs.
    void restart(const std::string& id);
    /// Registers a server as draining until it is restarted after a crash.
    void set_draining(const std::string& id);
    /// Sets whether a server is unresponsive: it accepts connections and
    /// executes statements, but withholds the answers.
    void set_unresponsive(const std::string& id, bool unresponsive);
    /// Stops or resumes the replication to a server. Afterwards a replica
    /// receives the commits that it missed.
    void set_replication_stopped(const std::string& id, bool stopped);

    group_model& group(std::size_t index) { return *groups_[index]; }
    store_model& store() { return store_; }
    const emulator_counters& counters() const { return counters_; }
    /// The statements that have run at the servers; those that the proxy sends
    /// by itself have the identifier "-".
    received_statements& received() { return received_; }
    /// Writes or deletes the operators' order to evacuate a failure domain.
    void set_evacuated(const std::string& domain, bool evacuated);
    /// Number of statements that took a slot of this server.
    std::uint64_t statement_count(const std::string& id);

    /// Returns the writes in the log of the group's primary with the highest
    /// term, one "ITEM DATA" line each, with blanks and other special bytes
    /// escaped as in URLs and "%" for an empty field; empty if the group is
    /// unknown or has no primary.
    std::string primary_log_text(const std::string& group_name) const;
    /// Returns the id of a server by its group's and its own number, both from
    /// 0.
    std::string server_id(std::size_t group_index,
                          std::size_t server_index) const;

private:
    struct server_state;
    struct server_session;
    struct injectable_fault;

    static const std::vector<injectable_fault>& injectable_faults();
    /// Return null if there is no such server or group.
    server_state* find_server(const std::string& id);
    group_model* find_group(const std::string& name);

    /// Answers a call to the store, subject to the injected faults.
    boost::asio::awaitable<oleandergrade::http_response>
    serve_store_call(oleandergrade::http_request request);
    /// Answers a call to the store, without the header that names the store's
    /// generation.
    boost::asio::awaitable<oleandergrade::http_response>
    answer_store_call(oleandergrade::http_request request);
    /// Executes a call to the store.
    boost::asio::awaitable<oleandergrade::http_response>
    execute_store_call(oleandergrade::http_request request);
    /// Answers with the changes after revision `after_revision`, as soon as
    /// there are any or after `max_wait`. Status 410 if they are no longer in
    /// the history.
    boost::asio::awaitable<oleandergrade::http_response>
    serve_watch(std::string prefix, std::uint64_t after_revision,
                oleandergrade::milliseconds max_wait);
    /// Executes a conditional transaction. Status 403 if it would change the
    /// platform's own keys, 412 if a condition fails, 404 if a lease does not
    /// exist.
    oleandergrade::http_response execute_transaction(const std::string& body);
    /// Orders a promotion. Status 404 if the group is unknown, 409 if the
    /// server is unknown or does not run.
    boost::asio::awaitable<oleandergrade::http_response>
    serve_promotion(oleandergrade::http_request request);

    /// Accepts connections until the server's acceptor is closed.
    boost::asio::awaitable<void> accept_loop(server_state& server);
    boost::asio::awaitable<void>
    serve_session(server_state& server,
                  std::shared_ptr<server_session> session);
    /// Executes one line of the session protocol and returns the answer.
    boost::asio::awaitable<std::string> execute_line(server_state& server,
                                                     server_session& session,
                                                     std::string line);
    /// Executes one statement and returns the answer without the READY line.
    boost::asio::awaitable<std::string> run_statement(server_state& server,
                                                      server_session& session,
                                                      const std::string& id,
                                                      const std::string& text);
    /// Returns the READY line: the state of the transaction and the position
    /// that the server has applied.
    std::string ready_line(server_state& server, server_session& session);
    /// Writes the server's record with its state and role to the store.
    void register_server(server_state& server);
    /// Takes copies of the store as long as the emulator runs.
    boost::asio::awaitable<void> copy_store();
    /// Completes promotions that are due and registers again each running
    /// server whose role has changed.
    void register_changed_roles();

    boost::asio::io_context& context_;
    emulator_settings settings_;
    store_model store_;
    std::uint64_t store_generation_ = 1;
    /// Copies of the store and when they were taken, the oldest first.
    std::deque<std::pair<oleandergrade::time_point, store_model>> store_copies_;
    bool store_unavailable_ = false;
    bool store_silent_ = false;
    bool configuration_refused_ = false;
    oleandergrade::milliseconds store_delay_{0};
    double store_loss_fraction_ = 0;
    bool promotion_answers_lost_ = false;
    std::minstd_rand random_;
    std::vector<std::unique_ptr<group_model>> groups_;
    std::vector<std::unique_ptr<server_state>> servers_;
    /// The configuration in the store.
    oleandergrade::route_table configuration_;
    std::set<std::string> account_names_;
    emulator_counters counters_;
    received_statements received_;
    std::unique_ptr<oleandergrade::http_server> store_server_;
    std::unique_ptr<oleandergrade::http_server> promotion_server_;
};

} // namespace standins
