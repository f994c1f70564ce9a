#include <oleandergrade/process/serving/position_tracker.hpp>

#include <algorithm>

namespace oleandergrade
{

void position_tracker::observe(log_position position, time_point requested_at)
{
    // Answers may arrive in a different order than they were requested in; an
    // older one adds no information.
    if (!samples_.empty() && (position < samples_.back().position ||
                              requested_at <= samples_.back().asked_at))
        return;
    if (!first_of_newest_term_ || first_of_newest_term_->term < position.term)
        first_of_newest_term_ = position;
    const bool is_close =
        samples_.size() >= 2 &&
        requested_at - samples_[samples_.size() - 2].asked_at < spacing;
    if (is_close)
        samples_.back() = {position, requested_at};
    else
        samples_.push_back({position, requested_at});
    while (requested_at - samples_.front().asked_at > longest_age)
        samples_.pop_front();
}

std::optional<log_position> position_tracker::minimum_for(milliseconds max_age,
                                                          time_point now) const
{
    const auto earliest_request = now - max_age + age_margin;
    const auto found =
        std::find_if(samples_.begin(), samples_.end(),
                     [&](const sample& candidate)
                     { return candidate.asked_at >= earliest_request; });
    if (found == samples_.end())
        return std::nullopt;
    return found->position;
}

std::optional<log_position> position_tracker::first_of_newest_term() const
{
    return first_of_newest_term_;
}

std::optional<log_position> position_tracker::newest() const
{
    if (samples_.empty())
        return std::nullopt;
    return samples_.back().position;
}

time_point position_tracker::newest_at() const
{
    return samples_.empty() ? time_point() : samples_.back().asked_at;
}

} // namespace oleandergrade
