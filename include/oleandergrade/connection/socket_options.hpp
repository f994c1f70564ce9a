/// Options of TCP connections with which a failed peer is detected.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace oleandergrade
{

/// Disables Nagle's algorithm, so that small messages are sent at once, and
/// lets the kernel close a connection whose peer no longer responds: when sent
/// data has not been acknowledged for one second, or after three seconds during
/// which an idle peer did not answer keep-alive probes.
void enable_dead_peer_detection(boost::asio::ip::tcp::socket& socket);

} // namespace oleandergrade
