/// The stored record of which target is the primary of a group.
#pragma once

#include <oleandergrade/connection/log_position.hpp>
#include <oleandergrade/error.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// The fleet's agreed state of a group's primary, kept in the store. Only the
/// leader writes it. Of two records of a group, the one with the higher
/// revision is valid.
struct primary_record
{
    std::string group;
    std::uint64_t term = 0;
    std::string target;
    /// Whether statements may be sent to the primary. Once closed, the term
    /// remains closed until a record with a higher revision is open.
    bool is_open = false;
    /// Whether the replacement is planned, so that statements in progress may
    /// finish before it.
    bool is_planned = false;
    /// The target whose promotion has been ordered or is about to be ordered.
    /// Empty as long as no promotion can have ended the term.
    std::string candidate;
    /// Furthest position of the term's log that was known when the candidate
    /// was recorded.
    log_position known_position;
    /// The store's revision of the record; not part of the stored value.
    std::uint64_t revision = 0;

    bool operator==(const primary_record&) const = default;
};

/// Returns the value to store, a JSON object.
std::string serialize_primary_record(const primary_record& record);
/// Parses a stored value. Fails with step "parse primary record" if the value
/// is not a JSON object or lacks the group, the target or the term.
result<primary_record> parse_primary_record(const std::string& value,
                                            std::uint64_t revision);

} // namespace oleandergrade
