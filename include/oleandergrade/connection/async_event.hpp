/// Lets a coroutine wait until another one on the same executor signals.
#pragma once

#include <oleandergrade/clock.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace oleandergrade
{

/// A one-shot event. Not synchronized: all members run on one executor.
class async_event
{
public:
    explicit async_event(const boost::asio::any_io_executor& executor);

    /// Returns whether the event was signalled before the deadline.
    boost::asio::awaitable<bool> wait_until(time_point deadline);
    void signal();

private:
    boost::asio::steady_timer timer_;
    bool signalled_ = false;
};

/// Suspends the calling coroutine for a time.
boost::asio::awaitable<void> sleep_for(duration delay);

} // namespace oleandergrade
