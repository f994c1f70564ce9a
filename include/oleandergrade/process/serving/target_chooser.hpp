/// Decides which targets may serve a statement. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/failover/primary_authority.hpp>
#include <oleandergrade/process/failover/primary_outlook.hpp>
#include <oleandergrade/process/serving/position_tracker.hpp>
#include <oleandergrade/process/serving/target_health.hpp>
#include <oleandergrade/process/serving/target_registry.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// What a statement, or the first one of a transaction, needs.
struct placement_request
{
    std::string group;
    std::string account;
    /// It may write, or the transaction may.
    bool needs_primary = false;
    read_consistency consistency = read_consistency::current;
    milliseconds max_age{0};
    /// End of the session's own commits.
    std::optional<log_position> session_position;
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// Values that the session must hold; sessions that do are preferred.
    std::map<std::string, std::string> values;
    /// Targets that have refused the statement.
    std::set<std::string> excluded;
};

/// A target that may serve.
struct placement_candidate
{
    const target_record* target = nullptr;
    bool is_primary = false;
    /// Revision of the record under which the primary is used; 0 for a
    /// replica.
    std::uint64_t record_revision = 0;
    std::uint64_t term = 0;
    /// The position that a replica's log must have.
    std::optional<log_position> minimum;
};

/// What one VM knows of all groups.
struct serving_view
{
    target_registry registry;
    primary_authority authority;
    std::map<std::string, position_tracker> positions;
    target_health health;
    primary_outlook outlook;

    /// A target answered, or failed to. Returns whether it answered before.
    bool on_target(const std::string& target, bool answered, time_point now);
};

/// All targets that may serve the request now; empty if it must wait.
///
/// A primary is used under a valid record only. A replica may serve a read if
/// its log surely has the session's commits and every commit older than the
/// accepted age.
std::vector<placement_candidate>
choose_candidates(const serving_view& view, const placement_request& request,
                  time_point now);

} // namespace oleandergrade
