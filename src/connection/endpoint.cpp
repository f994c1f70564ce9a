#include <oleandergrade/connection/endpoint.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace oleandergrade
{
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

error invalid_address(const std::string& address)
{
    return {error_kind::invalid, "parse address", address,
            "expected a numeric IP address and a port from 1 to 65535, "
            "such as 127.0.0.1:7000"};
}

} // namespace

result<tcp::endpoint> parse_endpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return invalid_address(address);
    std::string host = address.substr(0, colon);
    if (host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    error_code failure;
    const auto ip = asio::ip::make_address(host, failure);
    if (failure)
        return invalid_address(address);
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return invalid_address(address);
    return tcp::endpoint(ip, port);
}

} // namespace oleandergrade
