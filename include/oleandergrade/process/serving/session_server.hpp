/// Takes callers' sessions.
#pragma once

#include <oleandergrade/process/configuration/configuration_holder.hpp>
#include <oleandergrade/process/serving/statement_runner.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <set>

namespace oleandergrade
{

/// Bounds that keep callers from exhausting the process.
struct session_limits
{
    std::size_t sessions = 3500;
    /// Time to name the database after connecting.
    milliseconds opening_time{5000};
    /// Longest wait for the first configuration.
    milliseconds start_wait{1500};
    /// A caller that reads its answer slower than this is cut off.
    milliseconds write_time{10000};
};

/// One coroutine serves each session. All members run on one executor.
class session_server
{
public:
    /// Throws boost::system::system_error if the address is taken.
    session_server(boost::asio::io_context& context,
                   const boost::asio::ip::tcp::endpoint& endpoint,
                   const session_codec& codec, statement_runner& runner,
                   const configuration_holder& configuration,
                   session_limits limits);
    ~session_server();

    void start();
    /// Ends each session after its next answer; goes on accepting.
    void set_shedding(bool shedding) { shedding_ = shedding; }
    /// Ends sessions without a statement or transaction under way.
    void close_idle();
    /// Fails the open transactions; nothing of them is kept.
    void end_transactions();
    std::size_t size() const { return sessions_.size(); }

private:
    struct live_session;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> serve(std::shared_ptr<live_session> live);
    boost::asio::awaitable<bool> greet(live_session& live);
    boost::asio::awaitable<bool> answer_next(live_session& live);
    boost::asio::awaitable<bool> write(live_session& live, std::string bytes);
    boost::asio::awaitable<void> refuse(live_session& live, session_error code,
                                        const char* text);
    boost::asio::awaitable<void> linger(live_session& live);
    void watch_idle_transaction(const std::shared_ptr<live_session>& live);

    boost::asio::ip::tcp::acceptor acceptor_;
    const session_codec& codec_;
    statement_runner& runner_;
    const configuration_holder& configuration_;
    session_limits limits_;
    std::set<std::shared_ptr<live_session>> sessions_;
    bool shedding_ = false;
};

} // namespace oleandergrade
