#include "loopback_proxy.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/listener.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace soak
{
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// The sockets of a forwarded connection.
struct loopback_proxy::proxied_connection
{
    proxied_connection(tcp::socket accepted)
        : client_socket(std::move(accepted)),
          server_socket(client_socket.get_executor())
    {
    }

    void close()
    {
        error_code ignored;
        client_socket.close(ignored);
        server_socket.close(ignored);
    }

    /// Connection from the client.
    tcp::socket client_socket;
    /// Connection to the server.
    tcp::socket server_socket;
    bool is_silent = false;
};

loopback_proxy::loopback_proxy(asio::io_context& context,
                               unsigned short listen_port,
                               unsigned short destination_port)
    : context_(context), acceptor_(context), destination_port_(destination_port)
{
    oleandergrade::listen_with_port_reuse(
        acceptor_, {asio::ip::address_v4::loopback(), listen_port});
    asio::co_spawn(context_, accept_loop(), asio::detached);
}

loopback_proxy::~loopback_proxy() = default;

void loopback_proxy::close_connections()
{
    for (const auto& connection : connections_)
        connection->close();
}

void loopback_proxy::silence_connections()
{
    for (const auto& connection : connections_)
        connection->is_silent = true;
}

asio::awaitable<void> loopback_proxy::accept_loop()
{
    for (;;)
    {
        error_code failure;
        auto socket = co_await acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        auto connection =
            std::make_shared<proxied_connection>(std::move(socket));
        asio::co_spawn(context_, serve_connection(std::move(connection)),
                       asio::detached);
    }
}

asio::awaitable<void>
loopback_proxy::serve_connection(std::shared_ptr<proxied_connection> connection)
{
    if (faults_.refuses_connections)
        co_return connection->close();
    error_code failure;
    co_await connection->server_socket.async_connect(
        {asio::ip::address_v4::loopback(), destination_port_},
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return connection->close();
    connections_.insert(connection);
    asio::co_spawn(context_,
                   forward(connection, connection->client_socket,
                           connection->server_socket,
                           &link_faults::discards_requests),
                   asio::detached);
    co_await forward(connection, connection->server_socket,
                     connection->client_socket, &link_faults::discards_answers);
    connections_.erase(connection);
}

// Once data has been discarded, the byte stream is incomplete. Nothing more is
// forwarded then, and the connection stays open: the client and the server must
// detect the failure themselves, as with a network that loses all packets.
asio::awaitable<void>
loopback_proxy::forward(std::shared_ptr<proxied_connection> connection,
                        tcp::socket& from, tcp::socket& to,
                        bool link_faults::*drop_flag)
{
    std::array<char, 8192> chunk{};
    bool has_lost_data = false;
    for (;;)
    {
        error_code failure;
        const auto size = co_await from.async_read_some(
            asio::buffer(chunk),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
        has_lost_data =
            has_lost_data || faults_.*drop_flag || connection->is_silent;
        if (has_lost_data)
            continue;
        if (faults_.delay.count() > 0)
            co_await oleandergrade::sleep_for(faults_.delay);
        co_await asio::async_write(
            to, asio::buffer(chunk.data(), size),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
    }
    connection->close();
}

} // namespace soak
