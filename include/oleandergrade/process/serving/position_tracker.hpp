/// Records log positions of a group's primary, with their age. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/log_position.hpp>

#include <deque>
#include <optional>

namespace oleandergrade
{

/// Keeps recent positions of the log of a group's primary. A position covers
/// every commit that was acknowledged before the position was requested.
class position_tracker
{
public:
    /// Minimum time between two stored positions; a position that follows
    /// sooner replaces the last one.
    static constexpr milliseconds min_sample_interval{50};
    /// Positions older than this are discarded: no route accepts data that old.
    static constexpr milliseconds max_sample_age{10000};
    /// Subtracted from the accepted age of the data, since the age grows while
    /// the statement is on its way to the target.
    static constexpr milliseconds transit_margin{150};

    /// Records a position of the primary. `requested_at` is a time before the
    /// position was requested from the primary. A position that is lower, or
    /// was requested earlier, than the newest stored one is ignored.
    void observe(log_position position, time_point requested_at);

    /// Returns a position that a replica's log must have reached to contain
    /// every commit that is older than `max_age`. Returns nothing if no stored
    /// position is recent enough.
    std::optional<log_position> minimum_for(milliseconds max_age,
                                            time_point now) const;
    /// Returns the lowest recorded position of the highest recorded term, or
    /// nothing if no position was recorded.
    std::optional<log_position> lowest_of_newest_term() const;
    /// Returns when the first stored position that is at least `position` was
    /// requested, or nothing if there is none.
    std::optional<time_point> first_requested_at(log_position position) const;
    /// Returns when the first stored position above `position` was requested,
    /// or nothing if there is none.
    std::optional<time_point>
    first_requested_beyond(log_position position) const;
    /// Returns the newest recorded position, or nothing if there is none.
    std::optional<log_position> newest() const;
    /// Returns when the newest position was requested, or a default time point
    /// if there is none.
    time_point newest_requested_at() const;

private:
    /// A position and a time before it was requested.
    struct sample
    {
        log_position position;
        time_point requested_at;
    };

    /// Ordered by request time, oldest first. The positions never decrease.
    std::deque<sample> samples_;
    std::optional<log_position> lowest_of_newest_term_;
};

} // namespace oleandergrade
