#include "store_model.hpp"

namespace standins
{
using oleandergrade::milliseconds;
using oleandergrade::time_point;

store_entry store_model::read(const std::string& key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? store_entry{key, "", 0, 0, 0}
                                   : found->second;
}

std::vector<store_entry> store_model::read_all(const std::string& prefix) const
{
    std::vector<store_entry> found;
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() && it->first.starts_with(prefix); ++it)
        found.push_back(it->second);
    return found;
}

store_outcome store_model::events_after(const std::string& prefix,
                                        std::uint64_t after_revision,
                                        std::vector<store_event>& events) const
{
    if (after_revision < discarded_up_to_revision_)
        return store_outcome::history_discarded;
    for (const auto& event : events_)
        if (event.revision > after_revision && event.key.starts_with(prefix))
            events.push_back(event);
    return store_outcome::done;
}

store_outcome
store_model::write(const std::vector<std::pair<std::string, std::uint64_t>>&
                       expected_revisions,
                   const std::vector<store_change>& changes, time_point now)
{
    process_expirations(now);
    for (const auto& [key, revision] : expected_revisions)
        if (read(key).revision != revision)
            return store_outcome::condition_failed;
    for (const auto& change : changes)
        if (change.lease_id != 0 && !leases_.contains(change.lease_id))
            return store_outcome::unknown_lease;
    ++revision_;
    for (const auto& change : changes)
        apply(change, now);
    return store_outcome::done;
}

void store_model::apply(const store_change& change, time_point now)
{
    store_event event{change.key, change.value,    revision_,
                      0,          change.lease_id, now};
    if (change.value)
    {
        auto& item = entries_[change.key];
        if (item.revision == 0)
            item.creation_revision = revision_;
        item.key = change.key;
        item.value = *change.value;
        item.revision = revision_;
        item.lease_id = change.lease_id;
        event.creation_revision = item.creation_revision;
    }
    else if (entries_.erase(change.key) == 0)
    {
        return;
    }
    events_.push_back(std::move(event));
}

std::uint64_t store_model::create_lease(milliseconds lifetime, time_point now)
{
    const auto lease_id = next_lease_id_++;
    leases_[lease_id] = {lifetime, now + lifetime};
    return lease_id;
}

bool store_model::renew_lease(std::uint64_t lease_id, time_point now)
{
    process_expirations(now);
    const auto found = leases_.find(lease_id);
    if (found == leases_.end())
        return false;
    found->second.expires_at = now + found->second.lifetime;
    return true;
}

bool store_model::end_lease(std::uint64_t lease_id, time_point now)
{
    process_expirations(now);
    if (leases_.erase(lease_id) == 0)
        return false;
    delete_keys_of_lease(lease_id, now);
    return true;
}

void store_model::process_expirations(time_point now)
{
    for (auto it = leases_.begin(); it != leases_.end();)
    {
        if (it->second.expires_at > now)
        {
            ++it;
            continue;
        }
        const auto lease_id = it->first;
        it = leases_.erase(it);
        delete_keys_of_lease(lease_id, now);
    }
    while (!events_.empty() &&
           now - events_.front().changed_at > history_retention_)
    {
        discarded_up_to_revision_ = events_.front().revision;
        events_.pop_front();
    }
}

void store_model::expire_all_leases(time_point now)
{
    for (auto& [id, lease] : leases_)
        lease.expires_at = now;
    process_expirations(now);
}

void store_model::delete_keys_of_lease(std::uint64_t lease_id, time_point now)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : entries_)
        if (item.lease_id == lease_id)
            keys.push_back(key);
    for (const auto& key : keys)
    {
        ++revision_;
        apply({key, std::nullopt, 0}, now);
    }
}

} // namespace standins
