#include <oleandergrade/connection/async_event.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;

async_event::async_event(const asio::any_io_executor& executor)
    : timer_(executor)
{
}

asio::awaitable<bool> async_event::wait_until(time_point deadline)
{
    if (is_signalled_)
        co_return true;
    timer_.expires_at(deadline);
    boost::system::error_code ignored;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    co_return is_signalled_;
}

void async_event::signal()
{
    is_signalled_ = true;
    timer_.cancel();
}

asio::awaitable<void> sleep_for(duration delay)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace oleandergrade
