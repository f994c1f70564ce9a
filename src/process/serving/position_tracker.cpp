#include <oleandergrade/process/serving/position_tracker.hpp>

#include <algorithm>

namespace oleandergrade
{

void position_tracker::observe(log_position position, time_point requested_at)
{
    // Answers may arrive in a different order than they were requested in; an
    // older one adds no information.
    if (!samples_.empty() && (position < samples_.back().position ||
                              requested_at <= samples_.back().requested_at))
        return;
    if (!lowest_of_newest_term_ || lowest_of_newest_term_->term < position.term)
        lowest_of_newest_term_ = position;
    const bool is_close =
        samples_.size() >= 2 &&
        requested_at - samples_[samples_.size() - 2].requested_at <
            min_sample_interval;
    if (is_close)
        samples_.back() = {position, requested_at};
    else
        samples_.push_back({position, requested_at});
    while (requested_at - samples_.front().requested_at > max_sample_age)
        samples_.pop_front();
}

std::optional<log_position> position_tracker::minimum_for(milliseconds max_age,
                                                          time_point now) const
{
    const auto earliest_request = now - max_age + transit_margin;
    const auto found =
        std::find_if(samples_.begin(), samples_.end(),
                     [&](const sample& candidate)
                     { return candidate.requested_at >= earliest_request; });
    if (found == samples_.end())
        return std::nullopt;
    return found->position;
}

std::optional<log_position> position_tracker::lowest_of_newest_term() const
{
    return lowest_of_newest_term_;
}

std::optional<time_point>
position_tracker::first_requested_at(log_position position) const
{
    const auto found = std::find_if(samples_.begin(), samples_.end(),
                                    [&](const sample& candidate)
                                    { return candidate.position >= position; });
    if (found == samples_.end())
        return std::nullopt;
    return found->requested_at;
}

std::optional<time_point>
position_tracker::first_requested_beyond(log_position position) const
{
    const auto found = std::find_if(samples_.begin(), samples_.end(),
                                    [&](const sample& candidate)
                                    { return candidate.position > position; });
    if (found == samples_.end())
        return std::nullopt;
    return found->requested_at;
}

std::optional<log_position> position_tracker::newest() const
{
    if (samples_.empty())
        return std::nullopt;
    return samples_.back().position;
}

time_point position_tracker::newest_requested_at() const
{
    return samples_.empty() ? time_point() : samples_.back().requested_at;
}

} // namespace oleandergrade
