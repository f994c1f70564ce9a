/// Calls subscribed functions at regular intervals.
#pragma once

#include <oleandergrade/clock.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace oleandergrade
{

/// All callbacks run on the executor given to the constructor.
class timer_service
{
public:
    explicit timer_service(boost::asio::any_io_executor executor);
    ~timer_service();

    /// Calls `callback` repeatedly with the current time: first after
    /// `interval`, then `interval` after the end of each call.
    void subscribe(duration interval, std::function<void(time_point)> callback);
    /// Ends all subscriptions. No callback is called after this.
    void stop();

private:
    boost::asio::any_io_executor executor_;
    std::shared_ptr<bool> stopped_;
};

} // namespace oleandergrade
