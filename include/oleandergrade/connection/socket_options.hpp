/// Options of TCP sockets that the product sets everywhere.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace oleandergrade
{

/// Sends small messages at once, and lets the system end a connection whose
/// far end has become silent: after a second without an acknowledgement of
/// what was sent, or after three seconds of unanswered keep-alive probes.
void watch_for_silence(boost::asio::ip::tcp::socket& socket);

} // namespace oleandergrade
