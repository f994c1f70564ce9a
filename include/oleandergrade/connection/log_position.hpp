/// A position in the replicated log of a database group.
#pragma once

#include <compare>
#include <cstdint>

namespace oleandergrade
{

/// Ordered by term first: every position of a later term comes after all
/// positions of earlier terms.
struct log_position
{
    /// Term of the primary that wrote the log entry.
    std::uint64_t term = 0;
    std::uint64_t index = 0;

    auto operator<=>(const log_position&) const = default;
};

} // namespace oleandergrade
