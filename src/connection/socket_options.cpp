#include <oleandergrade/connection/socket_options.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// Maximum time for which sent data may remain unacknowledged. Must be shorter
/// than the time within which a failed primary has to be replaced.
constexpr int max_unacknowledged_time_ms = 1000;
/// Idle time before the first keep-alive probe, and interval between probes.
/// One second is the shortest that the kernel accepts.
constexpr int keep_alive_interval_s = 1;
/// Number of unanswered keep-alive probes after which the connection is closed.
constexpr int max_unanswered_probes = 2;

template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

} // namespace

void enable_dead_peer_detection(asio::ip::tcp::socket& socket)
{
    // Errors are ignored: without one of these options, a failed peer is only
    // detected later.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(tcp_option<TCP_KEEPIDLE>(keep_alive_interval_s), ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>(keep_alive_interval_s),
                      ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>(max_unanswered_probes), ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(max_unacknowledged_time_ms),
                      ignored);
}

} // namespace oleandergrade
