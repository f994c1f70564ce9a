/// Decides whether the configuration in force may still be acted upon. Pure
/// decision logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/heartbeat.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Whether callers with keys may be served with the configuration in force.
struct freshness_state
{
    bool may_serve = false;
    milliseconds confirmation_age{0};
    /// No failure domain hears from the platform.
    bool platform_outage = false;

    bool operator==(const freshness_state&) const = default;
};

/// Follows how old the newest proof is that no later configuration exists.
///
/// A VM serves callers with keys if its version was confirmed within
/// `confirmation_limit`, or if the platform is out of reach for all: it hears
/// from a majority of the failure domains, and none of them has heard from
/// the platform for that time. Changes are accepted only through a VM that
/// hears from a majority, so an accepted change is never hidden from the
/// latter.
class configuration_freshness
{
public:
    static constexpr milliseconds confirmation_limit{4000};
    static constexpr milliseconds contact_limit{2000};

    explicit configuration_freshness(std::string own_domain);

    void use_domains(const std::vector<std::string>& domains);
    void use_version(std::uint64_t version) { version_ = version; }

    /// The platform answered a read sent at `sent_at`; `latest` is the
    /// version it holds.
    void on_platform_read(std::uint64_t latest, time_point sent_at);
    /// A peer's state, as of `at`.
    void on_heartbeat(const heartbeat& state, time_point at);

    freshness_state state(time_point now) const;
    bool hears_majority(time_point now) const;
    milliseconds confirmation_age(time_point now) const;
    /// Age of the newest proof that any domain heard from the platform.
    milliseconds platform_age(time_point now) const;
    /// How long ago this domain heard from a majority of the domains.
    milliseconds majority_age(time_point now) const;
    /// Age of the newest direct contact with a domain.
    milliseconds heard_age(const std::string& domain, time_point now) const;

private:
    time_point majority_at(time_point now) const;

    std::string own_domain_;
    std::uint64_t version_ = 0;
    time_point confirmed_at_;
    time_point platform_at_;
    /// What the lead of the own domain told of its own contacts.
    time_point relayed_majority_at_;
    /// Newest direct contact with each other domain.
    std::map<std::string, time_point> heard_at_;
};

} // namespace oleandergrade
