#include <oleandergrade/process/serving/target_health.hpp>

#include <algorithm>

namespace oleandergrade
{

void target_health::record_success(const std::string& target)
{
    failures_.erase(target);
}

bool target_health::record_failure(const std::string& target, time_point now)
{
    const auto [found, is_first] = failures_.emplace(
        target, failure_state{now, now, now, initial_avoidance / 2});
    auto& state = found->second;
    state.last_failed_at = now;
    // Several connections that break at the same time count as one failure.
    if (now < state.avoid_until)
        return is_first;
    state.avoidance = std::min(state.avoidance * 2, max_avoidance);
    state.avoid_until = now + state.avoidance;
    return is_first;
}

void target_health::record_lagging(const std::string& target, time_point now)
{
    lagging_until_[target] = now + lag_avoidance;
}

bool target_health::is_avoided(const std::string& target, time_point now) const
{
    const auto found = failures_.find(target);
    return found != failures_.end() && now < found->second.avoid_until;
}

bool target_health::is_lagging(const std::string& target, time_point now) const
{
    const auto found = lagging_until_.find(target);
    return found != lagging_until_.end() && now < found->second;
}

bool target_health::is_failing(const std::string& target) const
{
    return failures_.contains(target);
}

std::vector<failing_target> target_health::failing_targets(time_point now) const
{
    std::vector<failing_target> failing;
    for (const auto& [target, state] : failures_)
        if (now - state.last_failed_at < report_validity)
            failing.push_back({target, std::chrono::duration_cast<milliseconds>(
                                           now - state.first_failed_at)});
    return failing;
}

} // namespace oleandergrade
