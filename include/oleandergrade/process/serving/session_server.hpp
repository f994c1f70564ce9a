/// Accepts callers' sessions over TCP.
#pragma once

#include <oleandergrade/process/configuration/active_configuration.hpp>
#include <oleandergrade/process/serving/statement_runner.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <set>

namespace oleandergrade
{

/// Limits that keep callers from exhausting the resources of the process.
struct session_limits
{
    /// Maximum number of open sessions. Further connections are closed at once.
    std::size_t max_sessions = 3500;
    /// Maximum time from connecting until the message that opens the session
    /// has been received.
    milliseconds opening_timeout{5000};
    /// For this time after the start, openings wait for the first
    /// configuration. Later ones are refused at once: the VM is cut off, and
    /// another one may serve the caller.
    milliseconds configuration_timeout{400};
    /// Maximum time for a caller to read an answer before it is disconnected.
    /// The session server does not apply it at present.
    milliseconds write_timeout{10000};
};

/// Server for callers' sessions; one coroutine serves each session. All members
/// must be called on one executor.
class session_server
{
public:
    /// Binds the server to `endpoint`. The references must outlive the object.
    /// Throws boost::system::system_error if the address is already in use.
    session_server(boost::asio::io_context& context,
                   const boost::asio::ip::tcp::endpoint& endpoint,
                   const session_codec& codec, statement_runner& runner,
                   const active_configuration& configuration,
                   session_limits limits);
    ~session_server();

    /// Starts accepting connections.
    void start();
    /// While set, closes each session after the end of its next operation, so
    /// that callers reconnect. New connections are still accepted.
    void set_close_after_answer(bool enabled) { close_after_answer_ = enabled; }
    /// Refuses further connections.
    void stop_accepting();
    /// Closes the sessions that have neither a statement nor an operation
    /// under way.
    void close_idle_sessions();
    /// Rolls back the open transactions that have no statement under way. Their
    /// callers receive an error with their next statement.
    void fail_transactions();
    /// Returns the number of sessions that have not been closed.
    std::size_t session_count() const { return sessions_.size(); }

private:
    /// A caller's connection and the session that it carries.
    struct live_session;

    boost::asio::awaitable<void> accept_loop();
    /// Serves one session until it is closed.
    boost::asio::awaitable<void> serve(std::shared_ptr<live_session> live);
    /// Reads the opening message and checks the database and the key. Returns
    /// false if the session must be closed.
    boost::asio::awaitable<bool> open_session(live_session& live);
    /// Reads one statement and answers it. Returns false if the session must be
    /// closed.
    boost::asio::awaitable<bool> serve_next_statement(live_session& live);
    /// Returns false if the connection is broken.
    boost::asio::awaitable<bool> write(live_session& live, std::string bytes);
    /// Answers with an error and logs it; the caller of this function then
    /// closes the session.
    boost::asio::awaitable<void> refuse(live_session& live, session_error code,
                                        const char* text);
    /// Shuts the sending side down and discards what the caller still sends,
    /// for a limited time.
    boost::asio::awaitable<void> drain_input(live_session& live);
    /// Starts the timer that rolls back a transaction whose caller sends no
    /// further statement.
    void
    start_idle_transaction_timer(const std::shared_ptr<live_session>& live);

    boost::asio::ip::tcp::acceptor acceptor_;
    const session_codec& codec_;
    statement_runner& runner_;
    const active_configuration& configuration_;
    session_limits limits_;
    /// All sessions that have not been closed.
    std::set<std::shared_ptr<live_session>> sessions_;
    bool close_after_answer_ = false;
    /// When the first configuration must have arrived.
    time_point configuration_deadline_;
};

} // namespace oleandergrade
