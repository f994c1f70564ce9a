#include <oleandergrade/process/serving/replica_lag_tracker.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(span * factor);
}

} // namespace

void replica_lag_tracker::add_measurement(replica_state& state, duration lag,
                                          time_point now)
{
    const auto weight = lag > state.lag ? rising_weight : falling_weight;
    state.lag += scaled(lag - state.lag, weight);
    state.measured_at = now;
}

void replica_lag_tracker::record_position(const std::string& target,
                                          log_position position,
                                          const position_tracker& primary,
                                          time_point now)
{
    auto& state = replicas_[target];
    state.position = std::max(state.position, position);
    // The replica lacks a commit that the primary had at this time.
    const auto passed_at = primary.first_requested_beyond(position);
    add_measurement(state, passed_at ? now - *passed_at : duration(0), now);
}

void replica_lag_tracker::record_rejection(const std::string& target,
                                           log_position minimum,
                                           const position_tracker& primary,
                                           time_point now)
{
    const auto reached_at = primary.first_requested_at(minimum);
    auto& state = replicas_[target];
    // The replica is behind by more than the age of the position.
    if (reached_at)
        state.lag = std::max(state.lag,
                             scaled(now - *reached_at, rejection_lag_factor));
    state.measured_at = now;
}

bool replica_lag_tracker::is_expected_to_reach(const std::string& target,
                                               log_position minimum,
                                               const position_tracker& primary,
                                               time_point now) const
{
    const auto found = replicas_.find(target);
    if (found == replicas_.end())
        return true;
    const auto& state = found->second;
    if (minimum <= state.position)
        return true;
    const auto reached_at = primary.first_requested_at(minimum);
    const bool is_old_enough = reached_at && now - *reached_at >= state.lag;
    // A position that no sample has reached yet was committed just now.
    return is_old_enough || (now - state.measured_at > measurement_validity &&
                             now - state.measured_at > state.lag / 2);
}

milliseconds replica_lag_tracker::lag_of(const std::string& target) const
{
    const auto found = replicas_.find(target);
    return found == replicas_.end()
               ? milliseconds(0)
               : std::chrono::duration_cast<milliseconds>(found->second.lag);
}

} // namespace oleandergrade
