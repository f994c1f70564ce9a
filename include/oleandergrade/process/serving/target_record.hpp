/// A database server as it registers itself.
#pragma once

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// Immutable value; a changed registration is another record.
struct target_record
{
    std::string id;
    std::string group;
    std::string address;
    std::string failure_domain;
    /// Statements it runs at the same time.
    std::uint32_t slots = 1;
    /// It leaves and must get no new work.
    bool is_draining = false;
    /// It takes itself for the group's primary.
    bool claims_primary = false;

    bool operator==(const target_record&) const = default;
};

} // namespace oleandergrade
