#include <oleandergrade/process/timer_service.hpp>

#include <oleandergrade/connection/async_event.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

asio::awaitable<void> run(duration interval,
                          std::function<void(time_point)> callback,
                          std::shared_ptr<bool> stopped)
{
    while (!*stopped)
    {
        co_await sleep_for(interval);
        if (!*stopped)
            callback(current_time());
    }
}

} // namespace

timer_service::timer_service(asio::any_io_executor executor)
    : executor_(std::move(executor)), stopped_(std::make_shared<bool>(false))
{
}

timer_service::~timer_service()
{
    stop();
}

void timer_service::subscribe(duration interval,
                              std::function<void(time_point)> callback)
{
    asio::co_spawn(executor_, run(interval, std::move(callback), stopped_),
                   asio::detached);
}

void timer_service::stop()
{
    *stopped_ = true;
}

} // namespace oleandergrade
