/// Who is the primary of a database group, and in which term.
#pragma once

#include <oleandergrade/error.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// One version of a group's leadership. A higher term replaces a lower one;
/// within a term, a steady record replaces one that is being decided.
struct group_record
{
    std::string database;
    std::uint64_t term = 0;
    /// Target name; empty while a promotion is under way.
    std::string primary;
    bool steady = false;
    /// Process that decides this term; known only in the platform's record.
    std::string coordinator;

    bool operator==(const group_record&) const = default;
    /// Whether this record should replace another one.
    bool supersedes(const group_record& other) const;
};

/// The JSON value kept in the platform under `group_key(database)`.
std::string serialize_group_record(const group_record& record);
/// Errors: step "parse group record".
result<group_record> parse_group_record(const std::string& database,
                                        const std::string& value);
std::string group_key(const std::string& database);

} // namespace oleandergrade
