/// Time types used by the decision logic, which never reads a clock itself.
#pragma once

#include <chrono>

namespace oleandergrade
{

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds in a duration, rounded towards zero.
constexpr std::int64_t to_milliseconds(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace oleandergrade
