/// Interface to the key-value store that keeps the data which must survive the
/// loss of all VMs.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/error.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A key with its value and the revision of its last change. Revision 0 means
/// that the key does not exist. All revisions name the store's generation; see
/// store_revision.hpp.
struct stored_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;

    bool operator==(const stored_item&) const = default;
};

/// All items below a prefix, at one revision of the whole store.
struct stored_range
{
    std::vector<stored_item> items;
    std::uint64_t store_revision = 0;

    bool operator==(const stored_range&) const = default;
};

/// A write of a key, or its deletion if there is no value.
struct stored_change
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;

    bool operator==(const stored_change&) const = default;
};

/// Changes in the order in which they were made. The next watch must begin
/// after the revision `store_revision`.
struct stored_changes
{
    std::vector<stored_change> changes;
    std::uint64_t store_revision = 0;

    bool operator==(const stored_changes&) const = default;
};

/// A write that the store executes only if every key of `expected` still has
/// the given revision (0: the key does not exist). The values of `expected` are
/// not compared. A revision of an earlier generation of the store never holds.
struct conditional_write
{
    std::vector<stored_item> expected;
    std::string key;
    /// The new value; without one the key is deleted.
    std::optional<std::string> value;
    /// Identifier of the lease whose end deletes the key; 0 for none.
    std::uint64_t lease_id = 0;
};

/// A lease that the store has granted.
struct store_lease
{
    std::uint64_t id = 0;
    milliseconds lifetime{0};

    bool operator==(const store_lease&) const = default;
};

/// A client of the store. Several calls may be under way at the same time.
///
/// Kinds of errors: "conflict" means that a condition did not hold and nothing
/// was changed, or that the store has discarded the history that a watch needs.
/// "refused" means that the store did nothing. After "broken" and "timeout" the
/// outcome is unknown: the write may have been executed or may still be.
///
/// A store that is restored from an older copy begins a new generation. Watches
/// from a revision of an earlier generation and calls for a lease of one fail
/// with "conflict". Answers of an earlier generation, and answers that name
/// none although earlier ones did, fail with "broken".
class metadata_store
{
public:
    virtual ~metadata_store() = default;

    /// The newest generation of the store that an answer has named; 0 if none
    /// has.
    virtual std::uint64_t generation() const { return 0; }
    /// Returns the item; its revision is 0 if the key does not exist.
    virtual boost::asio::awaitable<result<stored_item>>
    read(std::string key) = 0;
    /// Returns all items below the prefix.
    virtual boost::asio::awaitable<result<stored_range>>
    read_all(std::string prefix) = 0;
    /// Waits until there are changes below the prefix with a revision above
    /// `after_revision`, but no longer than `timeout`. Returns no changes if
    /// there were none.
    virtual boost::asio::awaitable<result<stored_changes>>
    watch(std::string prefix, std::uint64_t after_revision,
          milliseconds timeout) = 0;
    /// Executes the write and returns its revision.
    virtual boost::asio::awaitable<result<std::uint64_t>>
    write(conditional_write change) = 0;
    /// Returns a lease with the lifetime that the store granted.
    virtual boost::asio::awaitable<result<store_lease>>
    create_lease(milliseconds lifetime) = 0;
    /// Renews the lease for its lifetime. Fails with "conflict" if the lease
    /// has ended.
    virtual boost::asio::awaitable<result<bool>>
    renew_lease(std::uint64_t id) = 0;
    /// Ends the lease, which deletes the keys written with it.
    virtual boost::asio::awaitable<result<bool>>
    end_lease(std::uint64_t id) = 0;
};

} // namespace oleandergrade
