#include <oleandergrade/process/serving/service_time_estimator.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

duration moving_average(duration average, duration observation)
{
    return average + std::chrono::duration_cast<duration>(
                         (observation - average) *
                         service_time_estimator::observation_weight);
}

} // namespace

void service_time_estimator::observe(const std::string& group,
                                     std::uint32_t priority,
                                     duration service_time)
{
    const auto observation =
        std::clamp<duration>(service_time, duration(0), max_observation);
    const auto of_group = group_averages_.try_emplace(group, observation).first;
    of_group->second = moving_average(of_group->second, observation);
    const auto of_priority =
        priority_averages_.try_emplace({group, priority}, observation).first;
    of_priority->second = moving_average(of_priority->second, observation);
}

duration service_time_estimator::estimate(const std::string& group,
                                          std::uint32_t priority) const
{
    const auto found = priority_averages_.find({group, priority});
    return found == priority_averages_.end() ? group_average(group)
                                             : found->second;
}

duration service_time_estimator::group_average(const std::string& group) const
{
    const auto found = group_averages_.find(group);
    return found == group_averages_.end() ? duration(0) : found->second;
}

bool service_time_estimator::is_long(const std::string& group,
                                     std::uint32_t priority) const
{
    const auto own = priority_averages_.find({group, priority});
    if (own == priority_averages_.end())
        return false;
    for (auto it = priority_averages_.lower_bound({group, 0}); it != own; ++it)
        if (own->second >= it->second * long_factor)
            return true;
    return false;
}

} // namespace oleandergrade
