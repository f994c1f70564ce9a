#include <oleandergrade/process/serving/target_registry.hpp>

#include <set>

namespace oleandergrade
{

void target_registry::put(const target_record& record)
{
    targets_[record.id] = record;
    lapsed_.erase(record.id);
}

void target_registry::remove(const std::string& id, time_point now)
{
    if (targets_.contains(id))
        lapsed_.emplace(id, now);
}

void target_registry::replace(const std::vector<target_record>& records,
                              time_point now)
{
    std::set<std::string> present;
    for (const auto& record : records)
    {
        present.insert(record.id);
        put(record);
    }
    for (const auto& [id, record] : targets_)
        if (!present.contains(id))
            remove(id, now);
}

bool target_registry::drop_lapsed(time_point now)
{
    const auto dropped = std::erase_if(lapsed_,
                                       [&](const auto& entry)
                                       {
                                           if (now - entry.second < lapse_grace)
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
