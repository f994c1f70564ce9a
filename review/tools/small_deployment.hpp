/// A small deployment on loopback for the review's scripts: the platform's
/// store, its interface for promotions, replicated database servers, and the
/// project's VMs as processes of their own.
#pragma once

#include "child_process.hpp"
#include "platform_emulator.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review
{

namespace asio = boost::asio;
using oleandergrade::current_time;
using oleandergrade::duration;
using oleandergrade::milliseconds;
using oleandergrade::seconds;
using oleandergrade::time_point;

/// Writes record.txt: one line for each event, with the time since the start.
class run_record
{
public:
    explicit run_record(const std::string& path);
    void add(const std::string& line);
    /// Milliseconds since the start of the run.
    std::int64_t elapsed_ms() const;

private:
    std::ofstream file_;
    time_point started_at_ = current_time();
};

/// A call that reached the interface for promotions.
struct promotion_call
{
    time_point arrived_at;
    std::string holder;
    std::uint64_t fence = 0;
    std::string service;
    std::string server;
    unsigned status = 0;
};

/// A statement that a database server answered with success.
struct server_run
{
    time_point received_at;
    time_point answered_at;
    std::string server;
    std::string id;
    std::string text;
    /// For EXECUTE: the shape that the name stood for at the server.
    std::string shape;
    /// Values of the connection, from SET, when it received the statement.
    std::map<std::string, std::string> values;
    /// Role and term of the server when it received the statement.
    bool is_primary = false;
    std::uint64_t term = 0;
    /// The newest term that a promote of the group had begun by then.
    std::uint64_t newest_term = 0;
};

struct deployment_settings
{
    std::string folder;
    /// Prefix of the VMs' program.
    std::string vm_program = "target/oleander-vm";
    unsigned vms = 6;
    std::vector<std::string> zones{"negombo", "colombo", "kalutara",
                                   "galle",   "negombo", "colombo"};
    /// Tenants with their keys.
    std::vector<std::pair<std::string, std::string>> tenants{{"u1", "key-u1"},
                                                             {"u2", "key-u2"}};
    unsigned rate_per_s = 400;
    unsigned max_connections = 21;
    milliseconds statement_duration{8};
    milliseconds promotion_delay{300};
};

/// The emulated platform and the VMs. Not thread-safe.
class small_deployment
{
public:
    small_deployment(asio::io_context& context, deployment_settings settings,
                     run_record& record);
    ~small_deployment();

    /// Starts the VMs; they have to be stopped with stop_vms().
    void start_vms();
    void stop_vms();
    void start_vm(unsigned vm);
    /// Sends a signal to a VM, and starts it again after its process has ended
    /// and `pause` has passed.
    asio::awaitable<void> restart_vm(unsigned vm, int signal_number,
                                     milliseconds pause);
    /// Starts VMs whose processes end by themselves again after a short delay,
    /// and counts such ends, until stopped.
    asio::awaitable<void> watch_vms();
    void stop_watching() { watches_ = false; }
    /// How often the process of each VM has ended by itself.
    const std::map<unsigned, unsigned>& own_ends() const { return own_ends_; }
    /// Lets a VM run for `share` of each tenth of a second only, like a core
    /// whose allotment is used up, until watch_vms() is stopped.
    asio::awaitable<void> limit_processor(unsigned vm, double share);
    void send_signal(unsigned vm, int signal_number);
    void set_store_away(bool away) { store_away_ = away; }
    /// Whether restart_vm() has started this VM again.
    bool has_started_again(unsigned vm) const
    {
        return restarted_.contains(vm);
    }
    /// Waits until all VMs say that they are ready.
    asio::awaitable<bool> wait_until_ready(duration limit);
    /// The VM that the store shows as the leader; no value if there is none.
    std::optional<unsigned> leader_vm() const;

    unsigned short front_port(unsigned vm) const { return vm_port(vm); }
    unsigned vm_count() const { return settings_.vms; }

    /// Lets the interface for promotions accept no connection, with its queue
    /// of new connections full, or accept them again.
    asio::awaitable<void> set_promotions_slow(bool slow);
    /// Whether the stored record of a group names a server to be promoted.
    bool has_candidate(const std::string& group) const;

    /// Takes the copy that the store comes back from.
    void copy_store();
    /// The store is away for `away`, then comes back from the copy. What the
    /// operator and the servers have written is written again at once; what
    /// the system has written since is gone, and so are all leases.
    asio::awaitable<void> restore_store(milliseconds away);
    /// Takes the server out of the store after it has reported `draining` for
    /// `serves_for`, and ends it.
    asio::awaitable<void> release_server(std::string id,
                                         milliseconds serves_for);

    /// Partitions a server from all VMs, or ends that. The store and the other
    /// servers still reach it.
    void cut_server(const std::string& id, bool is_cut);
    /// Crashes a server, and starts it again after `away`. Its entry in the
    /// store expires after three pings.
    asio::awaitable<void> crash_server(std::string id, milliseconds away);
    /// From now on, a commit is acknowledged once one replica has received it.
    void set_synchronous() { commits_synchronously_ = true; }
    /// Puts another configuration: `edit` changes the fields of the present
    /// one, and the version rises by one.
    void
    change_configuration(const std::function<void(boost::json::object&)>& edit);

    standins::platform_emulator& platform() { return *emulator_; }
    const std::vector<promotion_call>& promotions() const
    {
        return promotions_;
    }
    const std::vector<server_run>& runs() const { return runs_; }
    /// Whether the statement is known to have been run by a server.
    run_record& record() { return record_; }

private:
    struct http_reply
    {
        unsigned status = 200;
        boost::json::object body;
        /// The connection is closed without an answer.
        bool is_cut = false;
    };
    struct http_call
    {
        std::string method;
        std::string target;
        std::string body;
        std::string holder;
        std::string fence;
    };
    using http_handler = std::function<asio::awaitable<http_reply>(http_call)>;
    struct tapped_session;

    unsigned short vm_port(unsigned vm) const;
    std::string last_log_line(unsigned vm) const;
    asio::awaitable<void> start_after(unsigned vm, milliseconds delay);
    unsigned short server_port(std::size_t index) const;
    void write_settings(unsigned vm, bool is_first_start) const;
    asio::awaitable<void> accept_http(asio::ip::tcp::acceptor& acceptor,
                                      http_handler handler, bool shows_era);
    asio::awaitable<void> serve_http(asio::ip::tcp::socket socket,
                                     http_handler handler, bool shows_era);
    asio::awaitable<http_reply> serve_store(http_call call);
    asio::awaitable<http_reply>
    serve_watch(std::string prefix, std::uint64_t after, milliseconds wait);
    http_reply write_transaction(const std::string& body);
    asio::awaitable<http_reply> serve_promotion(http_call call);
    asio::awaitable<void> accept_at_server(std::size_t index);
    asio::awaitable<void> forward_statements(std::shared_ptr<tapped_session> s);
    asio::awaitable<void> forward_answers(std::shared_ptr<tapped_session> s);
    asio::awaitable<void> send_heartbeats(std::size_t index);
    asio::awaitable<void> follow_roles();
    /// Whether a replica of the server's group receives its commits.
    bool is_replicated(const server_run& run) const;
    void
    put_server_entry(const std::string& id,
                     const std::function<void(boost::json::object&)>& edit);

    asio::io_context& context_;
    deployment_settings settings_;
    run_record& record_;
    unsigned short base_port_ = 0;
    std::unique_ptr<standins::platform_emulator> emulator_;
    asio::ip::tcp::acceptor store_acceptor_;
    asio::ip::tcp::acceptor promotion_acceptor_;
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> server_acceptors_;
    std::vector<std::unique_ptr<soak::child_process>> processes_;
    std::vector<promotion_call> promotions_;
    std::vector<server_run> runs_;
    std::optional<standins::store_model> store_copy_;
    bool store_away_ = false;
    std::uint64_t store_era_ = 1;
    /// When each server became the primary of the newest term, by group.
    std::map<std::string, std::uint64_t> newest_terms_;
    std::map<std::string, time_point> superseded_since_;
    std::uint64_t next_sequence_ = 2;
    bool promotions_slow_ = false;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> queue_fillers_;
    std::set<unsigned> restarted_;
    bool watches_ = true;
    std::map<unsigned, unsigned> own_ends_;
    std::set<std::string> cut_servers_;
    std::set<std::string> crashed_;
    std::set<std::string> paused_;
    bool commits_synchronously_ = false;
    std::vector<std::shared_ptr<tapped_session>> silent_sessions_;
};

/// A client's session at a VM.
class client_session
{
public:
    client_session(asio::io_context& context, run_record& record,
                   std::string name)
        : socket_(context), record_(record), name_(std::move(name))
    {
    }
    /// Connects and opens a session. Returns false if that fails within 2 s.
    asio::awaitable<bool> open(unsigned short port, std::string database,
                               std::string key);
    /// Sends a statement and returns its answer, line by line; empty if the
    /// connection has ended. The last line begins with READY.
    asio::awaitable<std::vector<std::string>> query(std::string id,
                                                    std::string text);
    bool is_open() const { return is_open_; }
    void close();

private:
    asio::awaitable<std::optional<std::string>> read_line();

    asio::ip::tcp::socket socket_;
    run_record& record_;
    std::string name_;
    std::string buffer_;
    bool is_open_ = false;
};

/// Whether the answer tells of success.
bool is_success(const std::vector<std::string>& answer);

} // namespace review
