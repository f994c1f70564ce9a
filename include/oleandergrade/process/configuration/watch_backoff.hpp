/// Computes the delay between a watch that returned changes and the next watch.
/// Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>

#include <algorithm>

namespace oleandergrade
{

/// Increases the delay between watches during a burst of changes.
///
/// Changes often come in bursts, such as the registrations of all VMs when the
/// fleet starts. The delay doubles as long as changes follow each other soon,
/// and returns to the minimum after a time without changes.
class watch_backoff
{
public:
    static constexpr milliseconds min_delay{50};
    /// Shorter than the time within which the loss of a leader must be
    /// detected.
    static constexpr milliseconds max_delay{400};
    /// At least this long without changes ends a burst.
    static constexpr milliseconds quiet_period{1000};

    /// Returns the delay after a watch that returned changes, the first ones
    /// for `time_without_changes`.
    milliseconds delay_after_changes(duration time_without_changes)
    {
        delay_ = time_without_changes >= quiet_period
                     ? min_delay
                     : std::clamp(delay_ * 2, min_delay, max_delay);
        return delay_;
    }

private:
    milliseconds delay_{0};
};

} // namespace oleandergrade
