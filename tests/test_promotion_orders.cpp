/// Tests of the moment at which a promotion is sent to the platform, over real
/// connections.
#include "../platform/http_promotion_client.hpp"

#include <oleandergrade/connection/async_event.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <criterion/criterion.h>

#include <array>
#include <optional>

using namespace oleandergrade;
namespace asio = boost::asio;

namespace
{

/// A platform that accepts connections and never answers.
class silent_platform
{
public:
    explicit silent_platform(asio::io_context& context)
        : acceptor_(context, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    std::size_t received_bytes() const { return received_bytes_; }
    bool is_closed() const { return is_closed_; }

private:
    asio::awaitable<void> accept()
    {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        std::array<char, 4096> chunk{};
        boost::system::error_code failure;
        while (!failure)
            received_bytes_ += co_await socket.async_read_some(
                asio::buffer(chunk),
                asio::redirect_error(asio::use_awaitable, failure));
        is_closed_ = true;
    }

    asio::ip::tcp::acceptor acceptor_;
    std::size_t received_bytes_ = 0;
    bool is_closed_ = false;
};

asio::awaitable<void> order(promotion_client& client,
                            std::shared_ptr<order_authority> authority,
                            std::optional<result<bool>>& outcome)
{
    const promotion_order promotion{"g", "r1", "vm-a", 7};
    outcome = co_await client.promote(promotion, std::move(authority));
}

} // namespace

// Guards against an order of a leader that has lost its authority while the
// connection was opened: it arrived after its successor's, with a lower token.
Test(promotion_orders, an_order_is_not_sent_without_authority)
{
    asio::io_context context;
    silent_platform platform(context);
    const auto client = platform::make_http_promotion_client(
        context.get_executor(), platform.address());
    // Valid until the call has begun.
    bool may_act = true;
    const auto authority =
        std::make_shared<order_authority>([&] { return may_act; });
    std::optional<result<bool>> outcome;
    asio::co_spawn(context, order(*client, authority, outcome), asio::detached);
    asio::post(context, [&] { may_act = false; });
    context.run_for(milliseconds(300));
    cr_assert(outcome && !succeeded(*outcome));
    cr_assert(error_of(*outcome).kind == error_kind::unreachable);
    cr_assert(!authority->is_sent());
    cr_assert(platform.received_bytes() == 0);
}

// Guards against a connection that opens seconds after its VM has resigned and
// sends the order all the same.
Test(promotion_orders, a_call_that_waits_for_its_connection_ends_with_authority)
{
    asio::io_context context;
    // A queue of one connection, which is full.
    asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(asio::ip::tcp::v4());
    acceptor.bind({asio::ip::address_v4::loopback(), 0});
    acceptor.listen(0);
    std::vector<asio::ip::tcp::socket> fillers;
    for (int i = 0; i < 3; ++i)
    {
        fillers.emplace_back(context);
        fillers.back().async_connect(acceptor.local_endpoint(),
                                     [](const boost::system::error_code&) {});
    }
    context.run_for(milliseconds(50));
    const auto client = platform::make_http_promotion_client(
        context.get_executor(),
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    const auto authority =
        std::make_shared<order_authority>([] { return true; });
    std::optional<result<bool>> outcome;
    asio::co_spawn(context, order(*client, authority, outcome), asio::detached);
    context.restart();
    context.run_for(milliseconds(100));
    cr_assert(!outcome, "the connection was opened");
    authority->end();
    context.restart();
    context.run_for(milliseconds(50));
    cr_assert(outcome && !succeeded(*outcome));
    cr_assert(error_of(*outcome).kind == error_kind::unreachable);
    cr_assert(!authority->is_sent());
}

// Guards against a call that goes on after its VM has resigned.
Test(promotion_orders, a_call_that_waits_for_its_answer_ends_with_authority)
{
    asio::io_context context;
    silent_platform platform(context);
    const auto client = platform::make_http_promotion_client(
        context.get_executor(), platform.address());
    const auto authority =
        std::make_shared<order_authority>([] { return true; });
    std::optional<result<bool>> outcome;
    asio::co_spawn(context, order(*client, authority, outcome), asio::detached);
    context.run_for(milliseconds(100));
    cr_assert(!outcome && authority->is_sent());
    cr_assert(platform.received_bytes() > 0);
    authority->end();
    context.restart();
    context.run_for(milliseconds(100));
    cr_assert(outcome && !succeeded(*outcome));
    cr_assert(error_of(*outcome).kind == error_kind::broken);
    cr_assert(platform.is_closed());
}
