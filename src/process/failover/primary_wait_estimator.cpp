#include <oleandergrade/process/failover/primary_wait_estimator.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

/// Returned as the expected wait once the estimated duration has elapsed.
constexpr auto min_wait = milliseconds(100);
/// Observed durations are clamped to these bounds, because shorter or longer
/// ones do not predict the next replacement.
constexpr auto min_unavailability = milliseconds(100);
constexpr auto max_unavailability = milliseconds(4000);

/// Returns the rest of an expected duration that began at `since`, and
/// at least `min_wait`.
milliseconds remaining_wait(time_point since, milliseconds expected_duration,
                            time_point now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(
                        since + expected_duration - now),
                    min_wait);
}

} // namespace

void primary_wait_estimator::on_record(const primary_record& record,
                                       time_point now)
{
    auto& state = groups_[record.group];
    if (!record.is_open)
    {
        if (!state.closed_at)
            state.closed_at = now;
        return;
    }
    state.unreachable_since.reset();
    if (!state.closed_at)
        return;
    const auto unavailability =
        std::chrono::duration_cast<milliseconds>(now - *state.closed_at);
    state.closed_at.reset();
    expected_unavailability_ =
        (expected_unavailability_ +
         std::clamp(unavailability, min_unavailability, max_unavailability)) /
        2;
}

void primary_wait_estimator::on_reachability_changed(const std::string& group,
                                                     bool is_unreachable,
                                                     time_point now)
{
    auto& state = groups_[group];
    if (!is_unreachable)
        state.unreachable_since.reset();
    else if (!state.unreachable_since)
        state.unreachable_since = now;
}

void primary_wait_estimator::on_grant(bool has_grant, time_point now)
{
    if (has_grant)
        without_grant_since_.reset();
    else if (!without_grant_since_)
        without_grant_since_ = now;
}

milliseconds primary_wait_estimator::expected_wait(const std::string& group,
                                                   time_point now) const
{
    if (without_grant_since_)
        return remaining_wait(*without_grant_since_,
                              expected_time_without_grant, now);
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return milliseconds(0);
    const auto& state = found->second;
    if (state.closed_at)
        return expected_replacement_wait(group, now);
    if (state.unreachable_since)
        return remaining_wait(
            *state.unreachable_since,
            expected_detection_time + expected_unavailability_, now);
    return milliseconds(0);
}

milliseconds
primary_wait_estimator::expected_replacement_wait(const std::string& group,
                                                  time_point now) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end() || !found->second.closed_at)
        return milliseconds(0);
    return remaining_wait(*found->second.closed_at, expected_unavailability_,
                          now);
}

} // namespace oleandergrade
