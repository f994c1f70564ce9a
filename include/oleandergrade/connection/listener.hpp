/// Listening sockets that several workers share.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace oleandergrade
{

/// Opens an acceptor at an address that other acceptors of this process may
/// use as well; the system spreads connections over them. Throws
/// boost::system::system_error if the address is taken.
void listen_shared(boost::asio::ip::tcp::acceptor& acceptor,
                   const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace oleandergrade
