#include <oleandergrade/process/failover_coordinator.hpp>

#include <oleandergrade/invariant.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace oleandergrade
{

namespace
{

constexpr auto probe_interval = milliseconds(100);
/// A status older than this says nothing about the present.
constexpr auto status_lifetime = milliseconds(350);
/// Silence of the primary that raises a suspicion.
constexpr auto silence_limit = milliseconds(300);
/// The same where this VM still reaches the primary itself.
constexpr auto reachable_silence_limit = milliseconds(2000);
constexpr unsigned failures_for_suspicion = 2;
/// Added to the delay before acting for each place in the ranking.
constexpr auto rank_delay = milliseconds(150);
/// A promotion that takes longer is taken over by another coordinator.
constexpr auto takeover_delay = milliseconds(2000);
constexpr auto step_retry_interval = milliseconds(100);
/// How long the furthest server may take to answer after a majority has.
constexpr auto fence_grace = milliseconds(20);
constexpr auto fence_limit = milliseconds(1500);
constexpr auto promote_limit = milliseconds(1000);
constexpr auto call_limit = milliseconds(3000);
/// An outcome that is not recorded after this time is recorded by others.
constexpr auto record_limit = milliseconds(1500);
constexpr auto read_interval = milliseconds(300);
constexpr auto follow_interval = milliseconds(200);
/// A gap between ticks that shows that this process was paused.
constexpr auto pause_limit = milliseconds(500);

} // namespace

failover_coordinator::failover_coordinator(std::string database,
                                           std::string self)
    : database_(std::move(database)), self_(std::move(self))
{
    record_.database = database_;
}

void failover_coordinator::use_members(const std::vector<target>& members)
{
    std::map<std::string, member> kept;
    for (const auto& declared : members)
    {
        auto& entry = kept[declared.name];
        if (const auto known = members_.find(declared.name);
            known != members_.end() &&
            known->second.declared.address == declared.address)
            entry = known->second;
        entry.declared = declared;
    }
    members_ = std::move(kept);
}

void failover_coordinator::use_announcement(const group_record& record,
                                            time_point now)
{
    if (!record.supersedes(record_))
        return;
    if (record.term > record_.term)
        revision_.reset();
    learn(record, now);
}

std::vector<failover_action> failover_coordinator::tick(time_point now)
{
    notice_pause(now);
    probe_members(now);
    const auto in_phase = now - phase_since_;
    switch (phase_)
    {
    case phase::watching:
        watch(now);
        break;
    case phase::reading:
    case phase::claiming:
    case phase::verifying_claim:
    case phase::verifying_record:
        if (in_phase > call_limit)
            abandon(now);
        break;
    case phase::fencing:
        if (in_phase > fence_limit)
        {
            abandon(now);
            break;
        }
        if (now >= next_step_)
            fence_members(now);
        promote_if_fenced(now);
        break;
    case phase::promoting:
        if (in_phase > promote_limit)
        {
            abandon(now);
            break;
        }
        if (now < next_step_)
            break;
        next_step_ = now + step_retry_interval;
        actions_.push_back(promote_action{candidate_, claimed_term_});
        break;
    case phase::recording:
        if (in_phase > call_limit)
            record_outcome(now);
        break;
    }
    return take_actions();
}

std::vector<failover_action>
failover_coordinator::on_probe(const std::string& target,
                               const result<target_status>& outcome,
                               time_point now)
{
    const auto found = members_.find(target);
    if (found == members_.end())
        return {};
    auto& entry = found->second;
    entry.probing = false;
    if (!succeeded(outcome))
    {
        ++entry.failures;
        return {};
    }
    entry.failures = 0;
    entry.status = value_of(outcome);
    entry.answered_at = now;
    return take_actions();
}

std::vector<failover_action>
failover_coordinator::on_record(std::uint64_t attempt,
                                const result<platform_value>& outcome,
                                time_point now)
{
    const auto reading = phase_;
    if (attempt != attempt_)
        return {};
    if (reading != phase::reading && reading != phase::verifying_claim &&
        reading != phase::verifying_record)
        return {};
    if (!succeeded(outcome))
    {
        abandon(now);
        return {};
    }
    const auto& found = value_of(outcome);
    revision_ = found.revision;
    group_record stored;
    stored.database = database_;
    if (found.revision != 0)
    {
        const auto parsed = parse_group_record(database_, found.value);
        if (succeeded(parsed))
            stored = value_of(parsed);
    }
    const bool is_own =
        stored.coordinator == self_ && stored.term == claimed_term_;
    if (reading == phase::verifying_claim && is_own && !stored.steady)
    {
        learn(stored, now);
        fence_members(now);
        enter(phase::fencing, now);
        return take_actions();
    }
    if (reading == phase::verifying_record && is_own && !stored.steady)
    {
        record_outcome(now);
        return take_actions();
    }
    enter(phase::watching, now);
    if (record_.steady && stored.term == record_.term && !stored.steady)
    {
        finish_record(now);
        return take_actions();
    }
    if (stored.supersedes(record_))
    {
        learn(stored, now);
        if (stored.steady)
            actions_.push_back(announce_action{stored});
    }
    watch(now);
    return take_actions();
}

std::vector<failover_action> failover_coordinator::on_swapped(
    std::uint64_t attempt, const result<std::uint64_t>& outcome, time_point now)
{
    const bool claims = phase_ == phase::claiming;
    if (attempt != attempt_ || (!claims && phase_ != phase::recording))
        return {};
    if (succeeded(outcome))
    {
        revision_ = value_of(outcome);
        if (!claims)
        {
            enter(phase::watching, now);
            learn_outcome(now);
            return take_actions();
        }
        learn({database_, claimed_term_, "", false, self_}, now);
        fence_members(now);
        enter(phase::fencing, now);
        return take_actions();
    }
    revision_.reset();
    if (error_of(outcome).kind == error_kind::conflict)
        enter(phase::reading, now);
    else
        enter(claims ? phase::verifying_claim : phase::verifying_record, now);
    read_record();
    return take_actions();
}

std::vector<failover_action>
failover_coordinator::on_fenced(const std::string& target,
                                const result<target_status>& outcome,
                                time_point now)
{
    const auto found = members_.find(target);
    if (phase_ != phase::fencing || found == members_.end() ||
        !succeeded(outcome))
        return {};
    const auto& status = value_of(outcome);
    if (status.term > claimed_term_)
    {
        abandon(now);
        return {};
    }
    if (!status.granted || status.term != claimed_term_)
        return {};
    auto& entry = found->second;
    entry.fenced = status;
    promote_if_fenced(now);
    return take_actions();
}

std::vector<failover_action>
failover_coordinator::on_promoted(const std::string& target,
                                  const result<target_status>& outcome,
                                  time_point now)
{
    if (phase_ != phase::promoting || target != candidate_ ||
        !succeeded(outcome))
        return {};
    const auto& status = value_of(outcome);
    if (!status.granted || status.term != claimed_term_)
    {
        abandon(now);
        return {};
    }
    auto& entry = members_.at(target);
    entry.status = status;
    entry.answered_at = now;
    learn_outcome(now);
    for (const auto& [name, other] : members_)
        if (name != candidate_)
            actions_.push_back(follow_action{name, claimed_term_, candidate_});
    record_outcome(now);
    return take_actions();
}

const char* failover_coordinator::phase_name() const
{
    switch (phase_)
    {
    case phase::watching:
        return "watching";
    case phase::reading:
        return "reading";
    case phase::claiming:
        return "claiming";
    case phase::verifying_claim:
        return "verifying claim";
    case phase::fencing:
        return "fencing";
    case phase::promoting:
        return "promoting";
    case phase::recording:
        return "recording";
    case phase::verifying_record:
        return "verifying record";
    }
    return "unknown";
}

void failover_coordinator::enter(phase next, time_point now)
{
    phase_ = next;
    phase_since_ = now;
    next_step_ = now + step_retry_interval;
}

void failover_coordinator::read_record()
{
    actions_.push_back(read_record_action{++attempt_});
}

void failover_coordinator::swap_record(std::uint64_t expected,
                                       const group_record& record)
{
    actions_.push_back(swap_record_action{++attempt_, expected, record});
}

// Gives up the term that was claimed. A later attempt claims a higher one, so
// that no term ever gets a second candidate.
void failover_coordinator::abandon(time_point now)
{
    revision_.reset();
    suspected_since_.reset();
    enter(phase::watching, now);
}

// A process that was paused knows nothing of the present: what it holds
// against the primary may be its own silence.
void failover_coordinator::notice_pause(time_point now)
{
    const bool was_paused =
        last_tick_ != time_point{} && now - last_tick_ > pause_limit;
    last_tick_ = now;
    if (!was_paused)
        return;
    for (auto& [name, entry] : members_)
    {
        entry.failures = 0;
        entry.answered_at = now;
        entry.status.reset();
    }
    record_seen_at_ = now;
    if (phase_ != phase::recording && phase_ != phase::verifying_record)
        abandon(now);
}

void failover_coordinator::learn(const group_record& record, time_point now)
{
    check_invariant(record.term != record_.term || !record_.steady ||
                        !record.steady || record.primary == record_.primary,
                    "a term has one primary",
                    database_ + " term " + std::to_string(record.term));
    if (!record.supersedes(record_))
        return;
    record_ = record;
    record_seen_at_ = now;
    suspected_since_.reset();
    const bool is_overtaken =
        record.term > claimed_term_ && phase_ != phase::watching;
    if (is_overtaken)
        abandon(now);
}

// Adopts and announces the record that this coordinator has decided.
void failover_coordinator::learn_outcome(time_point now)
{
    const group_record outcome{database_, claimed_term_, candidate_, true,
                               self_};
    if (!outcome.supersedes(record_))
        return;
    learn(outcome, now);
    actions_.push_back(announce_action{outcome});
}

void failover_coordinator::probe_members(time_point now)
{
    for (auto& [name, entry] : members_)
    {
        if (entry.probing || now < entry.next_probe)
            continue;
        entry.probing = true;
        entry.next_probe = now + probe_interval;
        actions_.push_back(probe_action{name});
    }
}

void failover_coordinator::watch(time_point now)
{
    const bool must_read =
        record_.term == 0 || highest_term() > record_.term || !revision_;
    if (must_read && now >= next_read_)
    {
        const bool was_absent = revision_ && *revision_ == 0;
        if (record_.term == 0 && was_absent)
        {
            create_first_record(now);
            if (phase_ != phase::watching)
                return;
        }
        next_read_ = now + read_interval;
        enter(phase::reading, now);
        read_record();
        return;
    }
    if (record_.term == 0)
        return;
    if (record_.steady)
        reconcile(now);
    if (!has_grounds_to_promote(now))
    {
        suspected_since_.reset();
        return;
    }
    if (!suspected_since_)
        suspected_since_ = now;
    if (now - *suspected_since_ >= rank_delay * rank_ && revision_)
        claim(now);
}

// Leads servers that missed a promotion back to the recorded primary.
void failover_coordinator::reconcile(time_point now)
{
    const auto* primary = find_declared(record_.primary);
    if (primary == nullptr)
        return;
    for (auto& [name, entry] : members_)
    {
        if (name == record_.primary || !is_fresh(entry, now) ||
            now < entry.next_follow)
            continue;
        const auto& status = *entry.status;
        check_invariant(!status.primary || status.term != record_.term,
                        "one primary in a term", name);
        const bool is_astray = status.term < record_.term ||
                               (status.term == record_.term &&
                                status.following != primary->address);
        if (!is_astray)
            continue;
        entry.next_follow = now + follow_interval;
        actions_.push_back(follow_action{name, record_.term, primary->name});
    }
}

bool failover_coordinator::has_grounds_to_promote(time_point now) const
{
    if (!record_.steady)
        return now - record_seen_at_ > takeover_delay;
    const auto primary = members_.find(record_.primary);
    if (primary == members_.end())
        return true;
    return primary_is_lost(primary->second, now);
}

bool failover_coordinator::primary_is_lost(const member& primary,
                                           time_point now) const
{
    if (is_fresh(primary, now))
    {
        const auto& status = *primary.status;
        if (status.term == record_.term && !status.primary)
            return true;
        if (primary.declared.leaving)
            return members_without_primary(duration::min(), now) >= majority();
        return members_without_primary(reachable_silence_limit, now) >=
               majority();
    }
    return primary.failures >= failures_for_suspicion &&
           now - primary.answered_at > silence_limit &&
           members_without_primary(silence_limit, now) >= majority();
}

// Counts the other members that answer and have not heard from the primary
// for the given time.
std::size_t failover_coordinator::members_without_primary(duration silence,
                                                          time_point now) const
{
    std::size_t count = 0;
    for (const auto& [name, entry] : members_)
    {
        if (name == record_.primary || !is_fresh(entry, now))
            continue;
        const auto& age = entry.status->primary_contact_age;
        if (!age || *age > silence)
            ++count;
    }
    return count;
}

bool failover_coordinator::is_fresh(const member& entry, time_point now) const
{
    return entry.status && now - entry.answered_at <= status_lifetime;
}

// Adopts the primary that the servers have from their first set-up.
void failover_coordinator::create_first_record(time_point now)
{
    std::size_t same_term = 0;
    const auto term = highest_term();
    std::string primary;
    for (const auto& [name, entry] : members_)
    {
        if (!is_fresh(entry, now) || entry.status->term != term)
            continue;
        ++same_term;
        if (entry.status->primary)
            primary = name;
    }
    if (term == 0 || same_term < majority() || primary.empty())
        return;
    group_record first{database_, term, primary, true, self_};
    claimed_term_ = term;
    candidate_ = primary;
    swap_record(0, first);
    enter(phase::recording, now);
}

void failover_coordinator::claim(time_point now)
{
    claimed_term_ = std::max(record_.term, highest_term()) + 1;
    candidate_.clear();
    for (auto& [name, entry] : members_)
        entry.fenced.reset();
    swap_record(*revision_, {database_, claimed_term_, "", false, self_});
    enter(phase::claiming, now);
}

void failover_coordinator::fence_members(time_point now)
{
    next_step_ = now + step_retry_interval;
    for (const auto& [name, entry] : members_)
        if (!entry.fenced)
            actions_.push_back(fence_action{name, claimed_term_});
}

void failover_coordinator::promote_if_fenced(time_point now)
{
    std::size_t fenced = 0;
    std::size_t staying = 0;
    for (const auto& [name, entry] : members_)
    {
        fenced += entry.fenced ? 1 : 0;
        staying += entry.fenced && !entry.declared.leaving ? 1 : 0;
    }
    const bool all_answered = fenced == members_.size();
    if (fenced < majority() ||
        (!all_answered && now - phase_since_ < fence_grace))
        return;
    // Any fenced majority holds all confirmed writes, so leaving servers can
    // be passed over if the others are a majority by themselves.
    const bool skip_leaving = staying >= majority();
    const member* best = nullptr;
    for (const auto& [name, entry] : members_)
    {
        if (!entry.fenced || (skip_leaving && entry.declared.leaving))
            continue;
        const auto& status = *entry.fenced;
        if (best == nullptr ||
            std::tie(status.last_log_term, status.position) >
                std::tie(best->fenced->last_log_term, best->fenced->position))
            best = &entry;
    }
    candidate_ = best->declared.name;
    enter(phase::promoting, now);
    actions_.push_back(promote_action{candidate_, claimed_term_});
}

void failover_coordinator::record_outcome(time_point now)
{
    group_record outcome{database_, claimed_term_, candidate_, true, self_};
    if (!revision_)
    {
        enter(phase::verifying_record, now);
        read_record();
        return;
    }
    swap_record(*revision_, outcome);
    enter(phase::recording, now);
}

// Records an outcome that was announced but that its coordinator could not
// record. Leaves that coordinator some time to do so itself.
void failover_coordinator::finish_record(time_point now)
{
    if (now - record_seen_at_ < record_limit)
    {
        revision_.reset();
        return;
    }
    claimed_term_ = record_.term;
    candidate_ = record_.primary;
    record_outcome(now);
}

std::uint64_t failover_coordinator::highest_term() const
{
    std::uint64_t highest = 0;
    for (const auto& [name, entry] : members_)
        if (entry.status)
            highest = std::max(highest, entry.status->term);
    return highest;
}

const target* failover_coordinator::find_declared(const std::string& name) const
{
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second.declared;
}

std::vector<failover_action> failover_coordinator::take_actions()
{
    return std::exchange(actions_, {});
}

} // namespace oleandergrade
