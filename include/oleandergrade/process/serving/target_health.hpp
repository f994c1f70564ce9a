/// Records which targets this VM fails to reach. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/fleet_message.hpp>

#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Failures of targets as observed by one VM. A target that failed is avoided
/// for a time that doubles with each further failure; after that time it is
/// tried again.
class target_health
{
public:
    /// Time for which a target is avoided after its first failure.
    static constexpr milliseconds initial_avoidance{150};
    /// Upper limit of that time after repeated failures.
    static constexpr milliseconds max_avoidance{800};
    /// A target whose last failure is at least this long ago is not reported to
    /// the leader.
    static constexpr milliseconds report_validity{1000};
    /// Time for which a replica is avoided after its log was found to be behind
    /// the required position.
    static constexpr milliseconds lag_avoidance{60};

    /// Records that a target answered; its failures are discarded.
    void record_success(const std::string& target);
    /// Records that a target failed. Returns false if it was recorded as
    /// failing before.
    bool record_failure(const std::string& target, time_point now);
    /// Records that a replica's log was behind the required position.
    void record_lagging(const std::string& target, time_point now);

    /// Discards the failures of a target that answered another VM after them.
    void discard_failures(const std::string& target)
    {
        failures_.erase(target);
    }
    /// Discards all recorded failures, so that no target is avoided because of
    /// them.
    void clear_failures() { failures_.clear(); }

    /// Whether the target must not be tried yet after a failure.
    bool is_avoided(const std::string& target, time_point now) const;
    /// Whether the replica is avoided because its log was behind.
    bool is_lagging(const std::string& target, time_point now) const;
    /// Whether the target's last attempt failed.
    bool is_failing(const std::string& target) const;
    /// Returns the targets that failed recently and have not answered since,
    /// each with the time since its first failure. The list is reported to the
    /// leader.
    std::vector<failing_target> failing_targets(time_point now) const;

private:
    /// Failures of a target since it last answered.
    struct failure_state
    {
        /// When the first of them occurred.
        time_point first_failed_at;
        /// When the most recent one occurred.
        time_point last_failed_at;
        time_point avoid_until;
        /// Current avoidance time.
        milliseconds avoidance{0};
    };

    std::map<std::string, failure_state> failures_;
    /// Until when a lagging replica is avoided.
    std::map<std::string, time_point> lagging_until_;
};

} // namespace oleandergrade
