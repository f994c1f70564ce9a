/// One version of the operators' configuration: routes, groups and client
/// accounts, as sessions look them up.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace oleandergrade
{

/// The consistency of reads: how recent their data must be.
enum class read_consistency : std::uint8_t
{
    /// Reads see every acknowledged commit.
    current,
    /// Reads see the commits of their own session; the commits of other
    /// sessions may be missing for up to the route's `max_age`.
    own_writes,
    /// Commits may be missing for up to the route's `max_age`.
    bounded_age
};

/// How the statements for one database name are served.
struct route
{
    std::string database;
    std::string group;
    read_consistency consistency = read_consistency::current;
    /// Maximum staleness of the data; unused with `current`.
    milliseconds max_age{0};
    /// Maximum time for one statement.
    milliseconds statement_timeout{0};
    /// Latency within which statements should be answered.
    milliseconds latency_objective{0};
    /// Statements with a lower number are served first.
    std::uint32_t priority = 0;
    /// Callers may open sessions without a key.
    bool is_public = false;

    bool operator==(const route&) const = default;
};

/// Limits of one database group.
struct group_limits
{
    std::string name;
    /// Maximum number of connections from the whole fleet to each target.
    std::uint32_t max_connections_per_target = 0;
    /// Number of replicas that must hold a commit before it is acknowledged.
    std::uint32_t synchronous_replicas = 0;

    bool operator==(const group_limits&) const = default;
};

/// A client account and its limits, which apply to the fleet as a whole.
struct client_account
{
    std::string name;
    /// Priority as configured. Statements are ordered by their route's priority
    /// instead.
    std::uint32_t priority = 0;
    /// Sustained rate in operations per second.
    double rate = 0;
    /// Number of operations that may be sent at once above the sustained rate.
    double burst = 0;

    bool operator==(const client_account&) const = default;
};

/// A configuration; it is not modified after it was activated.
struct route_table
{
    /// Version set by the operators; a valid configuration has one above 0.
    std::uint64_t version = 0;
    /// Routes by database name.
    std::unordered_map<std::string, route> routes;
    /// Group limits by group name.
    std::unordered_map<std::string, group_limits> groups;
    /// Client accounts by name.
    std::unordered_map<std::string, client_account> accounts;
    /// Names of client accounts by the keys that callers authenticate with.
    std::unordered_map<std::string, std::string> account_by_key;
    /// A transaction that receives no statement for this long may be ended.
    milliseconds transaction_idle_timeout{0};
    /// The store record that this table was decoded from. It is passed on to
    /// VMs that don't have this version. Empty if read from an INI file.
    std::string source_record;

    /// Returns the route of a database, or null if there is none.
    const route* find_route(const std::string& database) const;
    /// Returns the limits of a group, or null if there are none.
    const group_limits* find_group(const std::string& group) const;
    /// Returns the client account that a key belongs to, or null if the key is
    /// unknown or empty: callers without a key belong to none.
    const client_account* find_account_by_key(const std::string& key) const;

    bool operator==(const route_table&) const = default;
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace oleandergrade
