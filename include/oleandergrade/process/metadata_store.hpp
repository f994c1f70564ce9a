/// The interface towards the store that keeps what must outlast every VM.
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

/// A key with its value. Revision 0 stands for an absent key.
struct stored_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;

    bool operator==(const stored_item&) const = default;
};

/// All items below a prefix, as of a revision of the whole store.
struct stored_range
{
    std::vector<stored_item> items;
    std::uint64_t as_of = 0;

    bool operator==(const stored_range&) const = default;
};

/// A key that was written, or deleted if it has no value.
struct stored_change
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;

    bool operator==(const stored_change&) const = default;
};

/// Changes in their order; the next watch begins after `as_of`.
struct stored_changes
{
    std::vector<stored_change> changes;
    std::uint64_t as_of = 0;

    bool operator==(const stored_changes&) const = default;
};

/// A write that is done only if every key of `expected` still has the given
/// revision (0: does not exist).
struct conditional_write
{
    std::vector<stored_item> expected;
    std::string key;
    /// Deletes the key if absent.
    std::optional<std::string> value;
    /// The key goes with this lease; 0 if it stays.
    std::uint64_t lease = 0;
};

/// A lease as the store granted it.
struct store_lease
{
    std::uint64_t id = 0;
    milliseconds lifetime{0};

    bool operator==(const store_lease&) const = default;
};

/// Calls may overlap. Errors of kind "conflict" say that nothing was changed,
/// or that the history which a watch needs is gone; "refused" that the store
/// did nothing; "broken" and "timeout" leave open whether a write was done, or
/// will be.
class metadata_store
{
public:
    virtual ~metadata_store() = default;

    virtual boost::asio::awaitable<result<stored_item>>
    read(std::string key) = 0;
    virtual boost::asio::awaitable<result<stored_range>>
    read_all(std::string prefix) = 0;
    /// Waits for changes below the prefix that are newer than `after`.
    virtual boost::asio::awaitable<result<stored_changes>>
    watch(std::string prefix, std::uint64_t after, milliseconds wait) = 0;
    /// Returns the revision of the change.
    virtual boost::asio::awaitable<result<std::uint64_t>>
    write(conditional_write change) = 0;
    virtual boost::asio::awaitable<result<store_lease>>
    create_lease(milliseconds lifetime) = 0;
    /// Errors: "conflict" if the lease has ended.
    virtual boost::asio::awaitable<result<bool>>
    renew_lease(std::uint64_t id) = 0;
    virtual boost::asio::awaitable<result<bool>>
    end_lease(std::uint64_t id) = 0;
};

} // namespace oleandergrade
