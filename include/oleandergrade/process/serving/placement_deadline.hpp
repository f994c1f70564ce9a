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
class placement_deadline
{
public:
    /// `normal_deadline` applies until the group is found without a usable
    /// primary, `primary_deadline` from then on.
    placement_deadline(time_point normal_deadline, time_point primary_deadline)
        : normal_deadline_(normal_deadline), primary_deadline_(primary_deadline)
    {
    }

    /// Records whether the request lacks a primary at the moment and returns
    /// the deadline that applies now.
    time_point update(bool lacks_primary)
    {
        has_lacked_primary_ = has_lacked_primary_ || lacks_primary;
        return has_lacked_primary_ ? primary_deadline_ : normal_deadline_;
    }

private:
    time_point normal_deadline_;
    time_point primary_deadline_;
    bool has_lacked_primary_ = false;
};

} // namespace oleandergrade
