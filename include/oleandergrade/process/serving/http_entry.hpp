/// Takes callers' statements over HTTP, on the same core as their sessions.
#pragma once

#include <oleandergrade/connection/http_server.hpp>
#include <oleandergrade/connection/http_statement.hpp>
#include <oleandergrade/process/configuration/configuration_holder.hpp>
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

/// Each request is a session of its own, but for the position that it brings
/// and takes away. Transactions last from request to request, at this VM only.
/// All members run on one executor.
class http_entry
{
public:
    /// Transactions that may be open at the same time.
    static constexpr std::size_t most_transactions = 1000;
    /// Open transactions are looked through this often.
    static constexpr milliseconds sweep_interval{500};

    /// Throws boost::system::system_error if the address is taken.
    http_entry(boost::asio::io_context& context,
               const boost::asio::ip::tcp::endpoint& endpoint,
               const session_codec& codec, statement_runner& runner,
               const configuration_holder& configuration);

    void start();
    /// Closes each connection after its next answer, and ends transactions.
    void drain();

private:
    struct open_transaction
    {
        served_session session;
        time_point used_at;
        /// A statement is under way.
        bool busy = false;
    };

    boost::asio::awaitable<http_response> serve(http_request request);
    boost::asio::awaitable<http_answer> run(const http_statement& wanted,
                                            const std::string& key,
                                            const std::string& number);
    boost::asio::awaitable<http_answer>
    run_in_transaction(const http_statement& wanted, const std::string& key,
                       const std::string& number);
    boost::asio::awaitable<http_answer> run_in(served_session& session,
                                               session_statement call);
    void end_resting_transactions(time_point now);

    const session_codec& codec_;
    statement_runner& runner_;
    const configuration_holder& configuration_;
    http_server server_;
    /// Begins the numbers of this process's requests and transactions.
    std::string number_prefix_;
    std::uint64_t next_number_ = 0;
    std::map<std::string, std::shared_ptr<open_transaction>> transactions_;
    timer_service timers_;
};

} // namespace oleandergrade
