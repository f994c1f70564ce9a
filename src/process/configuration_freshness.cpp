#include <oleandergrade/process/configuration_freshness.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

/// Stands for "never" in messages.
constexpr milliseconds never_age{1'000'000'000};

milliseconds age_of(time_point at, time_point now)
{
    if (at == time_point{})
        return never_age;
    return std::chrono::duration_cast<milliseconds>(
        std::max(now - at, duration::zero()));
}

time_point instant_of(milliseconds age, time_point at)
{
    return age >= never_age ? time_point{} : at - age;
}

} // namespace

configuration_freshness::configuration_freshness(std::string own_domain)
    : own_domain_(std::move(own_domain))
{
}

void configuration_freshness::use_domains(
    const std::vector<std::string>& domains)
{
    std::map<std::string, time_point> kept;
    for (const auto& name : domains)
        if (name != own_domain_)
            kept[name] = heard_at_[name];
    heard_at_ = std::move(kept);
}

void configuration_freshness::on_platform_read(std::uint64_t latest,
                                               time_point sent_at)
{
    platform_at_ = std::max(platform_at_, sent_at);
    if (latest <= version_)
        confirmed_at_ = std::max(confirmed_at_, sent_at);
}

void configuration_freshness::on_heartbeat(const heartbeat& state,
                                           time_point at)
{
    if (const auto peer = heard_at_.find(state.failure_domain);
        peer != heard_at_.end())
        peer->second = std::max(peer->second, at);
    if (state.failure_domain == own_domain_)
        relayed_majority_at_ =
            std::max(relayed_majority_at_, instant_of(state.majority_age, at));
    platform_at_ = std::max(platform_at_, instant_of(state.platform_age, at));
    if (state.configuration_version <= version_)
        confirmed_at_ =
            std::max(confirmed_at_, instant_of(state.confirmation_age, at));
}

freshness_state configuration_freshness::state(time_point now) const
{
    freshness_state state;
    state.confirmation_age = confirmation_age(now);
    const bool is_confirmed = state.confirmation_age <= confirmation_limit;
    const bool heard_platform = platform_age(now) <= confirmation_limit;
    state.platform_outage = !heard_platform && hears_majority(now);
    state.may_serve = version_ > 0 && (is_confirmed || state.platform_outage);
    return state;
}

bool configuration_freshness::hears_majority(time_point now) const
{
    return majority_age(now) <= contact_limit;
}

milliseconds configuration_freshness::confirmation_age(time_point now) const
{
    return age_of(confirmed_at_, now);
}

milliseconds configuration_freshness::platform_age(time_point now) const
{
    return age_of(platform_at_, now);
}

milliseconds configuration_freshness::majority_age(time_point now) const
{
    return age_of(majority_at(now), now);
}

milliseconds configuration_freshness::heard_age(const std::string& domain,
                                                time_point now) const
{
    if (domain == own_domain_)
        return milliseconds(0);
    const auto found = heard_at_.find(domain);
    return age_of(found == heard_at_.end() ? time_point{} : found->second, now);
}

// The latest instant by which so many other domains had been heard since that
// they are a majority together with the own one.
time_point configuration_freshness::majority_at(time_point now) const
{
    const auto domain_count = heard_at_.size() + 1;
    const auto others_needed = domain_count / 2;
    if (others_needed == 0)
        return now;
    std::vector<time_point> newest_first;
    for (const auto& [name, heard] : heard_at_)
        newest_first.push_back(heard);
    std::sort(newest_first.rbegin(), newest_first.rend());
    return std::max(relayed_majority_at_, newest_first[others_needed - 1]);
}

} // namespace oleandergrade
