/// A one-shot event with which one coroutine wakes another, and a sleep.
#pragma once

#include <oleandergrade/clock.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace oleandergrade
{

/// An event that stays signalled once signal() was called. At most one
/// coroutine may wait for it at a time. Not synchronized: call all members on
/// the executor given to the constructor.
class async_event
{
public:
    explicit async_event(const boost::asio::any_io_executor& executor);

    /// Waits until the event is signalled, or until the deadline, a time of
    /// `clock` (not of `current_time()`). Returns whether it was signalled.
    boost::asio::awaitable<bool> wait_until(time_point deadline);
    /// Wakes the coroutine that waits. Later waits return at once.
    void signal();

private:
    boost::asio::steady_timer timer_;
    bool is_signalled_ = false;
};

/// Suspends the calling coroutine for `delay`. Other coroutines of its executor
/// go on running.
boost::asio::awaitable<void> sleep_for(duration delay);

} // namespace oleandergrade
