/// How long to wait between an answer that held changes and the next watch.
/// Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>

#include <algorithm>

namespace oleandergrade
{

/// Changes often come in groups, such as the registrations of all VMs at the
/// start: the pause doubles as long as each watch ends at once, and is short
/// again after a quiet time.
class burst_pause
{
public:
    static constexpr milliseconds shortest{50};
    /// Kept below the time in which the loss of a holder is to be noticed.
    static constexpr milliseconds longest{400};
    /// A watch that waited this long ends a burst.
    static constexpr milliseconds quiet_time{1000};

    /// A watch that waited for `waited` has shown changes.
    milliseconds after_changes(duration waited)
    {
        pause_ = waited >= quiet_time
                     ? shortest
                     : std::clamp(pause_ * 2, shortest, longest);
        return pause_;
    }

private:
    milliseconds pause_{0};
};

} // namespace oleandergrade
