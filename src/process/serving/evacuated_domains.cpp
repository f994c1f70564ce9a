#include <oleandergrade/process/serving/evacuated_domains.hpp>

namespace oleandergrade
{

bool evacuated_domains::set_stored(const std::set<std::string>& domains,
                                   time_point now)
{
    stored_ = domains;
    return update(now);
}

bool evacuated_domains::set_stored(const std::string& domain, bool is_evacuated,
                                   time_point now)
{
    if (is_evacuated)
        stored_.insert(domain);
    else
        stored_.erase(domain);
    return update(now);
}

bool evacuated_domains::set_granted(const std::vector<std::string>& domains,
                                    time_point now)
{
    if (domains.empty() && granted_.empty())
        return false;
    granted_ = {domains.begin(), domains.end()};
    return update(now);
}

bool evacuated_domains::add_reported(const std::vector<std::string>& domains,
                                     time_point now)
{
    granted_.insert(domains.begin(), domains.end());
    return update(now);
}

bool evacuated_domains::must_be_empty(const std::string& domain,
                                      time_point now) const
{
    const auto found = since_.find(domain);
    return found != since_.end() && now - found->second >= hand_over_time;
}

std::vector<std::string> evacuated_domains::names() const
{
    std::vector<std::string> domains;
    for (const auto& [domain, since] : since_)
        domains.push_back(domain);
    return domains;
}

bool evacuated_domains::update(time_point now)
{
    auto domains = stored_;
    domains.insert(granted_.begin(), granted_.end());
    const auto removed =
        std::erase_if(since_, [&](const auto& entry)
                      { return !domains.contains(entry.first); });
    bool changed = removed > 0;
    for (const auto& domain : domains)
        changed = since_.emplace(domain, now).second || changed;
    return changed;
}

} // namespace oleandergrade
