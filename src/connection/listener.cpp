#include <oleandergrade/connection/listener.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{
/// Number of connections that may wait to be accepted; the kernel may use less.
constexpr int max_pending_connections = 4096;
} // namespace

void listen_with_port_reuse(asio::ip::tcp::acceptor& acceptor,
                            const asio::ip::tcp::endpoint& endpoint)
{
    using reuse_port =
        asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.set_option(reuse_port(true));
    acceptor.bind(endpoint);
    acceptor.listen(max_pending_connections);
}

} // namespace oleandergrade
