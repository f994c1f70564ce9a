/// Parses the network addresses that occur in settings and records.
#pragma once

#include <oleandergrade/error.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace oleandergrade
{

/// Parses an IP address with a port, such as "127.0.0.1:7000" or "[::1]:7000".
/// Fails with step "parse address" for host names, for port 0 and for any other
/// text.
result<boost::asio::ip::tcp::endpoint>
parse_endpoint(const std::string& address);

} // namespace oleandergrade
