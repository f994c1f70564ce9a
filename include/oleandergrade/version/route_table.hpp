/// One version of the operators' routes, groups and accounts, ready for
/// look-up by sessions.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace oleandergrade
{

/// How recent the data of a read must be.
enum class read_consistency : std::uint8_t
{
    /// Every acknowledged commit.
    current,
    /// The session's own commits, and a stated age for all others.
    own_writes,
    /// A stated age.
    bounded_age
};

/// How the statements for one database name are served.
struct route
{
    std::string database;
    std::string group;
    read_consistency consistency = read_consistency::current;
    /// Accepted age of the data; unused by `current`.
    milliseconds max_age{0};
    /// Longest time for one statement.
    milliseconds statement_timeout{0};
    /// Time within which an answer is worth most to callers.
    milliseconds latency_objective{0};
    /// 0 is served first.
    std::uint32_t priority = 0;
    /// Callers need no key.
    bool open_to_all = false;

    bool operator==(const route&) const = default;
};

/// Limits of one database group.
struct group_limits
{
    std::string name;
    /// Connections that each target accepts from the whole fleet.
    std::uint32_t connections_per_target = 0;
    /// Replicas that hold a commit before it is acknowledged.
    std::uint32_t synchronous_replicas = 0;

    bool operator==(const group_limits&) const = default;
};

/// A client account and what it may send through the whole fleet.
struct route_account
{
    std::string name;
    std::uint32_t priority = 0;
    /// Operations per second.
    double rate = 0;
    /// Operations that may come at once.
    double burst = 0;

    bool operator==(const route_account&) const = default;
};

/// Immutable once in force.
struct route_table
{
    std::uint64_t version = 0;
    std::unordered_map<std::string, route> routes;
    std::unordered_map<std::string, group_limits> groups;
    std::unordered_map<std::string, route_account> accounts;
    /// Account names by key.
    std::unordered_map<std::string, std::string> account_of_key;
    /// A transaction without statements for this long may be ended.
    milliseconds transaction_idle{0};
    /// The record that it was decoded from, for VMs that lack it.
    std::string record;

    const route* find_route(const std::string& database) const;
    const group_limits* find_group(const std::string& group) const;
    /// The account that holds a key, or none.
    const route_account* find_account_by_key(const std::string& key) const;

    bool operator==(const route_table&) const = default;
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace oleandergrade
