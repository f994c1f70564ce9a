/// Which targets this VM fails to reach. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/fleet_message.hpp>

#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A target that failed is avoided for a time that doubles with each failure,
/// and is tried again after it.
class target_health
{
public:
    static constexpr milliseconds first_pause{150};
    static constexpr milliseconds longest_pause{800};
    /// A failure longer ago than this is not reported.
    static constexpr milliseconds news_time{1000};
    /// A replica whose log was behind is passed over for this long.
    static constexpr milliseconds lag_pause{60};

    void on_success(const std::string& target);
    /// Returns whether the target answered before.
    bool on_failure(const std::string& target, time_point now);
    void on_lagging(const std::string& target, time_point now);

    /// Every target is tried again.
    void forget_failures() { failing_.clear(); }

    bool is_avoided(const std::string& target, time_point now) const;
    bool is_lagging(const std::string& target, time_point now) const;
    bool is_failing(const std::string& target) const;
    /// Targets that fail, for the duty's holder.
    std::vector<target_trouble> troubles(time_point now) const;

private:
    struct failure
    {
        time_point since;
        time_point last;
        time_point avoid_until;
        milliseconds pause{0};
    };

    std::map<std::string, failure> failing_;
    std::map<std::string, time_point> lagging_;
};

} // namespace oleandergrade
