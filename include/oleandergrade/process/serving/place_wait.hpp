/// Determines how long a request waits for a target session. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>

namespace oleandergrade
{

/// Deadline of one waiting request. A request usually waits until its latency
/// objective ends. A request that has found its group without a primary may
/// wait longer: many requests are queued when the primary becomes usable again,
/// most of them would exceed their objective, and a late answer is better than
/// an error. The later deadline stays in force after the primary has become
/// usable again.
class place_wait
{
public:
    /// `normal_deadline` applies while all sessions are in use,
    /// `primary_deadline` from the moment that the primary was missing.
    place_wait(time_point normal_deadline, time_point primary_deadline)
        : usual_end_(normal_deadline), primary_end_(primary_deadline)
    {
    }

    /// Records whether the request lacks a primary at the moment and returns
    /// the deadline that applies now.
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
