#include <oleandergrade/process/serving/target_registry.hpp>

#include <xxhash.h>

#include <set>

namespace oleandergrade
{

namespace
{

// Covers all fields of the registration.
std::uint64_t digest_of(const target_record& record)
{
    const auto text =
        record.id + '\n' + record.group + '\n' + record.address + '\n' +
        record.failure_domain + '\n' + std::to_string(record.slots) +
        (record.is_draining ? 'd' : 'r') + (record.claims_primary ? 'p' : 'f');
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

// Exclusive or is its own inverse: adding a registration twice removes it.
void target_registry::toggle_in_digest(const target_record& record)
{
    digest_ ^= digest_of(record);
}

void target_registry::put(const target_record& record)
{
    const auto registered = targets_.find(record.id);
    const bool has_lapsed = lapsed_since_.erase(record.id) > 0;
    if (registered != targets_.end() && !has_lapsed)
    {
        if (registered->second == record)
            return;
        toggle_in_digest(registered->second);
    }
    targets_[record.id] = record;
    toggle_in_digest(record);
}

void target_registry::remove(const std::string& id, time_point now)
{
    const auto registered = targets_.find(id);
    if (registered != targets_.end() && lapsed_since_.emplace(id, now).second)
        toggle_in_digest(registered->second);
}

void target_registry::replace(const std::vector<target_record>& records,
                              time_point now)
{
    std::set<std::string> listed_ids;
    for (const auto& record : records)
    {
        listed_ids.insert(record.id);
        put(record);
    }
    for (const auto& [id, record] : targets_)
        if (!listed_ids.contains(id))
            remove(id, now);
}

bool target_registry::discard_lapsed(time_point now)
{
    const auto dropped =
        std::erase_if(lapsed_since_,
                      [&](const auto& entry)
                      {
                          if (now - entry.second < lapsed_retention)
                              return false;
                          targets_.erase(entry.first);
                          return true;
                      });
    return dropped > 0;
}

const target_record* target_registry::find(const std::string& id) const
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

std::vector<const target_record*>
target_registry::in_group(const std::string& group) const
{
    std::vector<const target_record*> members;
    for (const auto& [id, record] : targets_)
        if (record.group == group)
            members.push_back(&record);
    return members;
}

} // namespace oleandergrade
