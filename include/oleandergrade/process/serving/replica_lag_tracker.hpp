/// Estimates how far replicas are behind the primary. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/log_position.hpp>
#include <oleandergrade/process/serving/position_tracker.hpp>

#include <map>
#include <string>

namespace oleandergrade
{

/// Learns the lag of each replica from the positions in its answers. A replica
/// that rejects a read for its lag costs a message to it and back and an
/// additional attempt, so reads whose minimum position it is not expected to
/// have reached go elsewhere.
class replica_lag_tracker
{
public:
    /// A newer measurement counts with this weight if it is lower than the
    /// estimate; a higher one replaces the estimate halfway.
    static constexpr double falling_weight = 0.1;
    static constexpr double rising_weight = 0.5;
    /// After a rejection the estimate is at least this multiple of the age of
    /// the position that the replica lacked.
    static constexpr double rejection_lag_factor = 1.5;
    /// A replica without a measurement for this long may be tried again,
    /// because its lag can have ended.
    static constexpr milliseconds measurement_validity{400};

    /// Records the position in a replica's answer. `primary` has the positions
    /// of the group's primary.
    void record_position(const std::string& target, log_position position,
                         const position_tracker& primary, time_point now);
    /// Records that a replica had not reached `minimum`.
    void record_rejection(const std::string& target, log_position minimum,
                          const position_tracker& primary, time_point now);
    /// Returns whether the replica is expected to have reached `minimum`.
    /// Replicas that are not known are expected to.
    bool is_expected_to_reach(const std::string& target, log_position minimum,
                              const position_tracker& primary,
                              time_point now) const;
    /// Returns the estimate, or zero if there is none.
    milliseconds lag_of(const std::string& target) const;

private:
    struct replica_state
    {
        /// Highest position that the replica has reported.
        log_position position;
        duration lag{0};
        time_point measured_at;
    };

    void add_measurement(replica_state& state, duration lag, time_point now);

    std::map<std::string, replica_state> replicas_;
};

} // namespace oleandergrade
