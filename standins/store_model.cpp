#include "store_model.hpp"

namespace standins
{
using oleandergrade::milliseconds;
using oleandergrade::time_point;

model_item store_model::read(const std::string& key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? model_item{key, "", 0, 0, 0} : found->second;
}

std::vector<model_item> store_model::read_all(const std::string& prefix) const
{
    std::vector<model_item> found;
    for (auto it = items_.lower_bound(prefix);
         it != items_.end() && it->first.starts_with(prefix); ++it)
        found.push_back(it->second);
    return found;
}

model_outcome store_model::events_after(const std::string& prefix,
                                        std::uint64_t after_revision,
                                        std::vector<model_event>& events) const
{
    if (after_revision < oldest_)
        return model_outcome::history_gone;
    for (const auto& event : events_)
        if (event.revision > after_revision && event.key.starts_with(prefix))
            events.push_back(event);
    return model_outcome::done;
}

model_outcome
store_model::write(const std::vector<std::pair<std::string, std::uint64_t>>&
                       expected_revisions,
                   const std::vector<model_change>& changes, time_point now)
{
    advance(now);
    for (const auto& [key, revision] : expected_revisions)
        if (read(key).revision != revision)
            return model_outcome::condition_failed;
    for (const auto& change : changes)
        if (change.lease != 0 && !leases_.contains(change.lease))
            return model_outcome::no_lease;
    ++revision_;
    for (const auto& change : changes)
        apply(change, now);
    return model_outcome::done;
}

void store_model::apply(const model_change& change, time_point now)
{
    model_event event{change.key, change.value, revision_,
                      0,          change.lease, now};
    if (change.value)
    {
        auto& item = items_[change.key];
        if (item.revision == 0)
            item.created = revision_;
        item.key = change.key;
        item.value = *change.value;
        item.revision = revision_;
        item.lease = change.lease;
        event.created = item.created;
    }
    else if (items_.erase(change.key) == 0)
    {
        return;
    }
    events_.push_back(std::move(event));
}

std::uint64_t store_model::create_lease(milliseconds lifetime, time_point now)
{
    const auto lease_id = next_lease_++;
    leases_[lease_id] = {lifetime, now + lifetime};
    return lease_id;
}

bool store_model::renew_lease(std::uint64_t lease_id, time_point now)
{
    advance(now);
    const auto found = leases_.find(lease_id);
    if (found == leases_.end())
        return false;
    found->second.ends_at = now + found->second.lifetime;
    return true;
}

bool store_model::end_lease(std::uint64_t lease_id, time_point now)
{
    advance(now);
    if (leases_.erase(lease_id) == 0)
        return false;
    drop_keys_of(lease_id, now);
    return true;
}

void store_model::advance(time_point now)
{
    for (auto it = leases_.begin(); it != leases_.end();)
    {
        if (it->second.ends_at > now)
        {
            ++it;
            continue;
        }
        const auto lease_id = it->first;
        it = leases_.erase(it);
        drop_keys_of(lease_id, now);
    }
    while (!events_.empty() && now - events_.front().at > history_)
    {
        oldest_ = events_.front().revision;
        events_.pop_front();
    }
}

void store_model::lapse_leases(time_point now)
{
    for (auto& [id, lease] : leases_)
        lease.ends_at = now;
    advance(now);
}

void store_model::drop_keys_of(std::uint64_t lease_id, time_point now)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_)
        if (item.lease == lease_id)
            keys.push_back(key);
    for (const auto& key : keys)
    {
        ++revision_;
        apply({key, std::nullopt, 0}, now);
    }
}

} // namespace standins
