#include "platform_store.hpp"

#include <algorithm>

namespace standins
{

namespace
{
bool has_prefix(const std::string& key, const std::string& prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}
} // namespace

std::optional<stored_value> platform_store::get(const std::string& key,
                                                time_point now)
{
    ++counts_.get;
    expire(now);
    const auto found = values_.find(key);
    if (found == values_.end())
        return std::nullopt;
    return found->second;
}

std::vector<keyed_value> platform_store::list(const std::string& prefix,
                                              time_point now)
{
    ++counts_.list;
    expire(now);
    std::vector<keyed_value> found;
    for (auto entry = values_.lower_bound(prefix);
         entry != values_.end() && has_prefix(entry->first, prefix); ++entry)
        found.push_back({entry->first, entry->second});
    return found;
}

std::optional<std::uint64_t>
platform_store::compare_and_swap(const std::string& key, std::uint64_t expected,
                                 const std::string& value,
                                 std::optional<duration> lease, time_point now)
{
    ++counts_.compare_and_swap;
    expire(now);
    const auto found = values_.find(key);
    const auto current = found == values_.end() ? 0 : found->second.revision;
    if (current != expected || value.size() > max_value_bytes)
        return std::nullopt;
    stored_value stored{value, ++revision_, std::nullopt};
    if (lease)
        stored.lease_end = now + *lease;
    values_[key] = stored;
    return stored.revision;
}

bool platform_store::renew(const std::string& key, std::uint64_t revision,
                           duration lease, time_point now)
{
    ++counts_.renew;
    expire(now);
    const auto found = values_.find(key);
    if (found == values_.end() || found->second.revision != revision)
        return false;
    found->second.lease_end = now + lease;
    return true;
}

std::uint64_t platform_store::latest_revision(const std::string& prefix,
                                              time_point now)
{
    expire(now);
    std::uint64_t latest = 0;
    for (const auto& [key, stored] : values_)
        if (has_prefix(key, prefix))
            latest = std::max(latest, stored.revision);
    for (const auto& [key, revision] : removals_)
        if (has_prefix(key, prefix))
            latest = std::max(latest, revision);
    return latest;
}

void platform_store::expire(time_point now)
{
    for (auto entry = values_.begin(); entry != values_.end();)
    {
        const auto& lease_end = entry->second.lease_end;
        if (!lease_end || *lease_end > now)
        {
            ++entry;
            continue;
        }
        removals_[entry->first] = ++revision_;
        entry = values_.erase(entry);
    }
}

} // namespace standins
