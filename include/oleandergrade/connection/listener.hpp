/// Opens listening sockets.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace oleandergrade
{

/// Opens an acceptor and listens at an address with SO_REUSEPORT, so that other
/// sockets may listen at the same address; the kernel distributes the
/// connections among them. Throws boost::system::system_error if that fails,
/// for example because a socket without SO_REUSEPORT occupies the address.
void listen_with_port_reuse(boost::asio::ip::tcp::acceptor& acceptor,
                            const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace oleandergrade
