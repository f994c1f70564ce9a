#include <oleandergrade/process/serving/target_chooser.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

// Returns the position that a replica's log must have reached, or nothing if no
// replica may serve the request.
std::optional<log_position>
replica_minimum_position(const serving_view& view,
                         const placement_request& request, time_point now)
{
    if (request.needs_primary ||
        request.consistency == read_consistency::current)
        return std::nullopt;
    const auto found = view.positions.find(request.group);
    if (found == view.positions.end())
        return std::nullopt;
    const auto& tracker = found->second;
    auto minimum = tracker.minimum_for(request.max_age, now);
    if (!minimum || request.consistency != read_consistency::own_writes ||
        !request.session_position)
        return minimum;
    const auto& session_position = *request.session_position;
    const auto newest = tracker.newest();
    // The log of a primary of a later term contains the session's commits,
    // unless they were rolled back by its promotion.
    if (newest && session_position.term < newest->term)
        return std::max(*minimum, *tracker.lowest_of_newest_term());
    return std::max(*minimum, session_position);
}

} // namespace

void serving_view::set_awaited_replicas(
    const std::string& group, const std::vector<std::string>& replicas)
{
    if (replicas.empty())
        awaited_replicas.erase(group);
    else
        awaited_replicas[group] = replicas;
}

bool serving_view::record_target_result(const std::string& target,
                                        bool answered, time_point now)
{
    const bool was_failing = health.is_failing(target);
    if (answered)
        health.record_success(target);
    else
        health.record_failure(target, now);
    if (was_failing == !answered)
        return !was_failing;
    const auto* registration = registry.find(target);
    const auto* record =
        registration == nullptr ? nullptr : authority.find(registration->group);
    if (record != nullptr && record->target == target)
        wait_estimator.on_reachability_changed(registration->group, !answered,
                                               now);
    return !was_failing;
}

bool is_evacuated(const serving_view& view, const std::string& group)
{
    if (view.evacuations.empty())
        return false;
    const auto targets = view.registry.in_group(group);
    return !targets.empty() && std::all_of(targets.begin(), targets.end(),
                                           [&](const target_record* target) {
                                               return view.evacuations.contains(
                                                   target->failure_domain);
                                           });
}

bool must_be_left(const serving_view& view, const std::string& target,
                  time_point now)
{
    const auto* record = view.registry.find(target);
    return record != nullptr &&
           view.evacuations.must_be_empty(record->failure_domain, now);
}

std::vector<placement_candidate>
choose_candidates(const serving_view& view, const placement_request& request,
                  time_point now)
{
    std::vector<placement_candidate> candidates;
    std::vector<placement_candidate> lagging_candidates;
    const auto* usable_record = view.authority.find_usable(request.group, now);
    const auto minimum = replica_minimum_position(view, request, now);
    const auto* newest_record = view.authority.find(request.group);
    const bool needs_primary = request.needs_primary ||
                               request.consistency == read_consistency::current;
    const bool has_successor = !is_evacuated(view, request.group);
    for (const auto* target : view.registry.in_group(request.group))
    {
        if (request.excluded_targets.contains(target->id) ||
            view.health.is_avoided(target->id, now))
            continue;
        const bool is_leaving =
            view.evacuations.contains(target->failure_domain);
        if (is_leaving &&
            (!needs_primary || !has_successor ||
             view.evacuations.must_be_empty(target->failure_domain, now)))
            continue;
        if (usable_record != nullptr && usable_record->target == target->id)
        {
            candidates.push_back({target, true, usable_record->revision,
                                  usable_record->term, std::nullopt});
            continue;
        }
        // A primary with a closed record is about to be deposed. Its log may
        // end with commits that are not kept, so it serves no reads either.
        const bool is_closed_primary =
            newest_record != nullptr && newest_record->target == target->id;
        if (!minimum || target->is_draining || is_leaving ||
            is_closed_primary || view.health.is_lagging(target->id, now))
            continue;
        const bool is_up_to_date = view.replica_lag.is_expected_to_reach(
            target->id, *minimum, view.positions.at(request.group), now);
        auto& list = is_up_to_date ? candidates : lagging_candidates;
        list.push_back({target, false, 0, 0, minimum});
    }
    return candidates.empty() ? lagging_candidates : candidates;
}

} // namespace oleandergrade
