/// A place in the log of a database group.
#pragma once

#include <cstdint>

namespace oleandergrade
{

/// Positions of a later term come after all positions of an earlier one.
struct log_position
{
    std::uint64_t term = 0;
    std::uint64_t position = 0;

    auto operator<=>(const log_position&) const = default;
};

} // namespace oleandergrade
