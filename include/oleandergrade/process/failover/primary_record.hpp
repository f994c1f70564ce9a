/// The stored record of which target is the primary of a group.
#pragma once

#include <oleandergrade/connection/log_position.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/process/failover/commit_quorum.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// The fleet's agreed state of a group's primary, kept in the store. Only the
/// leader writes it. Of two records of a group the newer one is valid; see
/// `is_newer`.
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
    /// Orders the records of a term. The number of the store's revision of the
    /// record or, if the store was restored since, higher; see
    /// `rising_number`. 0 if there is no record.
    std::uint64_t revision = 0;

    bool operator==(const primary_record&) const = default;
};

/// Whether `left` is valid and `right` is not, of two records of a group. A
/// later term is newer, within a term the higher revision. If these are equal
/// although the records differ, which is possible only after the store was
/// restored, the record that admits less is newer.
bool is_newer(const primary_record& left, const primary_record& right);

/// What is stored with a record.
struct record_origin
{
    /// Revision of the record that this one replaces; the record gets a higher
    /// one. 0 if the record is stored with `revision`.
    std::uint64_t predecessor = 0;
    /// Revision of a record that is written again after the store has lost it;
    /// 0 for a new record.
    std::uint64_t revision = 0;
    /// Generation of the store in which the value was written; 0 if it is not
    /// known.
    std::uint64_t generation = 0;
    /// The replicas that may have acknowledged commits of the term.
    quorum_state quorum = {};

    bool operator==(const record_origin&) const = default;
};

/// A record as the store contains it.
struct stored_primary_record
{
    primary_record record;
    record_origin origin;
    /// The store's revision of the key.
    std::uint64_t store_revision = 0;

    /// Whether the store has lost changes since the value was written, among
    /// which a newer record may have been.
    bool may_be_superseded() const;

    bool operator==(const stored_primary_record&) const = default;
};

/// Returns the value to store, a JSON object. The record's revision is not part
/// of it.
std::string serialize_primary_record(const primary_record& record,
                                     const record_origin& origin = {});
/// Parses a stored value. Fails with step "parse primary record" if the value
/// is not a JSON object or lacks the group, the target or the term.
result<stored_primary_record>
parse_stored_primary_record(const std::string& value,
                            std::uint64_t store_revision);
/// Returns only the record of a stored value.
result<primary_record> parse_primary_record(const std::string& value,
                                            std::uint64_t store_revision);

} // namespace oleandergrade
