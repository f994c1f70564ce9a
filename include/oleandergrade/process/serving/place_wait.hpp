/// How long a request waits for a place at a target. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>

namespace oleandergrade
{

/// Requests wait as long as their latency objective lasts. Those that waited
/// for a primary are many when it returns, and most would be over their
/// objective: they are still better served late than not at all.
class place_wait
{
public:
    /// `usual_end` is for places that are taken, `primary_end` for a primary
    /// that is missing.
    place_wait(time_point usual_end, time_point primary_end)
        : usual_end_(usual_end), primary_end_(primary_end)
    {
    }

    /// When the wait ends, as far as it is known now.
    time_point end(bool lacks_primary)
    {
        has_lacked_ = has_lacked_ || lacks_primary;
        return has_lacked_ ? primary_end_ : usual_end_;
    }

private:
    time_point usual_end_;
    time_point primary_end_;
    bool has_lacked_ = false;
};

} // namespace oleandergrade
