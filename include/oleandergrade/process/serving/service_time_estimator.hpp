/// Estimates how long a target session is in use for one request. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace oleandergrade
{

/// Moving averages of observed service times, by group and priority. Requests
/// of one priority usually come over the same routes and take similar times.
class service_time_estimator
{
public:
    /// Weight of a new observation. About the last 16 requests count, so that
    /// the estimate follows a target that becomes slower within a fraction of a
    /// second and is not determined by a single long transaction.
    static constexpr double observation_weight = 1.0 / 16;
    /// Longer observations count as this: a transaction whose caller pauses
    /// does not predict the time of other requests.
    static constexpr milliseconds max_observation{500};
    /// A read is long if it takes at least this many times as long as the
    /// requests of a higher priority in its group.
    static constexpr int long_factor = 2;

    /// Observes that a request has used a target session for `service_time`.
    void observe(const std::string& group, std::uint32_t priority,
                 duration service_time);
    /// Returns the estimate for requests of this priority. Falls back to the
    /// average of the group; zero if nothing has been observed there.
    duration estimate(const std::string& group, std::uint32_t priority) const;
    /// Returns the average of all requests of a group; zero if nothing has been
    /// observed.
    duration group_average(const std::string& group) const;
    /// Whether requests of this priority take much longer than those of some
    /// higher priority in the same group.
    bool is_long(const std::string& group, std::uint32_t priority) const;

private:
    std::map<std::string, duration> group_averages_;
    std::map<std::pair<std::string, std::uint32_t>, duration>
        priority_averages_;
};

} // namespace oleandergrade
