/// Which target leads a group, as the fleet has agreed in the store.
#pragma once

#include <oleandergrade/error.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// Written only by the duty's holder. Of two records of a group, the one with
/// the higher revision holds.
struct primary_record
{
    std::string group;
    std::uint64_t term = 0;
    std::string target;
    /// Statements may be sent to the primary. Once closed, the term stays
    /// closed until a record with another revision opens one.
    bool is_open = false;
    /// The replacement is planned: statements under way may end first.
    bool is_planned = false;
    /// The target that a promotion was ordered for, or is about to be. Empty
    /// as long as the term cannot have ended.
    std::string candidate;
    /// The store's revision; not part of the stored value.
    std::uint64_t revision = 0;

    bool operator==(const primary_record&) const = default;
};

/// The stored value (JSON).
std::string serialize_primary_record(const primary_record& record);
/// Errors: step "parse primary record".
result<primary_record> parse_primary_record(const std::string& value,
                                            std::uint64_t revision);

} // namespace oleandergrade
