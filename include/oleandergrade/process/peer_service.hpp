/// Accepts peer links and hands their messages to the parts.
#pragma once

#include <oleandergrade/process/bank_service.hpp>
#include <oleandergrade/process/control_service.hpp>
#include <oleandergrade/process/owner_service.hpp>
#include <oleandergrade/process/process_context.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace oleandergrade
{

/// One per worker; all of them share the peer address.
class peer_service
{
public:
    /// Throws boost::system::system_error if the address is taken.
    peer_service(boost::asio::io_context& worker,
                 const boost::asio::ip::tcp::endpoint& endpoint,
                 process_context& context, owner_service& owner,
                 bank_service& bank, control_service& control,
                 boost::asio::any_io_executor control_executor);

    void start();

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<peer_body> serve(peer_body body);

    boost::asio::ip::tcp::acceptor acceptor_;
    process_context& context_;
    owner_service& owner_;
    bank_service& bank_;
    control_service& control_;
    boost::asio::any_io_executor control_executor_;
};

} // namespace oleandergrade
