/// What a failover coordinator wants done.
#pragma once

#include <oleandergrade/version/group_record.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace oleandergrade
{

/// Ask a target for its status; answered by `on_probe`.
struct probe_action
{
    std::string target;

    bool operator==(const probe_action&) const = default;
};

/// Read the group's record from the platform; answered by `on_record` with
/// the same attempt number.
struct read_record_action
{
    std::uint64_t attempt = 0;

    bool operator==(const read_record_action&) const = default;
};

/// Replace the group's record; answered by `on_swapped` with the same attempt
/// number.
struct swap_record_action
{
    std::uint64_t attempt = 0;
    std::uint64_t expected_revision = 0;
    group_record record;

    bool operator==(const swap_record_action&) const = default;
};

/// Raise a target's term; answered by `on_fenced`.
struct fence_action
{
    std::string target;
    std::uint64_t term = 0;

    bool operator==(const fence_action&) const = default;
};

/// Make a target primary; answered by `on_promoted`.
struct promote_action
{
    std::string target;
    std::uint64_t term = 0;

    bool operator==(const promote_action&) const = default;
};

/// Let a target replicate from the primary; not answered.
struct follow_action
{
    std::string target;
    std::uint64_t term = 0;
    std::string primary;

    bool operator==(const follow_action&) const = default;
};

/// Tell all VMs of a group's new record.
struct announce_action
{
    group_record record;

    bool operator==(const announce_action&) const = default;
};

using failover_action =
    std::variant<probe_action, read_record_action, swap_record_action,
                 fence_action, promote_action, follow_action, announce_action>;

/// One line for logs and golden files.
std::string to_string(const failover_action& action);

} // namespace oleandergrade
