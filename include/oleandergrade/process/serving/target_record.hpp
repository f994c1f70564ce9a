/// The registration of a target (a database server) in the store.
#pragma once

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// One registration of a target. A value type; a changed registration is a new
/// record.
struct target_record
{
    std::string id;
    std::string group;
    /// Host and port.
    std::string address;
    std::string failure_domain;
    /// Number of statements that the target runs concurrently.
    std::uint32_t slots = 1;
    /// The target is shutting down and must get no new work.
    bool is_draining = false;
    /// The target claims to be the group's primary. The claim alone does not
    /// permit its use as such.
    bool claims_primary = false;
    /// Start of the target's process, in Unix milliseconds; 0 if it is not
    /// known. One that starts again under its identifier has lost its log.
    std::uint64_t started_at = 0;

    bool operator==(const target_record&) const = default;
};

} // namespace oleandergrade
