#include <oleandergrade/process/failover/group_failover.hpp>

#include <oleandergrade/invariant.hpp>
#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/store_revision.hpp>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace oleandergrade
{

namespace
{

/// A primary counts as lost once one in this many VMs fails to reach it.
constexpr std::size_t lost_fraction_divisor = 3;
/// A target that refused its promotion is not chosen again for this long.
constexpr auto refusal_validity = seconds(2);
/// Interval between requests for the reports that show whether a replica that
/// is not registered any more can be forgotten.
constexpr auto departure_request_interval = milliseconds(1000);
/// Shortest time between two writes of a record whose replicas have changed.
constexpr auto quorum_write_interval = milliseconds(1000);
/// Delay after a failed write of the record.
constexpr auto write_retry_delay = milliseconds(50);

const target_observation* find_target(const group_observation& observation,
                                      const std::string& id)
{
    const auto found =
        std::find_if(observation.targets.begin(), observation.targets.end(),
                     [&](const target_observation& target)
                     { return target.record.id == id; });
    return found == observation.targets.end() ? nullptr : &*found;
}

} // namespace

group_failover::group_failover(std::string group) : group_(std::move(group)) {}

const char* group_failover::step_name() const
{
    static constexpr std::array<const char*, 7> names{
        "watching",  "inquiring", "writing",  "binding",
        "reporting", "promoting", "verifying"};
    return names[static_cast<std::size_t>(step_)];
}

void group_failover::on_stored_record(const stored_primary_record& stored)
{
    const bool is_outdated = stored.store_revision < stored_.store_revision;
    if (!is_outdated)
        stored_ = stored;
    on_record(stored.record);
    if (!is_outdated && record_ == stored.record &&
        stored.origin.quorum.synchronous_replicas != 0)
        quorum_.adopt(stored.origin.quorum);
}

void group_failover::on_record(const primary_record& record)
{
    if (!is_newer(record, record_))
        return;
    if (record.term > record_.term)
        quorum_ = quorum_of_term(record);
    record_ = record;
}

const target_record*
group_failover::find_registered(const std::string& id) const
{
    const auto found = std::find_if(registered_.begin(), registered_.end(),
                                    [&](const target_record& registered)
                                    { return registered.id == id; });
    return found == registered_.end() ? nullptr : &*found;
}

commit_quorum group_failover::quorum_of_term(const primary_record& record) const
{
    auto quorum = quorum_;
    if (record.term <= record_.term)
        return quorum;
    const auto* former = find_registered(record_.target);
    quorum.begin_term(record.target,
                      former == nullptr
                          ? counted_replica{}
                          : counted_replica{former->id, former->started_at,
                                            former->address,
                                            former->is_draining});
    return quorum;
}

void group_failover::abort_replacement()
{
    step_ = step::watching;
    inquired_generation_ = 0;
    resumed_.clear();
    departed_replicas_.clear();
    forget_reports();
    actions_.clear();
}

void group_failover::forget_reports()
{
    reports_.clear();
    furthest_position_ = record_.known_position;
    incomplete_since_.reset();
    has_fenced_ = false;
    awaited_replicas_.clear();
}

void group_failover::enter_step(step next, time_point now)
{
    step_ = next;
    step_entered_at_ = now;
    next_request_at_.clear();
}

std::vector<group_action>
group_failover::tick(const group_observation& observation, time_point now)
{
    store_generation_ = observation.store_generation;
    observe_replicas(observation);
    // A write whose answer was lost has opened the record meanwhile.
    const bool replaces = step_ == step::binding || step_ == step::reporting ||
                          step_ == step::verifying;
    if (replaces && record_.is_open)
        abort_replacement();
    switch (step_)
    {
    case step::watching:
        watch_primary(observation, now);
        break;
    case step::inquiring:
        request_reports(observation, now);
        confirm_record(observation, now);
        break;
    case step::writing:
    case step::promoting:
        break;
    case step::binding:
        request_reports(observation, now);
        if (!adopt_primary(observation, now) && observation.is_record_binding)
        {
            binding_since_ = now;
            enter_step(step::reporting, now);
            request_reports(observation, now);
        }
        break;
    case step::reporting:
        request_reports(observation, now);
        if (!adopt_primary(observation, now))
            choose_candidate(observation, now);
        break;
    case step::verifying:
        verify_promotion(now);
        break;
    }
    return std::exchange(actions_, {});
}

void group_failover::watch_primary(const group_observation& observation,
                                   time_point now)
{
    if (now < write_allowed_at_)
        return;
    if (must_inquire(observation))
    {
        forget_reports();
        return enter_step(step::inquiring, now);
    }
    if (record_.revision == 0)
        return record_first_primary(observation, now);
    if (!record_.is_open)
    {
        // A previous leader closed the record and did not finish the
        // replacement.
        forget_reports();
        actions_.push_back(announce_primary{});
        return enter_step(step::binding, now);
    }
    const auto* primary = find_target(observation, record_.target);
    if (primary == nullptr)
        return close_record(false, now);
    // A primary that the leader itself can reach still reports the length of
    // its log, so that its replacement can be a planned one.
    const bool is_lost_by_vms = is_lost(*primary, observation);
    if (is_lost_by_vms && primary->leader_failing_for)
        return close_record(false, now);
    if ((is_lost_by_vms || primary->record.is_draining ||
         must_evacuate(*primary, observation)) &&
        now >= planned_retry_at_)
        return close_record(true, now);
    check_for_later_primary(observation, *primary, now);
    if (step_ != step::watching || !quorum_.is_synchronous())
        return;
    // A successor must know replicas whose registrations lapse before its
    // election. For the VMs the record remains the same.
    if (quorum_.state() != stored_.origin.quorum && now >= next_quorum_write_)
    {
        next_quorum_write_ = now + quorum_write_interval;
        return write_record(record_, now, record_.revision);
    }
    resume_replicas(observation, now);
    forget_departed_replicas(observation, now);
}

void group_failover::observe_replicas(const group_observation& observation)
{
    registered_.clear();
    for (const auto& target : observation.targets)
        registered_.push_back(target.record);
    if (record_.revision != 0)
        quorum_.observe(registered_, record_.target,
                        observation.synchronous_replicas.value_or(
                            quorum_.state().synchronous_replicas));
}

// The leader that has fenced a replica may have lost its office since.
void group_failover::resume_replicas(const group_observation& observation,
                                     time_point now)
{
    for (const auto& target : observation.targets)
    {
        const auto& id = target.record.id;
        auto& next = next_request_at_[id];
        if (id == record_.target || resumed_.contains(id) || now < next)
            continue;
        next = now + unresponsive_request_interval;
        actions_.push_back(resume_target{id});
    }
}

void group_failover::on_resumed(const std::string& target, bool succeeded)
{
    if (succeeded && step_ == step::watching)
        resumed_.insert(target);
}

// What a replica may have acknowledged before it departed was at the primary
// then. As soon as enough others have received the primary's log up to a later
// position, nothing depends on the departed one.
void group_failover::forget_departed_replicas(
    const group_observation& observation, time_point now)
{
    const auto departed = quorum_.departed(registered_);
    if (departed != departed_replicas_)
    {
        departed_replicas_ = departed;
        departed_at_ = now;
        departure_position_.reset();
        reports_.clear();
    }
    if (departed.empty())
        return;
    const auto primary = reports_.find(record_.target);
    if (!departure_position_ && primary != reports_.end() &&
        primary->second.requested_at > departed_at_ &&
        primary->second.report.is_primary &&
        primary->second.report.term == record_.term)
        departure_position_ = primary->second.report.received_position;
    const auto holders = std::count_if(
        registered_.begin(), registered_.end(),
        [&](const target_record& target)
        {
            const auto found = reports_.find(target.id);
            return departure_position_ && target.id != record_.target &&
                   found != reports_.end() &&
                   found->second.started_at == target.started_at &&
                   found->second.report.received_position >=
                       *departure_position_;
        });
    if (departure_position_ && static_cast<std::size_t>(holders) >=
                                   quorum_.state().synchronous_replicas)
    {
        for (const auto& replica : departed)
            quorum_.remove(replica);
        return;
    }
    for (const auto& target : observation.targets)
    {
        auto& next = next_request_at_[target.record.id];
        if (now < next)
            continue;
        next = now + departure_request_interval;
        actions_.push_back(request_target_report{target.record.id});
    }
}

bool group_failover::must_inquire(const group_observation& observation) const
{
    const auto generation = observation.store_generation;
    if (generation == 0)
        return false;
    if (record_.revision == 0)
        return inquired_generation_ != generation;
    return stored_.store_revision == 0 || stored_.may_be_superseded() ||
           store_generation(stored_.store_revision) != generation ||
           is_newer(record_, stored_.record);
}

void group_failover::confirm_record(const group_observation& observation,
                                    time_point now)
{
    const bool misses_reports =
        std::any_of(observation.targets.begin(), observation.targets.end(),
                    [&](const target_observation& target) {
                        return !target.leader_failing_for &&
                               !reports_.contains(target.record.id);
                    });
    if (!observation.is_inquiry_complete ||
        (misses_reports && now - step_entered_at_ < report_timeout))
        return;
    inquired_generation_ = observation.store_generation;
    if (record_.revision == 0)
        return enter_step(step::watching, now);
    // A promotion whose record is lost has taken effect.
    if (highest_term() > record_.term && record_.is_open)
        return close_record(false, now);
    write_record(record_, now, record_.revision);
}

// A promotion whose answer was lost may have taken effect late. Registrations
// lag behind the actual state of the targets, so a target that registers as
// primary must send a report before the record is closed.
void group_failover::check_for_later_primary(
    const group_observation& observation, const target_observation& primary,
    time_point now)
{
    for (const auto& other : observation.targets)
    {
        const auto& id = other.record.id;
        if (!other.record.claims_primary || primary.record.claims_primary ||
            id == record_.target)
            continue;
        const auto found = reports_.find(id);
        if (found != reports_.end() && found->second.report.is_primary &&
            found->second.report.term > record_.term)
            return close_record(false, now);
        auto& next = next_request_at_[id];
        if (now < next)
            continue;
        next = now + unresponsive_request_interval;
        actions_.push_back(request_target_report{id});
    }
}

// Without a target elsewhere the primary keeps its record: the VMs refuse its
// statements, and it serves again as soon as the evacuation is revoked.
bool group_failover::must_evacuate(const target_observation& primary,
                                   const group_observation& observation)
{
    return primary.is_evacuated &&
           std::any_of(observation.targets.begin(), observation.targets.end(),
                       [](const target_observation& target)
                       {
                           return !target.is_evacuated &&
                                  !target.record.is_draining &&
                                  !target.leader_failing_for;
                       });
}

bool group_failover::is_lost(const target_observation& primary,
                             const group_observation& observation) const
{
    const bool fails_at_leader = primary.leader_failing_for &&
                                 *primary.leader_failing_for >= loss_timeout;
    const auto failing_vms =
        primary.vms_failing_to_reach + (fails_at_leader ? 1 : 0);
    if (failing_vms * lost_fraction_divisor >= observation.reporting_vms + 1 &&
        (fails_at_leader || primary.vms_failing_to_reach > 1))
        return true;
    return primary.leader_failing_for &&
           *primary.leader_failing_for >= leader_only_loss_timeout;
}

// If the group has no record yet, the target that already is its primary is
// recorded.
void group_failover::record_first_primary(const group_observation& observation,
                                          time_point now)
{
    request_reports(observation, now);
    for (const auto& [id, received] : reports_)
        if (received.report.is_primary &&
            received.report.term == highest_term())
            return open_record(id, received.report.term, now);
}

void group_failover::close_record(bool is_planned, time_point now)
{
    auto closed = record_;
    closed.is_open = false;
    closed.candidate.clear();
    closed.is_planned = is_planned;
    closed.known_position = {};
    forget_reports();
    furthest_position_ = {};
    write_record(closed, now);
}

void group_failover::open_record(const std::string& target, std::uint64_t term,
                                 time_point now)
{
    check_invariant(term >= record_.term,
                    "an opened record must not lower the term", group_);
    check_invariant(record_.revision == 0 || !record_.is_open,
                    "the record must be closed before it is opened again",
                    group_);
    primary_record opened;
    opened.group = group_;
    opened.term = term;
    opened.target = target;
    opened.is_open = true;
    opened_at_ = now;
    resumed_.clear();
    write_record(opened, now);
}

void group_failover::write_record(const primary_record& record, time_point now,
                                  std::uint64_t restored_revision)
{
    pending_.record = record;
    pending_.origin = {restored_revision == 0 ? record_.revision : 0,
                       restored_revision, store_generation_,
                       quorum_of_term(record).state()};
    actions_.push_back(
        write_primary_record{record, stored_.store_revision, pending_.origin});
    enter_step(step::writing, now);
}

void group_failover::on_write_result(const result<std::uint64_t>& outcome,
                                     time_point now)
{
    if (step_ != step::writing)
        return;
    if (!succeeded(outcome))
    {
        // The write may have taken effect. The watch on the store delivers the
        // stored record, from which a later tick continues.
        write_allowed_at_ = now + write_retry_delay;
        return enter_step(step::watching, now);
    }
    auto& record = pending_.record;
    const bool is_restored = pending_.origin.revision != 0;
    pending_.store_revision = value_of(outcome);
    if (!is_restored)
        record.revision =
            rising_number(pending_.store_revision, pending_.origin.predecessor);
    on_stored_record(pending_);
    actions_.push_back(announce_primary{});
    if (record.is_open || is_restored)
    {
        forget_reports();
        return enter_step(step::watching, now);
    }
    if (record.candidate.empty())
        return enter_step(step::binding, now);
    order_promotion(record.candidate, now);
}

void group_failover::request_reports(const group_observation& observation,
                                     time_point now)
{
    const bool fences = must_fence(now);
    if (fences && !has_fenced_)
    {
        has_fenced_ = true;
        std::erase_if(reports_, [&](const auto& entry)
                      { return entry.first != record_.target; });
    }
    for (const auto& target : observation.targets)
    {
        const auto& id = target.record.id;
        auto& next = next_request_at_[id];
        bool is_known = reports_.contains(id);
        if (step_ == step::reporting)
            is_known = final_report(id) != nullptr && !incomplete_since_;
        // Replicas are fenced when the primary no longer answers.
        if (quorum_.is_synchronous() && id == record_.target)
            is_known = is_known && answers_as_primary(now);
        // A primary of an earlier term cannot be promoted.
        const auto found = reports_.find(id);
        const bool is_superseded = step_ == step::reporting &&
                                   found != reports_.end() &&
                                   found->second.report.is_primary &&
                                   found->second.report.term < record_.term;
        is_known = is_known && !is_superseded;
        if (is_known || now < next)
            continue;
        next = now + (target.leader_failing_for ? unresponsive_request_interval
                                                : request_interval);
        if (is_superseded)
            actions_.push_back(demote_target{id, record_.term});
        else if (fences && id != record_.target)
            actions_.push_back(fence_target{id, record_.term + 1});
        else
            actions_.push_back(request_target_report{id});
    }
}

// A fence keeps a former primary that is cut off from getting further commits
// acknowledged. Before the closed record is binding it would stop commits that
// are under way, and in a planned replacement the primary itself tells where
// its log ends.
bool group_failover::must_fence(time_point now) const
{
    if (!quorum_.is_synchronous() || step_ != step::reporting)
        return false;
    return !record_.is_planned || has_fenced_ ||
           (!answers_as_primary(now) &&
            now - step_entered_at_ >= report_timeout);
}

bool group_failover::answers_as_primary(time_point now) const
{
    const auto* report = final_report(record_.target);
    return report != nullptr && report->is_primary &&
           report->term == record_.term &&
           now - reports_.at(record_.target).requested_at <
               primary_report_validity;
}

void group_failover::on_report(const std::string& target,
                               const result<target_report>& outcome,
                               time_point requested_at, time_point now)
{
    if (!succeeded(outcome))
        return;
    const auto& report = value_of(outcome);
    const auto* registered = find_registered(target);
    reports_[target] = {report, requested_at,
                        registered == nullptr ? 0 : registered->started_at};
    if (report.term == record_.term)
        furthest_position_ =
            std::max(furthest_position_, report.received_position);
    if (step_ == step::verifying && target == candidate_ && report.is_primary &&
        report.term > record_.term)
    {
        if (!record_.target.empty() && record_.target != target)
            actions_.push_back(demote_target{record_.target, report.term});
        open_record(target, report.term, now);
    }
}

// A term is adopted only if no other term can be later. Once a candidate has
// been recorded, its promotion may have taken effect or may still do so. Then
// only the candidate itself can be the primary of the latest term: other
// primaries are ignored while it is registered, and its promotion is ordered
// again once it answers.
bool group_failover::adopt_primary(const group_observation& observation,
                                   time_point now)
{
    const auto& candidate = record_.candidate;
    const bool awaits_candidate =
        !candidate.empty() && find_target(observation, candidate) != nullptr;
    const target_observation* latest = nullptr;
    std::uint64_t term = 0;
    for (const auto& target : observation.targets)
    {
        const auto found = reports_.find(target.record.id);
        if (found == reports_.end() || !found->second.report.is_primary ||
            found->second.report.term <= term ||
            (awaits_candidate && target.record.id != candidate))
            continue;
        const bool is_later_term = found->second.report.term > record_.term;
        // No promotion has been ordered, so the term cannot have ended and the
        // log of this target is complete.
        const bool is_same_term = found->second.report.term == record_.term &&
                                  candidate.empty() && !record_.is_planned &&
                                  !target.record.is_draining &&
                                  !must_evacuate(target, observation);
        if (!is_later_term && !is_same_term)
            continue;
        latest = &target;
        term = found->second.report.term;
    }
    if (latest == nullptr)
        return false;
    open_record(latest->record.id, term, now);
    return true;
}

const target_report*
group_failover::final_report(const std::string& target) const
{
    const auto found = reports_.find(target);
    if (found == reports_.end() || found->second.requested_at < binding_since_)
        return nullptr;
    const auto* registered = find_registered(target);
    const bool is_same_process =
        registered == nullptr ||
        registered->started_at == found->second.started_at;
    return is_same_process ? &found->second.report : nullptr;
}

void group_failover::choose_candidate(const group_observation& observation,
                                      time_point now)
{
    bool misses_reports = false;
    std::string best_id;
    std::tuple<bool, bool, log_position, bool> best_rank;
    log_position best_log_end;
    for (const auto& target : observation.targets)
    {
        const auto& id = target.record.id;
        if (id == record_.target)
            continue;
        const auto* report = final_report(id);
        if (report == nullptr)
        {
            misses_reports = misses_reports || !target.leader_failing_for;
            continue;
        }
        const auto refused = promotion_refused_at_.find(id);
        if (refused != promotion_refused_at_.end() &&
            now - refused->second < refusal_validity)
            continue;
        // An earlier order for this target may still take effect, so the order
        // is repeated instead of being given to another target.
        if (id == record_.candidate)
            return order_promotion(id, now);
        if (target.is_evacuated)
            continue;
        // This target's term may be superseded: the unreachable candidate may
        // be the primary of a later term.
        if (report->is_primary && !record_.candidate.empty())
            continue;
        if (report->is_primary && report->term < record_.term)
            continue;
        const auto log_end = report->received_position;
        const bool has_all = is_complete(log_end, observation);
        const bool is_staying = !target.record.is_draining;
        const std::tuple rank(has_all, has_all && is_staying, log_end,
                              is_staying);
        if (!best_id.empty() && rank <= best_rank)
            continue;
        best_id = id;
        best_rank = rank;
        best_log_end = log_end;
    }
    if (!has_read_enough_logs(now))
        return;
    if (best_id.empty() && !quorum_.is_synchronous())
        return;
    // The target with the longest log may be refused at the moment.
    const bool has_longest_log =
        !best_id.empty() && (!quorum_.is_synchronous() ||
                             best_log_end >= furthest_final_position());
    const bool is_best_complete = std::get<0>(best_rank);
    if (is_best_complete && has_longest_log)
    {
        if (!misses_reports || now - step_entered_at_ >= report_timeout)
            write_candidate(best_id, observation, now);
        return;
    }
    if (!incomplete_since_)
        incomplete_since_ = now;
    const auto waited = now - *incomplete_since_;
    if (waited >= catch_up_timeout && call_off_replacement(now))
        return;
    if (waited < complete_log_timeout || !has_longest_log ||
        (quorum_.is_synchronous() && answers_as_primary(now)))
        return;
    const auto known = known_position(observation);
    if (best_log_end < known)
        log_event(event_level::warning, "failover", "commits given up",
                  {{"group", group_},
                   {"target", best_id},
                   {"term", record_.term},
                   {"received", best_log_end.index},
                   {"known", known.index}});
    write_candidate(best_id, observation, now);
}

bool group_failover::has_read_enough_logs(time_point now)
{
    // The primary itself knows what it has acknowledged.
    auto missing = answers_as_primary(now)
                       ? std::vector<std::string>()
                       : quorum_.missing(registered_,
                                         [&](const std::string& id) {
                                             return id != record_.target &&
                                                    final_report(id) != nullptr;
                                         });
    if (now - step_entered_at_ >= report_timeout &&
        missing != awaited_replicas_)
    {
        awaited_replicas_ = missing;
        std::string names;
        for (const auto& id : missing)
            names += (names.empty() ? "" : ",") + id;
        log_event(event_level::warning, "failover",
                  missing.empty() ? "logs read" : "replicas awaited",
                  {{"group", group_},
                   {"replicas", names},
                   {"term", record_.term},
                   {"needed", quorum_.state().replicas.size() + 1 -
                                  std::min<std::size_t>(
                                      quorum_.state().replicas.size(),
                                      quorum_.state().synchronous_replicas)}});
    }
    return missing.empty();
}

log_position group_failover::furthest_final_position() const
{
    log_position furthest;
    for (const auto& [id, received] : reports_)
        if (const auto* report = final_report(id);
            report != nullptr && id != record_.target)
            furthest = std::max(furthest, report->received_position);
    return furthest;
}

log_position
group_failover::known_position(const group_observation& observation) const
{
    // A position of another term says nothing about this log.
    return observation.primary_position.term == record_.term
               ? std::max(furthest_position_, observation.primary_position)
               : furthest_position_;
}

bool group_failover::is_complete(log_position log_end,
                                 const group_observation& observation) const
{
    // The primary itself shows what is complete, unless it may have been
    // superseded.
    const bool needs_primary =
        record_.is_planned && record_.candidate.empty() &&
        find_target(observation, record_.target) != nullptr;
    return log_end >= known_position(observation) &&
           (!needs_primary || final_report(record_.target) != nullptr);
}

bool group_failover::call_off_replacement(time_point now)
{
    const auto found = reports_.find(record_.target);
    if (!record_.candidate.empty() || found == reports_.end() ||
        now - found->second.requested_at >= primary_report_validity ||
        !found->second.report.is_primary ||
        found->second.report.term != record_.term)
        return false;
    planned_retry_at_ = now + planned_retry_delay;
    open_record(record_.target, record_.term, now);
    return true;
}

// The candidate is written to the record before its promotion is ordered: it
// shows the next leader that the term may have ended.
void group_failover::write_candidate(const std::string& target,
                                     const group_observation& observation,
                                     time_point now)
{
    auto updated = record_;
    updated.candidate = target;
    updated.known_position = known_position(observation);
    write_record(updated, now);
}

void group_failover::request_report(const std::string& target, time_point now)
{
    auto& next = next_request_at_[target];
    if (now < next)
        return;
    next = now + request_interval;
    actions_.push_back(request_target_report{target});
}

void group_failover::order_promotion(const std::string& target, time_point now)
{
    candidate_ = target;
    reports_.erase(target);
    actions_.push_back(promote_target{target});
    enter_step(step::promoting, now);
}

void group_failover::on_promotion_result(const std::string& target,
                                         const result<bool>& outcome,
                                         time_point now)
{
    if (step_ != step::promoting || target != candidate_)
        return;
    const bool is_refused =
        !succeeded(outcome) && error_of(outcome).kind == error_kind::refused;
    if (is_refused || (!succeeded(outcome) &&
                       error_of(outcome).kind == error_kind::unreachable))
    {
        promotion_refused_at_[target] = now;
        reports_.clear();
        return enter_step(step::reporting, now);
    }
    // If the answer was lost, the target's next report shows whether the
    // promotion took effect.
    enter_step(step::verifying, now);
}

void group_failover::verify_promotion(time_point now)
{
    if (now - step_entered_at_ >= promotion_timeout)
    {
        reports_.clear();
        return enter_step(step::reporting, now);
    }
    request_report(candidate_, now);
}

std::uint64_t group_failover::highest_term() const
{
    std::uint64_t highest = 0;
    for (const auto& [id, received] : reports_)
        highest = std::max(highest, received.report.term);
    return highest;
}

} // namespace oleandergrade
