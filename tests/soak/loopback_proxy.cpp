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
struct loopback_proxy::connection
{
    connection(tcp::socket accepted)
        : near_side(std::move(accepted)), far_side(near_side.get_executor())
    {
    }

    void close()
    {
        error_code ignored;
        near_side.close(ignored);
        far_side.close(ignored);
    }

    /// Connection from the client.
    tcp::socket near_side;
    /// Connection to the server.
    tcp::socket far_side;
};

loopback_proxy::loopback_proxy(asio::io_context& context,
                               unsigned short listen_port,
                               unsigned short destination_port)
    : context_(context), acceptor_(context), destination_(destination_port)
{
    oleandergrade::listen_with_port_reuse(
        acceptor_, {asio::ip::address_v4::loopback(), listen_port});
    asio::co_spawn(context_, accept_loop(), asio::detached);
}

loopback_proxy::~loopback_proxy() = default;

void loopback_proxy::reset_connections()
{
    for (const auto& proxied : connections_)
        proxied->close();
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
        auto proxied = std::make_shared<connection>(std::move(socket));
        asio::co_spawn(context_, connect(std::move(proxied)), asio::detached);
    }
}

asio::awaitable<void>
loopback_proxy::connect(std::shared_ptr<connection> proxied)
{
    if (harm_.refuses)
        co_return proxied->close();
    error_code failure;
    co_await proxied->far_side.async_connect(
        {asio::ip::address_v4::loopback(), destination_},
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return proxied->close();
    connections_.insert(proxied);
    asio::co_spawn(context_,
                   pass(proxied, proxied->near_side, proxied->far_side,
                        &link_harm::drops_requests),
                   asio::detached);
    co_await pass(proxied, proxied->far_side, proxied->near_side,
                  &link_harm::drops_answers);
    connections_.erase(proxied);
}

// Once data has been discarded, the byte stream is incomplete. Nothing more is
// forwarded then, and the connection stays open: the client and the server must
// detect the failure themselves, as with a network that loses all packets.
asio::awaitable<void> loopback_proxy::pass(std::shared_ptr<connection> proxied,
                                           tcp::socket& from, tcp::socket& to,
                                           bool link_harm::*drop_flag)
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
        has_lost_data = has_lost_data || harm_.*drop_flag;
        if (has_lost_data)
            continue;
        if (harm_.delay.count() > 0)
            co_await oleandergrade::sleep_for(harm_.delay);
        co_await asio::async_write(
            to, asio::buffer(chunk.data(), size),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
    }
    proxied->close();
}

} // namespace soak
