/// Estimates when a group's primary can be used again. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/failover/primary_record.hpp>

#include <map>
#include <optional>
#include <string>

namespace oleandergrade
{

/// Learns from each replacement how long the next one will take, so that a
/// caller is told at once if waiting is useless.
class primary_outlook
{
public:
    /// A replacement is expected to take this long before one was seen.
    static constexpr milliseconds first_guess{500};
    /// Between the first failure to reach a primary and the closing of its
    /// record.
    static constexpr milliseconds detection_time{400};
    /// How long this VM is expected to be without a grant.
    static constexpr milliseconds grant_gap{1000};

    void on_record(const primary_record& record, time_point now);
    /// The VM has failed to reach the primary, or reaches it again.
    void on_failing(const std::string& group, bool is_failing, time_point now);
    void on_grant(bool has_grant, time_point now);
    /// The VM is cut off from most others, or is so no more.
    void on_isolation(bool is_isolated) { is_isolated_ = is_isolated; }
    /// Waiting for a primary is useless until the cut ends.
    bool is_isolated() const { return is_isolated_; }

    /// Time until the primary can be used, as far as known; zero if it can.
    /// Estimates that have passed count as the least wait.
    milliseconds expected_wait(const std::string& group, time_point now) const;

private:
    struct group_state
    {
        std::optional<time_point> closed_at;
        std::optional<time_point> failing_since;
    };

    std::map<std::string, group_state> groups_;
    milliseconds usual_gap_ = first_guess;
    std::optional<time_point> without_grant_since_;
    bool is_isolated_ = false;
};

} // namespace oleandergrade
