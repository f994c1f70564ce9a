/// Decides which targets may serve a statement. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/failover/primary_authority.hpp>
#include <oleandergrade/process/failover/primary_wait_estimator.hpp>
#include <oleandergrade/process/serving/evacuated_domains.hpp>
#include <oleandergrade/process/serving/position_tracker.hpp>
#include <oleandergrade/process/serving/replica_lag_tracker.hpp>
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

/// The requirements of a statement, or of a transaction, for the target that
/// serves it.
struct placement_request
{
    std::string group;
    std::string account;
    /// The statement, or a later one of the same transaction, may write.
    bool needs_primary = false;
    read_consistency consistency = read_consistency::current;
    /// Accepted age of the data; unused if `consistency` is `current`.
    milliseconds max_age{0};
    /// Log position of the session's last commit.
    std::optional<log_position> session_position;
    /// Requests with a lower value are served first.
    std::uint32_t priority = 0;
    /// Values that the caller has set for its session. Target sessions that
    /// already hold them are preferred.
    std::map<std::string, std::string> session_values;
    /// Identifiers of targets that have failed or rejected the statement.
    std::set<std::string> excluded_targets;
};

/// A target that may serve the request, and under which conditions.
struct placement_candidate
{
    const target_record* target = nullptr;
    bool is_primary = false;
    /// Revision of the primary's record under which the target is used; 0 for a
    /// replica.
    std::uint64_t record_revision = 0;
    /// Term of the primary's record; 0 for a replica.
    std::uint64_t term = 0;
    /// The position that a replica's log must have reached; not set for the
    /// primary.
    std::optional<log_position> minimum_position;
};

/// The state of all groups as one VM has observed it.
struct serving_view
{
    target_registry registry;
    primary_authority authority;
    /// Log positions of the primary by group.
    std::map<std::string, position_tracker> positions;
    target_health health;
    replica_lag_tracker replica_lag;
    primary_wait_estimator wait_estimator;
    /// Replicas whose logs are awaited before a primary can be promoted, by
    /// group, as the leader has told.
    std::map<std::string, std::vector<std::string>> awaited_replicas;
    evacuated_domains evacuations;

    void set_awaited_replicas(const std::string& group,
                              const std::vector<std::string>& replicas);

    /// Records that a target answered, or failed to answer. Returns false if
    /// the target was recorded as failing before.
    bool record_target_result(const std::string& target, bool answered,
                              time_point now);
};

/// Returns whether all targets of a group are in failure domains that are being
/// evacuated, so that none may serve any statement.
bool is_evacuated(const serving_view& view, const std::string& group);
/// Returns whether no further statement may be sent to a target, not even in an
/// open transaction: its failure domain has been evacuated.
bool must_be_left(const serving_view& view, const std::string& target,
                  time_point now);

/// Returns all targets that may serve the request now; empty if it must wait.
/// The pointers in the result are valid until the view's registry changes.
///
/// A primary is used only under an open record and a valid grant. A replica may
/// serve a read if the candidate's minimum position guarantees that the
/// replica's log contains the session's commits and every commit older than the
/// accepted age. Replicas that are not expected to have reached it are returned
/// only if no other target may serve the request.
///
/// Targets of failure domains that are being evacuated are left out, except for
/// a primary that is being replaced: until its record is closed, and for a
/// limited time, it serves the requests that need it.
std::vector<placement_candidate>
choose_candidates(const serving_view& view, const placement_request& request,
                  time_point now);

} // namespace oleandergrade
