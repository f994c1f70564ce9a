/// The I/O around one stand-in database server.
#pragma once

#include "database_server.hpp"

#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/http_message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace standins
{

using namespace oleandergrade;

/// How one server is set up.
struct target_options
{
    /// Its own address, by which its primary knows it.
    std::string address;
    /// Address of the first primary; empty if this is the one.
    std::string first_primary;
    std::size_t group_size = 3;
    /// Statements that run at the same time.
    std::size_t slots = 3;
    /// Connections that carry statements at the same time.
    std::size_t connections = 20;
    duration connect_time = milliseconds(10);
    /// Time that one statement holds its slot.
    duration service_time = microseconds(300);
    /// Replication lag as seen by reads.
    milliseconds apply_delay{0};
    /// File that keeps the log over restarts; empty for none.
    std::string state_file;
};

/// Faults that a test can switch on; shown in the dump.
struct fault_switches
{
    std::uint64_t apply_delay_ms = 0;
    std::uint64_t slow_ms = 0;
    std::uint64_t lose_answers = 0;
    bool replication_paused = false;
    bool cut_off = false;
};

/// An open transaction, bound to its connection.
struct open_transaction
{
    std::vector<standins::cell_change> changes;
};

/// Serves one database server over HTTP/1.1. Everything runs on one thread.
class target_process
{
public:
    target_process(boost::asio::io_context& context, target_options options);

    boost::asio::awaitable<http_response> serve(http_request request);
    /// The time that opening a connection takes.
    boost::asio::awaitable<void> open_delay();
    void connection_closed(std::uint64_t connection);

private:
    using handler = boost::asio::awaitable<http_response> (target_process::*)(
        const http_request&, const boost::json::object&);
    struct route
    {
        const char* path;
        handler serve;
        /// Counted against the connection cap and slowed by faults.
        bool is_session;
    };
    static const route routes[];

    boost::asio::awaitable<http_response>
    serve_read(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_write(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_begin(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_commit(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_rollback(const http_request& request,
                   const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_status(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_progress(const http_request& request,
                   const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_fence(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_promote(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_follow(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_log(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_fault(const http_request& request, const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_dump(const http_request& request, const boost::json::object& body);

    boost::asio::awaitable<void> sleep(duration delay);
    boost::asio::awaitable<void> take_slot();
    void release_slot();
    boost::asio::awaitable<void> replicate();
    boost::asio::awaitable<bool> pull_once();
    void apply_later();
    bool restore();
    /// Appends what is new to the state file; rewrites it after a truncation.
    void persist();
    void write_state_line(const boost::json::object& line);
    boost::asio::awaitable<void> wait_for_change(duration limit);
    void notify_change();
    boost::json::object status_object() const;
    /// Wakes up whoever waits for a change and tells the new status.
    http_response command_reply(bool granted);
    http_response reply(const standins::statement_reply& outcome) const;

    boost::asio::io_context& context_;
    target_options options_;
    standins::database_server database_;
    fault_switches faults_;
    std::set<std::uint64_t> sessions_;
    std::map<std::uint64_t, open_transaction> transactions_;
    std::size_t slots_taken_ = 0;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> slot_waiters_;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> change_waiters_;
    std::unique_ptr<http_client> upstream_;
    std::uint64_t statements_ = 0;
    std::ofstream state_file_;
    std::uint64_t persisted_ = 0;
    std::uint64_t persisted_last_term_ = 0;
    std::optional<standins::saved_role> persisted_role_;
};

} // namespace standins
