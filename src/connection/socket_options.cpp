#include <oleandergrade/connection/socket_options.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// Shorter than the time after which a failed primary must be replaced.
constexpr int unacknowledged_ms = 1000;
/// The shortest interval that the system knows.
constexpr int probe_interval_s = 1;
constexpr int probes = 2;

template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

} // namespace

void watch_for_silence(asio::ip::tcp::socket& socket)
{
    // An option that the system lacks only makes silence show later.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(tcp_option<TCP_KEEPIDLE>(probe_interval_s), ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>(probe_interval_s), ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>(probes), ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(unacknowledged_ms), ignored);
}

} // namespace oleandergrade
