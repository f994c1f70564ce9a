/// Model of the platform's key-value store, without network connections:
/// revisions, leases and the history of changes.
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

/// A key with its value. Revision 0 means that the key does not exist.
struct store_entry
{
    std::string key;
    std::string value;
    /// Store revision of the last write to the key.
    std::uint64_t revision = 0;
    /// Store revision at which the key was created.
    std::uint64_t creation_revision = 0;
    /// Lease that the key is bound to; 0 if none.
    std::uint64_t lease_id = 0;
};

/// A change in the store's history: a key was written, or deleted if there is
/// no value.
struct store_event
{
    std::string key;
    std::optional<std::string> value;
    /// Store revision after the change.
    std::uint64_t revision = 0;
    /// Store revision at which the key was created; 0 for a deletion.
    std::uint64_t creation_revision = 0;
    /// Lease that the key is bound to; 0 if none.
    std::uint64_t lease_id = 0;
    /// Time of the change.
    oleandergrade::time_point changed_at;
};

/// One change in a transaction; the key is deleted if there is no value.
struct store_change
{
    std::string key;
    std::optional<std::string> value;
    /// Lease that the key is bound to; 0 if none.
    std::uint64_t lease_id = 0;
};

/// Outcome of an operation of the store.
enum class store_outcome
{
    done,
    /// A key has another revision than expected; nothing was written.
    condition_failed,
    /// A change names a lease that does not exist; nothing was written.
    unknown_lease,
    /// Changes after the requested revision are no longer in the history.
    history_discarded
};

/// A key-value store with one revision number for all keys. The caller passes
/// in the current time. Leases do not expire by themselves but in later calls
/// that pass in a time.
class store_model
{
public:
    /// `history_retention`: how long changes stay available to watches.
    explicit store_model(oleandergrade::duration history_retention)
        : history_retention_(history_retention)
    {
    }

    /// The revision of the last change.
    std::uint64_t revision() const { return revision_; }
    /// Returns the key, with revision 0 if it does not exist.
    store_entry read(const std::string& key) const;
    /// Returns all keys that start with `prefix`, in alphabetical order.
    std::vector<store_entry> read_all(const std::string& prefix) const;
    /// Appends to `events` the changes after revision `after_revision` to keys
    /// that start with `prefix`. Returns `history_discarded` if some of them
    /// were discarded.
    store_outcome events_after(const std::string& prefix,
                               std::uint64_t after_revision,
                               std::vector<store_event>& events) const;
    /// Applies all changes under one new revision if each key in
    /// `expected_revisions` has the revision given there (0: it does not
    /// exist).
    store_outcome
    write(const std::vector<std::pair<std::string, std::uint64_t>>&
              expected_revisions,
          const std::vector<store_change>& changes,
          oleandergrade::time_point now);
    /// Returns the id of a new lease, which expires unless it is renewed within
    /// `lifetime`.
    std::uint64_t create_lease(oleandergrade::milliseconds lifetime,
                               oleandergrade::time_point now);
    /// Starts the lifetime of a lease anew. Returns false if it does not exist
    /// or has expired.
    bool renew_lease(std::uint64_t lease_id, oleandergrade::time_point now);
    /// Ends a lease and deletes the keys bound to it. Returns false if it does
    /// not exist or has expired.
    bool end_lease(std::uint64_t lease_id, oleandergrade::time_point now);
    /// Ends the leases that have expired, deletes the keys bound to them and
    /// discards changes older than the retention period of the history.
    void process_expirations(oleandergrade::time_point now);
    /// Ends all leases at once, before they expire, and deletes the keys bound
    /// to them.
    void expire_all_leases(oleandergrade::time_point now);
    /// Discards all history, so that watches from an older revision fail.
    void discard_history()
    {
        events_.clear();
        discarded_up_to_revision_ = revision_;
    }

private:
    struct lease_state
    {
        oleandergrade::milliseconds lifetime{0};
        oleandergrade::time_point expires_at;
    };

    /// Applies one change under the current revision. Deleting a key that does
    /// not exist has no effect.
    void apply(const store_change& change, oleandergrade::time_point now);
    /// Deletes the keys bound to a lease, each under a revision of its own.
    void delete_keys_of_lease(std::uint64_t lease_id,
                              oleandergrade::time_point now);

    oleandergrade::duration history_retention_;
    std::uint64_t revision_ = 1;
    /// Changes up to and including this revision are not in the history.
    std::uint64_t discarded_up_to_revision_ = 1;
    std::uint64_t next_lease_id_ = 100;
    std::map<std::string, store_entry> entries_;
    std::map<std::uint64_t, lease_state> leases_;
    std::deque<store_event> events_;
};

} // namespace standins
