/// The platform's store without its connections: revisions, leases, history.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins
{

/// A key with its value. Revision 0: it does not exist.
struct model_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
};

/// A key that was written, or deleted if it has no value.
struct model_event
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    oleandergrade::time_point at;
};

/// One change of a transaction; no value deletes the key.
struct model_change
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t lease = 0;
};

enum class model_outcome
{
    done,
    condition_failed,
    no_lease,
    history_gone
};

/// The time is passed in. Leases end when a later call passes their end.
class store_model
{
public:
    explicit store_model(oleandergrade::duration history) : history_(history) {}

    std::uint64_t revision() const { return revision_; }
    model_item read(const std::string& key) const;
    std::vector<model_item> read_all(const std::string& prefix) const;
    model_outcome events_after(const std::string& prefix, std::uint64_t after,
                               std::vector<model_event>& events) const;
    /// `expected`: revisions by key.
    model_outcome
    write(const std::vector<std::pair<std::string, std::uint64_t>>& expected,
          const std::vector<model_change>& changes,
          oleandergrade::time_point now);
    std::uint64_t create_lease(oleandergrade::milliseconds lifetime,
                               oleandergrade::time_point now);
    bool renew_lease(std::uint64_t id, oleandergrade::time_point now);
    bool end_lease(std::uint64_t id, oleandergrade::time_point now);
    /// Ends leases whose time is over and forgets old history.
    void advance(oleandergrade::time_point now);
    /// Ends all leases before their time.
    void lapse_leases(oleandergrade::time_point now);
    void drop_history()
    {
        events_.clear();
        oldest_ = revision_;
    }

private:
    struct lease_state
    {
        oleandergrade::milliseconds lifetime{0};
        oleandergrade::time_point ends_at;
    };

    void apply(const model_change& change, oleandergrade::time_point now);
    void drop_keys_of(std::uint64_t lease, oleandergrade::time_point now);

    oleandergrade::duration history_;
    std::uint64_t revision_ = 1;
    /// Events up to this revision are forgotten.
    std::uint64_t oldest_ = 1;
    std::uint64_t next_lease_ = 100;
    std::map<std::string, model_item> items_;
    std::map<std::uint64_t, lease_state> leases_;
    std::deque<model_event> events_;
};

} // namespace standins
