/// Decides which requests may occupy a slot of a target. Without I/O.
#pragma once

#include <cstdint>

namespace oleandergrade
{

/// The slots of one target that this VM may use.
struct slot_usage
{
    /// Number of statements that may run at the same time.
    std::uint32_t slots = 0;
    /// Number of statements that are running.
    std::uint32_t running = 0;
    /// Number of these that are long reads of low priority.
    std::uint32_t running_long = 0;
    bool is_primary = false;

    bool operator==(const slot_usage&) const = default;
};

/// Returns whether another statement may be started at the target.
///
/// A long read of low priority must leave one slot of a primary free, so that
/// a write never waits until such a read has ended. While requests of higher
/// priority wait, such reads may occupy no more than half of a target's slots.
/// A target with a single slot is exempt from the first rule; it could not run
/// such reads otherwise.
bool may_occupy_slot(const slot_usage& usage, bool is_long_read,
                     bool higher_priority_waits);

} // namespace oleandergrade
