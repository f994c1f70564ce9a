/// What is known of a group's log, and since when. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/log_position.hpp>

#include <deque>
#include <optional>

namespace oleandergrade
{

/// Keeps recent positions of a primary's log. A position that was asked for at
/// a moment covers every commit that was acknowledged before that moment.
class position_tracker
{
public:
    /// Positions closer together than this are kept as one.
    static constexpr milliseconds spacing{50};
    /// Older positions are of no use: no route accepts data that old.
    static constexpr milliseconds longest_age{10000};
    /// Kept back from the accepted age for the way to the target.
    static constexpr milliseconds age_margin{150};

    /// `asked_at` is before the primary was asked.
    void observe(log_position position, time_point asked_at);

    /// The lowest position that a log must have so that it lacks no commit
    /// older than `max_age`. None if too little is known.
    std::optional<log_position> minimum_for(milliseconds max_age,
                                            time_point now) const;
    /// A position of the newest known term, the lowest one. None if nothing
    /// is known.
    std::optional<log_position> first_of_newest_term() const;
    std::optional<log_position> newest() const;
    /// When the newest position was asked for.
    time_point newest_at() const;

private:
    struct sample
    {
        log_position position;
        time_point asked_at;
    };

    /// Ordered by time; the positions rise as well.
    std::deque<sample> samples_;
    std::optional<log_position> first_of_newest_term_;
};

} // namespace oleandergrade
