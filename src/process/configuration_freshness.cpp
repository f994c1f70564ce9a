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
    domains_[own_domain_];
}

void configuration_freshness::use_domains(
    const std::vector<std::string>& domains)
{
    std::map<std::string, domain_state> kept;
    kept[own_domain_] = domains_[own_domain_];
    for (const auto& name : domains)
        kept[name] = domains_[name];
    domains_ = std::move(kept);
}

void configuration_freshness::on_platform_read(std::uint64_t latest,
                                               time_point sent_at)
{
    auto& own = domains_[own_domain_];
    own.platform_at = std::max(own.platform_at, sent_at);
    if (latest <= version_)
        confirmed_at_ = std::max(confirmed_at_, sent_at);
}

void configuration_freshness::on_heartbeat(const heartbeat& state,
                                           time_point at)
{
    if (const auto peer = domains_.find(state.failure_domain);
        peer != domains_.end())
        peer->second.heard_at = std::max(peer->second.heard_at, at);
    for (const auto& contact : state.contacts)
    {
        const auto known = domains_.find(contact.failure_domain);
        if (known == domains_.end())
            continue;
        auto& domain = known->second;
        domain.platform_at =
            std::max(domain.platform_at, instant_of(contact.platform_age, at));
        // Only the lead of the own domain hears others on its VMs' behalf.
        if (state.failure_domain == own_domain_)
            domain.heard_at =
                std::max(domain.heard_at, instant_of(contact.heard_age, at));
    }
    if (state.configuration_version <= version_)
        confirmed_at_ =
            std::max(confirmed_at_, instant_of(state.confirmation_age, at));
}

freshness_state configuration_freshness::state(time_point now) const
{
    freshness_state state;
    state.confirmation_age = confirmation_age(now);
    const bool is_confirmed = state.confirmation_age <= confirmation_limit;
    const bool heard_platform = std::any_of(
        domains_.begin(), domains_.end(),
        [&](const auto& entry) {
            return age_of(entry.second.platform_at, now) <= confirmation_limit;
        });
    state.platform_outage = !heard_platform && hears_majority(now);
    state.may_serve = version_ > 0 && (is_confirmed || state.platform_outage);
    return state;
}

bool configuration_freshness::hears_majority(time_point now) const
{
    std::size_t heard = 0;
    for (const auto& [name, domain] : domains_)
        if (name == own_domain_ ||
            age_of(domain.heard_at, now) <= contact_limit)
            ++heard;
    return heard > domains_.size() / 2;
}

std::vector<domain_contact>
configuration_freshness::contacts(time_point now) const
{
    std::vector<domain_contact> contacts;
    for (const auto& [name, domain] : domains_)
    {
        const auto heard_age = name == own_domain_
                                   ? milliseconds(0)
                                   : age_of(domain.heard_at, now);
        contacts.push_back(
            {name, age_of(domain.platform_at, now), heard_age, ""});
    }
    return contacts;
}

milliseconds configuration_freshness::confirmation_age(time_point now) const
{
    return age_of(confirmed_at_, now);
}

} // namespace oleandergrade
