/// Time types used by the decision logic, which never reads a clock itself.
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

/// The time for decisions that must hold across a suspended machine: counts
/// suspended time, which the steady clock leaves out. Only compare it with
/// itself.
inline time_point current_time()
{
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(seconds(now.tv_sec) +
                      std::chrono::nanoseconds(now.tv_nsec));
}

/// Whole milliseconds in a duration, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace oleandergrade
