#include <oleandergrade/request/router.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

/// How long an unreachable target is passed over.
constexpr auto avoid_period = milliseconds(500);
/// How long a replica that was behind a session gets no session reads of
/// positions it is not known to hold.
constexpr auto behind_period = milliseconds(20);

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

router::router(std::string own_domain) : own_domain_(std::move(own_domain)) {}

void router::use_configuration(const configuration& value)
{
    databases_ = value.databases;
    std::map<std::string, target_state> kept;
    for (const auto& [name, declared] : value.targets)
    {
        auto& state = kept[name];
        if (const auto known = targets_.find(name); known != targets_.end())
            state = known->second;
        state.declared = declared;
    }
    targets_ = std::move(kept);
}

bool router::learn_group(const group_record& record)
{
    auto& known = groups_[record.database];
    if (!record.supersedes(known))
        return false;
    known = record;
    return true;
}

const group_record* router::find_group(const std::string& database) const
{
    const auto found = groups_.find(database);
    return found == groups_.end() ? nullptr : &found->second;
}

std::vector<group_record> router::groups() const
{
    std::vector<group_record> records;
    records.reserve(groups_.size());
    for (const auto& [database, record] : groups_)
        records.push_back(record);
    return records;
}

void router::learn_position(const std::string& target,
                            const log_position& position, time_point)
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    found->second.seen = std::max(found->second.seen, position);
    found->second.avoid_until = {};
}

void router::learn_behind(const std::string& target, time_point now)
{
    const auto found = targets_.find(target);
    if (found != targets_.end())
        found->second.behind_until = now + behind_period;
}

void router::learn_unreachable(const std::string& target, time_point now)
{
    const auto found = targets_.find(target);
    if (found != targets_.end())
        found->second.avoid_until = now + avoid_period;
}

route_decision router::decide(const route_request& request, time_point now)
{
    const auto database = databases_.find(request.database);
    if (database == databases_.end())
        return no_route{refusal_code::unknown_database,
                        "the database is not configured"};
    const auto* group = find_group(request.database);
    if (group == nullptr || !group->steady)
        return no_route{refusal_code::no_primary,
                        "no primary is known at the moment"};
    const auto& session = request.session;
    if (session && session->position.term > group->term)
        return no_route{refusal_code::no_primary,
                        "the session has seen a later term than this VM"};

    const auto min_position = session ? session->position.position : 0;
    const bool is_read = request.kind == statement_kind::read;
    const bool any_replica =
        request.max_age.count() > 0 || (session && !session->unsettled);
    if (is_read && any_replica && !(session && session->unsettled))
    {
        auto* replica = choose_replica(database->second, *group, request,
                                       min_position, now);
        if (replica != nullptr)
            return route{replica->declared.name,
                         replica->declared.failure_domain, group->term,
                         min_position, false};
    }
    const auto primary = targets_.find(group->primary);
    if (primary == targets_.end())
        return no_route{refusal_code::no_primary,
                        "the primary is not a configured target"};
    // After a change of primary, positions of an older term that were never
    // confirmed may not exist; the primary holds all that were.
    const bool same_term = session && session->position.term == group->term;
    return to_primary(*group, is_read && same_term ? min_position : 0);
}

route router::to_primary(const group_record& group, std::uint64_t min_position)
{
    const auto& declared = targets_.at(group.primary).declared;
    return {declared.name, declared.failure_domain, group.term, min_position,
            true};
}

router::target_state* router::choose_replica(const database_group& database,
                                             const group_record& group,
                                             const route_request& request,
                                             std::uint64_t min_position,
                                             time_point now)
{
    target_state* best = nullptr;
    bool best_is_local = false;
    ++next_choice_;
    const auto count = database.targets.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto& name = database.targets[(i + next_choice_) % count];
        auto& state = targets_.at(name);
        const bool holds_position = state.seen.position >= min_position;
        if (name == group.primary || state.declared.leaving ||
            state.avoid_until > now || contains(request.excluded, name) ||
            (!holds_position && state.behind_until > now))
            continue;
        const bool is_local = state.declared.failure_domain == own_domain_;
        if (best == nullptr || (is_local && !best_is_local))
        {
            best = &state;
            best_is_local = is_local;
        }
    }
    return best;
}

} // namespace oleandergrade
