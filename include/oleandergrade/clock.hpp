/// Time types. The decision logic gets the current time from its callers and
/// never reads a clock itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace oleandergrade
{

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the time since the machine was booted, including the time during
/// which it was suspended. Decisions must hold even if the machine was
/// suspended, and the steady clock leaves that time out. Compare the result
/// only with other results of this function.
inline time_point current_time()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(seconds(now.tv_sec) +
                      std::chrono::nanoseconds(now.tv_nsec));
}

/// Returns a duration in whole milliseconds, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace oleandergrade
