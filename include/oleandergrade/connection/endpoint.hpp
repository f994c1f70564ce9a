/// Addresses as they stand in settings.
#pragma once

#include <oleandergrade/error.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace oleandergrade
{

/// Parses "127.0.0.1:7000" or "[::1]:7000". Host names are refused.
result<boost::asio::ip::tcp::endpoint>
parse_endpoint(const std::string& address);

} // namespace oleandergrade
