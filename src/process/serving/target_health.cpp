#include <oleandergrade/process/serving/target_health.hpp>

#include <algorithm>

namespace oleandergrade
{

void target_health::on_success(const std::string& target)
{
    failing_.erase(target);
}

bool target_health::on_failure(const std::string& target, time_point now)
{
    const auto [found, is_first] =
        failing_.emplace(target, failure{now, now, now, first_pause / 2});
    auto& state = found->second;
    state.last = now;
    // Several connections that break at the same time count as one failure.
    if (now < state.avoid_until)
        return is_first;
    state.pause = std::min(state.pause * 2, longest_pause);
    state.avoid_until = now + state.pause;
    return is_first;
}

void target_health::on_lagging(const std::string& target, time_point now)
{
    lagging_[target] = now + lag_pause;
}

bool target_health::is_avoided(const std::string& target, time_point now) const
{
    const auto found = failing_.find(target);
    return found != failing_.end() && now < found->second.avoid_until;
}

bool target_health::is_lagging(const std::string& target, time_point now) const
{
    const auto found = lagging_.find(target);
    return found != lagging_.end() && now < found->second;
}

bool target_health::is_failing(const std::string& target) const
{
    return failing_.contains(target);
}

std::vector<failing_target> target_health::troubles(time_point now) const
{
    std::vector<failing_target> failing;
    for (const auto& [target, state] : failing_)
        if (now - state.last < news_time)
            failing.push_back({target, std::chrono::duration_cast<milliseconds>(
                                           now - state.since)});
    return failing;
}

} // namespace oleandergrade
