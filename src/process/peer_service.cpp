#include <oleandergrade/process/peer_service.hpp>

#include <oleandergrade/connection/listener.hpp>
#include <oleandergrade/connection/peer_link.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

peer_service::peer_service(asio::io_context& worker,
                           const tcp::endpoint& endpoint,
                           process_context& context, owner_service& owner,
                           bank_service& bank, control_service& control,
                           asio::any_io_executor control_executor)
    : acceptor_(worker), context_(context), owner_(owner), bank_(bank),
      control_(control), control_executor_(std::move(control_executor))
{
    listen_shared(acceptor_, endpoint);
}

void peer_service::start()
{
    asio::co_spawn(acceptor_.get_executor(), accept_loop(), asio::detached);
}

asio::awaitable<void> peer_service::accept_loop()
{
    for (;;)
    {
        boost::system::error_code failure;
        auto socket = co_await acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure)
            continue;
        socket.set_option(tcp::no_delay(true), failure);
        auto handler = [this](peer_body body)
        { return serve(std::move(body)); };
        const auto link =
            std::make_shared<peer_link>(std::move(socket), handler);
        link->start();
    }
}

asio::awaitable<peer_body> peer_service::serve(peer_body body)
{
    if (auto* sent = std::get_if<statement>(&body))
    {
        auto outcome = co_await owner_.execute(std::move(*sent));
        co_return outcome;
    }
    if (const auto* request = std::get_if<token_request>(&body))
        co_return bank_.lend(*request, clock::now());
    if (const auto* request = std::get_if<trace_request>(&body))
        co_return trace_reply{
            context_.traces.find_json(request->request_number)};
    auto reply = co_await asio::co_spawn(control_executor_,
                                         control_.serve(std::move(body)),
                                         asio::use_awaitable);
    co_return reply;
}

} // namespace oleandergrade
