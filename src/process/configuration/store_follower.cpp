#include <oleandergrade/process/configuration/store_follower.hpp>

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/process/event_log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{
namespace asio = boost::asio;

store_follower::store_follower(asio::any_io_executor executor,
                               metadata_store& store, std::string prefix,
                               milliseconds watch_timeout, handlers callbacks)
    : executor_(std::move(executor)), store_(store), prefix_(std::move(prefix)),
      watch_time_(watch_timeout), handlers_(std::move(callbacks)),
      resumed_(executor_)
{
}

void store_follower::start()
{
    asio::co_spawn(executor_, run(), asio::detached);
}

asio::awaitable<void> store_follower::run()
{
    for (;;)
    {
        co_await wait_while_idle();
        bool keep_watching = co_await read();
        while (keep_watching && !idle_)
            keep_watching = co_await watch();
    }
}

void store_follower::set_idle(bool idle)
{
    if (std::exchange(idle_, idle) == idle)
        return;
    log_event(event_level::info, "store", idle ? "left to leader" : "followed",
              {{"prefix", prefix_}});
    resumed_.cancel();
}

asio::awaitable<void> store_follower::wait_while_idle()
{
    while (idle_)
    {
        resumed_.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await resumed_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> store_follower::read()
{
    auto outcome = co_await store_.read_all(prefix_);
    if (!succeeded(outcome))
    {
        co_await on_failure(error_of(outcome));
        co_return false;
    }
    on_answer();
    has_read_ = true;
    as_of_ = value_of(outcome).as_of;
    handlers_.on_all(value_of(outcome));
    co_return true;
}

asio::awaitable<bool> store_follower::watch()
{
    const auto started_at = current_time();
    auto outcome = co_await store_.watch(prefix_, as_of_, watch_time_);
    if (!succeeded(outcome))
    {
        if (error_of(outcome).kind == error_kind::conflict)
            co_return false;
        co_await on_failure(error_of(outcome));
        co_return true;
    }
    on_answer();
    as_of_ = std::max(as_of_, value_of(outcome).as_of);
    for (const auto& change : value_of(outcome).changes)
        handlers_.on_change(change);
    if (!value_of(outcome).changes.empty())
        co_await sleep_for(burst_.after_changes(current_time() - started_at));
    co_return true;
}

void store_follower::on_answer()
{
    pause_ = first_pause;
    if (std::exchange(in_touch_, true))
        return;
    log_event(event_level::info, "store", "regained", {{"prefix", prefix_}});
}

asio::awaitable<void> store_follower::on_failure(const error& failure)
{
    if (std::exchange(in_touch_, false))
        log_event(event_level::warning, "store", "lost",
                  {{"prefix", prefix_}, {"error", to_string(failure)}});
    co_await sleep_for(pause_);
    pause_ = std::min(pause_ * 2, longest_pause);
}

} // namespace oleandergrade
