/// Estimates when a group's primary can be used again. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/failover/primary_record.hpp>

#include <map>
#include <optional>
#include <string>

namespace oleandergrade
{

/// Estimates the duration of a replacement from the durations of earlier ones,
/// so that a caller whose deadline is too short receives an error at once
/// instead of waiting in vain.
class primary_wait_estimator
{
public:
    /// Expected time between the closing of a primary's record and its
    /// reopening, until a replacement has been observed.
    static constexpr milliseconds initial_unavailability{500};
    /// Expected time between the first failure to reach a primary and the
    /// closing of its record.
    static constexpr milliseconds expected_detection_time{400};
    /// Expected time for which this VM remains without a grant.
    static constexpr milliseconds expected_time_without_grant{1000};

    /// Observes a record. The time for which it stays closed updates the
    /// expected duration of the next replacement, for all groups.
    void on_record(const primary_record& record, time_point now);
    /// This VM has failed to reach the group's primary, or has reached it
    /// again.
    void on_reachability_changed(const std::string& group, bool is_unreachable,
                                 time_point now);
    /// Records whether this VM holds a valid grant.
    void on_grant(bool has_grant, time_point now);
    /// This VM has become isolated from most other VMs, or has rejoined them.
    void on_isolation(bool is_isolated) { is_isolated_ = is_isolated; }
    /// Whether this VM is isolated: no primary can be used until the isolation
    /// ends, so that callers need not wait.
    bool is_isolated() const { return is_isolated_; }

    /// Returns the estimated time until the group's primary can be used, or
    /// zero if nothing that prevents its use has been observed. An estimate
    /// that has already elapsed yields a short minimum wait instead.
    milliseconds expected_wait(const std::string& group, time_point now) const;
    /// The same for what all VMs know: the replacement of the primary. Other
    /// VMs may use it while this one has no grant or does not reach it.
    milliseconds expected_replacement_wait(const std::string& group,
                                           time_point now) const;

private:
    struct group_state
    {
        std::optional<time_point> closed_at;
        std::optional<time_point> unreachable_since;
    };

    std::map<std::string, group_state> groups_;
    /// Moving average of the time for which records stay closed.
    milliseconds expected_unavailability_ = initial_unavailability;
    std::optional<time_point> without_grant_since_;
    bool is_isolated_ = false;
};

} // namespace oleandergrade
