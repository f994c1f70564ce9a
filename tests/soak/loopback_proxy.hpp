/// Passes connections on to another port of loopback, and harms them.
#pragma once

#include <oleandergrade/clock.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace soak
{

/// What a proxy does to the bytes that pass it.
struct link_harm
{
    /// Each piece is held up this long.
    oleandergrade::milliseconds delay{0};
    /// Pieces of one direction, or of both, are not passed on any more.
    bool drops_requests = false;
    bool drops_answers = false;
    /// New connections are not accepted by the other side.
    bool refuses = false;

    bool operator==(const link_harm&) const = default;
};

/// All members run on one executor.
class loopback_proxy
{
public:
    /// Throws boost::system::system_error if the port is taken.
    loopback_proxy(boost::asio::io_context& context, unsigned short port,
                   unsigned short destination);
    ~loopback_proxy();

    void set_harm(const link_harm& harm) { harm_ = harm; }
    /// Ends all connections at once.
    void reset_connections();

private:
    struct connection;

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> connect(std::shared_ptr<connection> link);
    boost::asio::awaitable<void> pass(std::shared_ptr<connection> link,
                                      boost::asio::ip::tcp::socket& from,
                                      boost::asio::ip::tcp::socket& to,
                                      bool link_harm::*drops);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    unsigned short destination_;
    link_harm harm_;
    std::set<std::shared_ptr<connection>> connections_;
};

} // namespace soak
