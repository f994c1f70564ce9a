/// A TCP proxy between two ports on loopback that injects network faults.
#pragma once

#include <oleandergrade/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace soak
{

/// Network faults that a proxy injects. By default it injects none.
struct link_faults
{
    /// Delay before each chunk of data is forwarded, in both directions.
    oleandergrade::milliseconds delay{0};
    /// Data from clients (`discards_requests`) or from the server
    /// (`discards_answers`) is discarded. A connection that has lost data
    /// forwards nothing more in this direction, even after the fault has ended.
    bool discards_requests = false;
    bool discards_answers = false;
    /// New connections are closed at once, without a connection to the server.
    bool refuses_connections = false;

    bool operator==(const link_faults&) const = default;
};

/// Accepts connections on one port of loopback and forwards them to another.
/// Not thread-safe: all members must run on one executor.
class loopback_proxy
{
public:
    /// Starts to accept connections on `listen_port` and to forward them to
    /// `destination_port`. Throws boost::system::system_error if the port is
    /// already in use.
    loopback_proxy(boost::asio::io_context& context, unsigned short listen_port,
                   unsigned short destination_port);
    ~loopback_proxy();

    /// Replaces the faults. They apply to open and to new connections.
    void set_faults(const link_faults& faults) { faults_ = faults; }
    /// Closes both sides of all open connections. New ones are still accepted.
    void close_connections();
    /// All open connections forward nothing more, without being closed. New
    /// ones work.
    void silence_connections();

private:
    struct proxied_connection;

    boost::asio::awaitable<void> accept_loop();
    /// Connects to the server and forwards data in both directions until one
    /// side closes the connection.
    boost::asio::awaitable<void>
    serve_connection(std::shared_ptr<proxied_connection> connection);
    /// Forwards data in one direction until either socket is closed, then
    /// closes both. `drop_flag` is the fault that discards the data of this
    /// direction.
    boost::asio::awaitable<void>
    forward(std::shared_ptr<proxied_connection> connection,
            boost::asio::ip::tcp::socket& from,
            boost::asio::ip::tcp::socket& to, bool link_faults::*drop_flag);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    unsigned short destination_port_;
    link_faults faults_;
    std::set<std::shared_ptr<proxied_connection>> connections_;
};

} // namespace soak
