/// An HTTP/1.1 server on one Asio executor, implemented with Boost.Beast.
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

/// Limits that keep clients from exhausting the memory and the sockets of the
/// process.
struct http_server_limits
{
    /// Maximum size of a request body; larger requests are answered with 413.
    std::size_t max_body_bytes = 1024 * 1024;
    /// Maximum size of a request header; larger requests are answered with 431.
    std::size_t max_header_bytes = 16 * 1024;
    /// A connection is closed if no complete request arrives for this long.
    duration idle_timeout = seconds(120);
    /// A connection is closed if its peer takes longer than this to read a
    /// response.
    duration write_timeout = seconds(10);
    /// Maximum number of open connections; further ones are closed at once.
    std::size_t max_connections = 20000;
};

/// The functions that a server calls, all on its executor. Only `serve` is
/// required.
struct http_server_handlers
{
    /// Returns the response to a request.
    std::function<boost::asio::awaitable<http_response>(http_request)> serve;
    /// Called before the first request of a connection is read, which waits
    /// until the function has finished.
    std::function<boost::asio::awaitable<void>()> on_open;
    /// Called once for each connection, after its last request was answered.
    std::function<void(std::uint64_t connection_id)> on_close;
};

/// Accepts connections and serves the requests of each one after another.
class http_server
{
public:
    /// Listens at the address and accepts connections at once. Throws
    /// boost::system::system_error if the address cannot be used.
    http_server(boost::asio::io_context& context,
                const boost::asio::ip::tcp::endpoint& endpoint,
                http_server_limits limits, http_server_handlers handlers);
    /// Calls stop(). Requests in progress still use the handlers afterwards.
    ~http_server();

    /// Closes each connection after its next response. New connections are
    /// still accepted, and closed after their first response.
    void drain();

    /// Stops accepting connections and closes the idle ones. The others are
    /// closed after the response to the request in progress.
    void stop();

    /// Returns the number of requests that have been received and not answered.
    std::size_t unanswered_count() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace oleandergrade
