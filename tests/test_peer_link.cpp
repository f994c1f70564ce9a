/// Tests of connections between VMs that are closed and opened again while
/// messages are under way. Loopback connections, one executor.
///
/// Each scenario is a function outside its test, because GCC 12 cannot compile
/// coroutines inside Criterion's test functions.
#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/peer_link.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <random>
#include <thread>
#include <vector>

using namespace oleandergrade;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

constexpr unsigned rounds = 300;
constexpr auto call_timeout = milliseconds(1000);
/// Enough for a reply that arrives in many parts.
constexpr std::size_t reply_bytes = 1 << 20;

asio::awaitable<peer_body> make_large_reply(peer_body)
{
    fleet_snapshot reply;
    reply.configuration.assign(reply_bytes, 'x');
    co_return reply;
}

asio::awaitable<void> accept_links(tcp::acceptor& acceptor,
                                   std::vector<std::shared_ptr<peer_link>>& all)
{
    for (;;)
    {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        all.push_back(
            std::make_shared<peer_link>(std::move(socket), make_large_reply));
        all.back()->start();
    }
}

asio::awaitable<void> call_and_ignore(peer_link& link)
{
    co_await link.call(liveness_probe{1}, call_timeout);
}

/// Closes the link while a reply arrives, and calls again at once. Returns the
/// number of calls over the new connection that failed.
asio::awaitable<unsigned> reopen_during_replies(peer_link& link)
{
    std::minstd_rand random{1};
    unsigned failed = 0;
    for (unsigned i = 0; i < rounds; ++i)
    {
        asio::co_spawn(co_await asio::this_coro::executor,
                       call_and_ignore(link), asio::detached);
        co_await sleep_for(std::chrono::microseconds(random() % 1500));
        // Parts of the reply arrive meanwhile.
        std::this_thread::sleep_for(std::chrono::microseconds(random() % 300));
        link.close();
        const auto reply = co_await link.call(liveness_probe{2}, call_timeout);
        failed += succeeded(reply) ? 0 : 1;
    }
    co_return failed;
}

} // namespace

// Guards against a read or write of a closed connection that goes on in the
// next one: its messages are then cut and its calls are not answered.
Test(peer_link, a_connection_that_is_opened_again_gets_all_its_bytes)
{
    asio::io_context context{1};
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    std::vector<std::shared_ptr<peer_link>> accepted;
    asio::co_spawn(context, accept_links(acceptor, accepted), asio::detached);
    peer_link link(context.get_executor(),
                   "127.0.0.1:" +
                       std::to_string(acceptor.local_endpoint().port()));
    std::optional<unsigned> failed;
    asio::co_spawn(context, reopen_during_replies(link),
                   [&](std::exception_ptr, unsigned count)
                   {
                       failed = count;
                       context.stop();
                   });
    context.run_for(seconds(30));
    cr_assert(failed == 0U, "%u of %u calls failed", failed.value_or(rounds),
              rounds);
}
