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

loopback_proxy::loopback_proxy(asio::io_context& context, unsigned short port,
                               unsigned short destination)
    : context_(context), acceptor_(context), destination_(destination)
{
    oleandergrade::listen_shared(acceptor_,
                                 {asio::ip::address_v4::loopback(), port});
    asio::co_spawn(context_, accept_loop(), asio::detached);
}

loopback_proxy::~loopback_proxy() = default;

void loopback_proxy::reset_connections()
{
    for (const auto& link : connections_)
        link->close();
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
        auto link = std::make_shared<connection>(std::move(socket));
        asio::co_spawn(context_, connect(std::move(link)), asio::detached);
    }
}

asio::awaitable<void> loopback_proxy::connect(std::shared_ptr<connection> link)
{
    if (harm_.refuses)
        co_return link->close();
    error_code failure;
    co_await link->far_side.async_connect(
        {asio::ip::address_v4::loopback(), destination_},
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return link->close();
    connections_.insert(link);
    asio::co_spawn(
        context_,
        pass(link, link->near_side, link->far_side, &link_harm::drops_requests),
        asio::detached);
    co_await pass(link, link->far_side, link->near_side,
                  &link_harm::drops_answers);
    connections_.erase(link);
}

// Once data has been discarded, the byte stream is incomplete. Nothing more is
// forwarded then, and the connection stays open: the client and the server must
// detect the failure themselves, as with a network that loses all packets.
asio::awaitable<void> loopback_proxy::pass(std::shared_ptr<connection> link,
                                           tcp::socket& from, tcp::socket& to,
                                           bool link_harm::*drops)
{
    std::array<char, 8192> piece{};
    bool is_dead = false;
    for (;;)
    {
        error_code failure;
        const auto size = co_await from.async_read_some(
            asio::buffer(piece),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
        is_dead = is_dead || harm_.*drops;
        if (is_dead)
            continue;
        if (harm_.delay.count() > 0)
            co_await oleandergrade::sleep_for(harm_.delay);
        co_await asio::async_write(
            to, asio::buffer(piece.data(), size),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
    }
    link->close();
}

} // namespace soak
