#include <oleandergrade/process/membership/store_pacing.hpp>

#include <algorithm>

namespace oleandergrade
{

milliseconds store_pacing::watch_pause() const
{
    return is_first_candidate() ? milliseconds(0) : member_list_pause();
}

milliseconds store_pacing::member_list_pause() const
{
    if (!is_large_fleet())
        return milliseconds(0);
    return std::clamp<milliseconds>(watch_pause_per_member *
                                        static_cast<int>(fleet_size_),
                                    min_watch_pause, max_watch_pause);
}

milliseconds store_pacing::registration_spread() const
{
    if (!is_large_fleet() || is_first_candidate())
        return milliseconds(0);
    return std::min<milliseconds>(registration_spread_per_member *
                                      static_cast<int>(fleet_size_),
                                  max_registration_spread);
}

milliseconds store_pacing::seeking_interval(milliseconds report_interval) const
{
    return std::clamp(seeking_interval_per_member *
                          static_cast<int>(fleet_size_),
                      min_seeking_interval, report_interval);
}

milliseconds store_pacing::retry_delay_limit() const
{
    if (!is_large_fleet())
        return milliseconds(0);
    if (!is_first_candidate())
        return max_retry_delay;
    return std::clamp<milliseconds>(
        candidate_retry_budget / static_cast<int>(fleet_size_),
        min_candidate_retry_delay, max_candidate_retry_delay);
}

milliseconds store_pacing::follow_delay(std::size_t rank_in_domain,
                                        std::size_t domain_size)
{
    // The ranks of a large domain share the longest delay, so that not all VMs
    // beyond some rank start at the same time.
    const auto ranks = static_cast<int>(std::max<std::size_t>(domain_size, 1));
    const auto delay_per_rank = std::min<microseconds>(
        follow_delay_per_rank, microseconds(max_follow_delay) / ranks);
    return std::min(
        std::chrono::duration_cast<milliseconds>(
            delay_per_rank * static_cast<std::int64_t>(rank_in_domain)),
        max_follow_delay);
}

} // namespace oleandergrade
