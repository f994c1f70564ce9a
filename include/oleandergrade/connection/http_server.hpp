/// An HTTP/1.1 server on one Asio executor, built on Boost.Beast.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/http_message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace oleandergrade
{

/// Bounds that keep one connection from exhausting the process.
struct http_limits
{
    std::size_t body_bytes = 1024 * 1024;
    std::size_t header_bytes = 16 * 1024;
    /// A connection without a request for this long is closed.
    duration idle_timeout = seconds(120);
    /// A peer that reads its answer slower than this is cut off.
    duration write_timeout = seconds(10);
    std::size_t connections = 20000;
};

/// The behaviour behind a server. Every member is called on its executor.
struct http_handlers
{
    /// Produces the answer to one request.
    std::function<boost::asio::awaitable<http_response>(http_request)> serve;
    /// Runs before the first request of a connection; may delay.
    std::function<boost::asio::awaitable<void>()> on_open;
    /// Runs once after the connection has ended.
    std::function<void(std::uint64_t connection)> on_close;
};

/// Accepts connections and serves one request at a time on each.
class http_server
{
public:
    /// Binds and listens at once. Throws boost::system::system_error if the
    /// address is taken.
    http_server(boost::asio::io_context& context,
                const boost::asio::ip::tcp::endpoint& endpoint,
                http_limits limits, http_handlers handlers);
    ~http_server();

    /// Closes each connection after its next answer; goes on accepting.
    void drain();

    /// Stops accepting and closes idle connections. Requests in progress are
    /// answered first.
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace oleandergrade
