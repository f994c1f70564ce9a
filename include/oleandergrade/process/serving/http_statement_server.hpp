/// Accepts callers' statements over HTTP and runs them like those of sessions.
#pragma once

#include <oleandergrade/connection/http_server.hpp>
#include <oleandergrade/connection/http_statement.hpp>
#include <oleandergrade/process/configuration/active_configuration.hpp>
#include <oleandergrade/process/serving/statement_runner.hpp>
#include <oleandergrade/process/timer_service.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// HTTP server for statements. Each request is a separate session; only the
/// session's log position is carried from one request to the next, by the
/// caller. A transaction spans several requests, which must all be sent to this
/// VM. All members must be called on one executor.
class http_statement_server
{
public:
    /// Maximum number of transactions that are open at the same time. A request
    /// that would begin a further one is answered with "busy".
    static constexpr std::size_t max_transactions = 1000;
    /// Interval between checks for transactions that have been idle for too
    /// long.
    static constexpr milliseconds idle_check_interval{500};

    /// Binds the server to `endpoint`. The references must outlive the object.
    /// Throws boost::system::system_error if the address is already in use.
    http_statement_server(boost::asio::io_context& context,
                          const boost::asio::ip::tcp::endpoint& endpoint,
                          const session_codec& codec, statement_runner& runner,
                          const active_configuration& configuration);

    /// Starts the periodic check for idle transactions.
    void start();
    /// Closes each connection after its next answer from now on.
    void set_close_after_answer() { server_.drain(); }
    /// Rolls back the open transactions that have no statement under way.
    void fail_transactions();
    /// Refuses further connections, and closes the idle ones.
    void stop_accepting() { server_.stop(); }
    /// Returns the number of requests that have been received and not answered.
    std::size_t unanswered_count() const { return server_.unanswered_count(); }

private:
    /// A transaction that was begun over HTTP and has not ended.
    struct open_transaction
    {
        served_session session;
        /// When its last statement ended.
        time_point last_used_at;
        /// A statement of the transaction is under way.
        bool statement_in_progress = false;
    };

    /// Parses one request, runs it and returns the HTTP response.
    boost::asio::awaitable<http_response> serve(http_request request);
    /// Runs a statement in a new session, or begins a transaction. `request_id`
    /// identifies the request and, if it begins a transaction, the transaction.
    boost::asio::awaitable<http_statement_answer>
    run_outside_transaction(const http_statement& statement,
                            const std::string& key,
                            const std::string& request_id);
    /// Runs a statement in the open transaction that the request names. Fails
    /// if the transaction is unknown at this VM or belongs to another database
    /// or key.
    boost::asio::awaitable<http_statement_answer>
    run_in_transaction(const http_statement& statement, const std::string& key,
                       const std::string& request_id);
    /// Runs a statement in the given session and converts the encoded reply
    /// into an HTTP answer.
    boost::asio::awaitable<http_statement_answer>
    run_in_session(served_session& session, session_statement call);
    /// Rolls back transactions that have been idle for longer than the
    /// configured limit.
    void fail_idle_transactions(time_point now);

    const session_codec& codec_;
    statement_runner& runner_;
    const active_configuration& configuration_;
    http_server server_;
    /// Random prefix of the request and transaction identifiers that this
    /// process assigns.
    std::string request_id_prefix_;
    std::uint64_t next_request_number_ = 0;
    /// Open transactions by identifier.
    std::map<std::string, std::shared_ptr<open_transaction>> transactions_;
    timer_service timers_;
};

} // namespace oleandergrade
