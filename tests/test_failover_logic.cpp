/// Tests of primary authority, grants, the leader election and the replacement
/// of primaries.
#include <oleandergrade/process/failover/grant_ledger.hpp>
#include <oleandergrade/process/failover/group_failover.hpp>
#include <oleandergrade/process/failover/primary_authority.hpp>
#include <oleandergrade/process/failover/primary_outlook.hpp>
#include <oleandergrade/process/failover/vm_contacts.hpp>
#include <oleandergrade/process/membership/duty_election.hpp>

#include <criterion/criterion.h>

using namespace oleandergrade;

namespace
{

constexpr time_point start{seconds(1000)};

primary_record record_of(std::uint64_t term, const char* target, bool is_open,
                         std::uint64_t revision)
{
    primary_record record;
    record.group = "g";
    record.term = term;
    record.target = target;
    record.is_open = is_open;
    record.revision = revision;
    return record;
}

target_sight sight_of(const char* id, bool claims_primary = false)
{
    target_sight sight;
    sight.record.id = id;
    sight.record.group = "g";
    sight.record.claims_primary = claims_primary;
    return sight;
}

target_report report_of(bool is_primary, std::uint64_t term,
                        std::uint64_t position)
{
    return {is_primary, term, {term, position}, 0, 0};
}

template <typename Action>
const Action* find(const std::vector<group_action>& actions)
{
    for (const auto& action : actions)
        if (const auto* found = std::get_if<Action>(&action))
            return found;
    return nullptr;
}

/// A group of three targets whose primary "p" is recorded with term 1.
struct group_fixture
{
    group_fixture()
    {
        failover.on_record(record_of(1, "p", true, 10));
        sight.targets = {sight_of("p", true), sight_of("r1"), sight_of("r2")};
        sight.vms_in_touch = 5;
    }

    std::vector<group_action> tick(milliseconds after = milliseconds(50))
    {
        now += after;
        return failover.tick(sight, now);
    }

    /// Makes the leader and three of five other VMs fail to reach the primary.
    void lose_primary()
    {
        sight.targets[0].holder_fails = milliseconds(500);
        sight.targets[0].vms_failing = 3;
    }

    /// Loses the primary and advances until the closed record is written.
    void close()
    {
        lose_primary();
        const auto actions = tick();
        const auto* write = find<write_primary_record>(actions);
        cr_assert(write != nullptr);
        cr_assert(!write->record.is_open);
        cr_assert(write->expected == 10);
        failover.on_written(std::uint64_t(11), now);
    }

    group_failover failover{"g"};
    group_sight sight;
    time_point now = start;
};

} // namespace

Test(failover_logic, a_primary_is_replaced_step_by_step)
{
    group_fixture group;
    group.close();
    cr_assert(find<announce_primary>(group.tick()) != nullptr);
    group.failover.on_report("r1", report_of(false, 1, 40), group.now);
    group.failover.on_report("r2", report_of(false, 1, 42), group.now);
    // No candidate is recorded before the closed record is binding for all VMs.
    for (int i = 0; i < 50; ++i)
        cr_assert(find<write_primary_record>(group.tick()) == nullptr);
    group.sight.is_binding = true;
    group.tick();
    const auto named = group.tick();
    cr_assert(find<promote_target>(named) == nullptr);
    cr_assert(find<write_primary_record>(named)->record.candidate == "r2");
    group.failover.on_written(std::uint64_t(12), group.now);
    cr_assert(find<promote_target>(group.tick())->target == "r2");
    group.failover.on_promoted("r2", true, group.now);
    group.tick();
    group.failover.on_report("r2", report_of(false, 1, 42), group.now);
    cr_assert(find<write_primary_record>(group.tick()) == nullptr);
    group.failover.on_report("r2", report_of(true, 2, 42), group.now);
    const auto opened = group.tick();
    cr_assert(find<demote_target>(opened)->target == "p");
    const auto* write = find<write_primary_record>(opened);
    cr_assert(write->record.is_open && write->record.term == 2);
    cr_assert(write->record.target == "r2");
}

// A crashed primary returned with its complete log under a new identifier, but
// its term was never opened again.
Test(failover_logic, a_primary_that_is_back_goes_on_with_its_term)
{
    group_fixture group;
    group.close();
    group.tick();
    group.sight.targets.push_back(sight_of("p2", true));
    group.failover.on_report("p2", report_of(true, 1, 42), group.now);
    const auto* write = find<write_primary_record>(group.tick());
    cr_assert(write != nullptr);
    cr_assert(write->record.is_open && write->record.term == 1);
    cr_assert(write->record.target == "p2");
}

Test(failover_logic, a_term_does_not_go_on_once_a_promotion_was_ordered)
{
    group_fixture group;
    auto named = record_of(1, "p", false, 12);
    named.candidate = "r1";
    group.failover.on_record(named);
    group.lose_primary();
    group.tick();
    group.failover.on_report("p", report_of(true, 1, 42), group.now);
    group.failover.on_report("r1", report_of(false, 1, 40), group.now);
    group.failover.on_report("r2", report_of(false, 1, 41), group.now);
    group.sight.is_binding = true;
    group.tick();
    // A previous leader may have ordered this promotion, so it is repeated.
    const auto actions = group.tick();
    cr_assert(find<write_primary_record>(actions) == nullptr);
    cr_assert(find<promote_target>(actions)->target == "r1");
}

Test(failover_logic, a_later_primary_is_recorded_without_an_order)
{
    group_fixture group;
    group.close();
    group.tick();
    group.failover.on_report("r1", report_of(true, 2, 40), group.now);
    const auto* write = find<write_primary_record>(group.tick());
    cr_assert(write->record.is_open && write->record.term == 2);
}

// Found by seed 27 of the isolation scenarios in test_fleet_seeds: the first
// candidate was the primary of term 2 in an isolated failure domain and the
// second candidate was the primary of term 3, but the leader adopted term 2 as
// the newest. Writes acknowledged in term 2 were lost.
Test(failover_logic, another_primary_than_the_candidate_is_not_adopted)
{
    group_fixture group;
    auto named = record_of(1, "p", false, 12);
    named.candidate = "r2";
    group.failover.on_record(named);
    group.lose_primary();
    group.tick();
    group.failover.on_report("r1", report_of(true, 2, 40), group.now);
    group.failover.on_report("r2", report_of(false, 3, 40), group.now);
    group.sight.is_binding = true;
    group.tick();
    const auto actions = group.tick();
    cr_assert(find<write_primary_record>(actions) == nullptr);
    cr_assert(find<promote_target>(actions)->target == "r2");
}

Test(failover_logic, a_superseded_primary_is_not_named_again)
{
    group_fixture group;
    auto named = record_of(1, "p", false, 12);
    named.candidate = "r2";
    group.failover.on_record(named);
    group.lose_primary();
    group.sight.targets.push_back(sight_of("r3"));
    group.sight.is_binding = true;
    group.tick();
    group.failover.on_report("r1", report_of(true, 2, 44), group.now);
    group.failover.on_report("r3", report_of(false, 2, 41), group.now);
    group.tick();
    // The unreachable candidate may be the primary of a later term.
    const auto actions =
        group.tick(group_failover::report_time + milliseconds(10));
    cr_assert(find<write_primary_record>(actions)->record.candidate == "r3");
}

Test(failover_logic, of_two_primaries_the_later_one_is_adopted)
{
    group_fixture group;
    group.close();
    group.tick();
    group.failover.on_report("r1", report_of(true, 2, 40), group.now);
    group.failover.on_report("r2", report_of(true, 3, 38), group.now);
    const auto* write = find<write_primary_record>(group.tick());
    cr_assert(write->record.target == "r2" && write->record.term == 3);
}

Test(failover_logic, a_planned_successor_first_catches_up)
{
    group_fixture group;
    group.sight.targets[0].record.is_draining = true;
    const auto* write = find<write_primary_record>(group.tick());
    cr_assert(write->record.is_planned);
    group.failover.on_written(std::uint64_t(11), group.now);
    group.sight.is_binding = true;
    group.tick();
    group.failover.on_report("p", report_of(true, 1, 50), group.now);
    group.failover.on_report("r1", report_of(false, 1, 48), group.now);
    group.failover.on_report("r2", report_of(false, 1, 47), group.now);
    group.tick();
    group.tick();
    group.failover.on_report("p", report_of(true, 1, 50), group.now);
    group.failover.on_report("r1", report_of(false, 1, 49), group.now);
    cr_assert(find<write_primary_record>(group.tick()) == nullptr);
    group.failover.on_report("r1", report_of(false, 1, 50), group.now);
    cr_assert(find<write_primary_record>(group.tick())->record.candidate ==
              "r1");
}

// Registrations lag behind promotions. Closing the record whenever the two
// differ would repeatedly leave the outcome of writes unknown.
Test(failover_logic, a_stale_registration_closes_no_record)
{
    group_fixture group;
    group.failover.on_record(record_of(2, "r1", true, 20));
    bool asked = false;
    for (int i = 0; i < 20; ++i)
    {
        const auto actions = group.tick();
        cr_assert(find<write_primary_record>(actions) == nullptr);
        if (const auto* ask = find<ask_target>(actions))
        {
            asked = true;
            cr_assert(ask->target == "p");
            group.failover.on_report("p", report_of(true, 1, 42), group.now);
        }
    }
    cr_assert(asked);
    // A primary that reports a later term makes the leader close the record.
    group.failover.on_report("p", report_of(true, 3, 42), group.now);
    cr_assert(find<write_primary_record>(group.tick()) != nullptr);
}

Test(failover_logic, one_vm_that_cannot_reach_a_primary_replaces_nothing)
{
    group_fixture group;
    group.sight.targets[0].vms_failing = 1;
    for (int i = 0; i < 100; ++i)
        cr_assert(group.tick().empty());
    group.sight.targets[0].vms_failing = 0;
    group.sight.targets[0].holder_fails = milliseconds(900);
    cr_assert(group.tick().empty());
    group.sight.targets[0].holder_fails = milliseconds(1600);
    cr_assert(find<write_primary_record>(group.tick()) != nullptr);
}

Test(failover_logic, a_record_that_was_not_written_is_tried_again)
{
    group_fixture group;
    group.lose_primary();
    cr_assert(find<write_primary_record>(group.tick()) != nullptr);
    group.failover.on_written(
        error{error_kind::timeout, "write", "store", "no answer"}, group.now);
    cr_assert(find<write_primary_record>(group.tick()) != nullptr);
}

Test(failover_logic, replicas_of_synchronous_groups_are_fenced)
{
    group_fixture group;
    group.sight.synchronous_replicas = 1;
    group.close();
    const auto actions = group.tick();
    const auto* fence = find<fence_target>(actions);
    cr_assert(fence != nullptr && fence->term == 2 && fence->target != "p");
}

Test(failover_logic, primaries_are_used_under_grant_and_open_record_only)
{
    primary_authority authority;
    cr_assert(authority.on_record(record_of(1, "p", true, 10)));
    cr_assert(authority.usable("g", start) == nullptr);
    authority.on_grant(5, start, milliseconds(1000));
    cr_assert(authority.usable("g", start)->target == "p");
    cr_assert(authority.usable("g", start + milliseconds(1000)) == nullptr);
    // Grants of a leader that has been succeeded are ignored.
    cr_assert(authority.on_token(6));
    authority.on_grant(5, start + milliseconds(900), milliseconds(1000));
    cr_assert(authority.usable("g", start + milliseconds(1000)) == nullptr);
    authority.on_grant(6, start, milliseconds(5000));
    cr_assert(!authority.on_record(record_of(1, "p", true, 9)));
    cr_assert(authority.on_record(record_of(1, "p", false, 11)));
    cr_assert(authority.usable("g", start) == nullptr);
    cr_assert(!authority.still_holds("g", 10, start));
}

Test(failover_logic, statements_under_way_may_end_when_it_is_planned)
{
    primary_authority authority;
    authority.on_grant(5, start, milliseconds(1000));
    authority.on_record(record_of(1, "p", true, 10));
    auto closed = record_of(1, "p", false, 11);
    closed.is_planned = true;
    authority.on_record(closed);
    cr_assert(authority.usable("g", start) == nullptr);
    cr_assert(authority.still_holds("g", 10, start));
    authority.confirm_closed("g");
    cr_assert(!authority.still_holds("g", 10, start));
}

Test(failover_logic, a_holder_waits_for_what_it_may_have_granted)
{
    grant_ledger ledger;
    ledger.take_over(start - seconds(2), start);
    ledger.use_members({"a", "b", "c", "d", "me"});
    const auto unknown = start + grant_ledger::grant_without_store +
                         grant_ledger::grant_validity;
    cr_assert(ledger.bound_of("a") == unknown);
    // Two VMs and this one are at least half of five members, so no previous
    // leader can reach a majority any more.
    const auto age = milliseconds(300);
    ledger.on_contact("a", 1, age, start);
    cr_assert(ledger.bound_of("d") == unknown);
    ledger.on_contact("b", 1, age, start);
    // Grants issued without the store now end a fixed time after the last grant
    // that these members received from a previous leader.
    cr_assert(ledger.bound_of("d") ==
              start - age + grant_ledger::grant_validity);
    const auto later = start + seconds(20);
    ledger.on_granted("a", grant_ledger::grant_validity, later);
    cr_assert(ledger.bound_of("a") == later + grant_ledger::grant_validity);
    // A restarted process holds no grant.
    ledger.on_contact("a", 2, age, later);
    cr_assert(ledger.bound_of("a") <= later);
}

// A network partition left three of six VMs on either side, and a primary was
// not replaced for eight seconds.
Test(failover_logic, half_of_the_members_keep_other_holders_from_granting)
{
    grant_ledger ledger;
    ledger.take_over(start - seconds(2), start);
    ledger.use_members({"a", "b", "c", "d", "e", "me"});
    // A previous leader that half of the members have not heard from for long
    // cannot have issued grants without the store since the election.
    ledger.on_contact("a", 1, seconds(2), start);
    ledger.on_contact("b", 1, seconds(2), start);
    cr_assert(ledger.bound_of("e") == start + grant_ledger::grant_past_lease);
}

// A failure domain was isolated together with the leader. The leader continued
// to issue grants for 0.8 s, which were valid for another 1.5 s, so that for
// groups whose primary was isolated the promotion began only after 2.6 s.
Test(failover_logic, grants_end_with_what_they_rest_on)
{
    duty_election duty({"me", 1, "address"});
    duty.on_seen({"key", "", 0}, 5, start);
    cr_assert(duty.due(start) == duty_call::create_lease);
    duty.on_lease_created(store_lease{7, duty_election::lease_lifetime}, start,
                          start);
    cr_assert(duty.due(start) == duty_call::acquire);
    duty.on_acquired(std::uint64_t(9), start);
    const auto validity_at = [&](milliseconds after, milliseconds answered) {
        return grant_ledger::validity(duty, 9, start + answered, start + after);
    };
    const milliseconds never{-5000};
    cr_assert(validity_at(milliseconds(0), never) ==
              grant_ledger::grant_validity);
    // Justified by the lease alone.
    cr_assert(validity_at(milliseconds(500), never) == milliseconds(1000));
    cr_assert(validity_at(milliseconds(900), never) == milliseconds(0));
    // Without a valid lease, as long as a majority of the members answers.
    cr_assert(validity_at(milliseconds(900), milliseconds(700)) ==
              milliseconds(1300));
    cr_assert(validity_at(milliseconds(1600), milliseconds(700)) ==
              milliseconds(0));
    cr_assert(validity_at(milliseconds(6100), milliseconds(6000)) ==
              milliseconds(0));
    // No grants are issued once a higher token has been observed.
    cr_assert(grant_ledger::validity(duty, 10, start, start) ==
              milliseconds(0));
}

Test(failover_logic, most_members_count_with_the_holder_itself)
{
    vm_contacts contacts;
    const auto report = [&](const char* vm, milliseconds echo)
    {
        fleet_report sent;
        sent.vm = vm;
        sent.echo = static_cast<std::uint64_t>(
            std::chrono::nanoseconds((start + echo).time_since_epoch())
                .count());
        contacts.on_report(sent, start + milliseconds(500));
    };
    const auto now = start + milliseconds(500);
    cr_assert(contacts.most_answered(1, now) == now);
    cr_assert(contacts.most_answered(3, now) == time_point());
    report("a", milliseconds(100));
    report("b", milliseconds(300));
    cr_assert(contacts.most_answered(3, now) == start + milliseconds(300));
    cr_assert(contacts.most_answered(5, now) == start + milliseconds(100));
    cr_assert(contacts.most_answered(6, now) == time_point());
}

Test(failover_logic, callers_are_told_how_long_a_replacement_takes)
{
    primary_outlook outlook;
    cr_assert(outlook.expected_wait("g", start).count() == 0);
    outlook.on_record(record_of(1, "p", true, 10), start);
    outlook.on_failing("g", true, start);
    const auto detecting = outlook.expected_wait("g", start);
    cr_assert(detecting ==
              primary_outlook::detection_time + primary_outlook::first_guess);
    outlook.on_record(record_of(1, "p", false, 11), start + milliseconds(400));
    outlook.on_record(record_of(2, "r", true, 12), start + milliseconds(700));
    cr_assert(outlook.expected_wait("g", start + milliseconds(700)).count() ==
              0);
    // The shorter replacement lowers the expected duration of the next one.
    outlook.on_record(record_of(2, "r", false, 13), start + seconds(5));
    cr_assert(outlook.expected_wait("g", start + seconds(5)) ==
              (primary_outlook::first_guess + milliseconds(300)) / 2);
}

namespace
{

const duty_holder self{"a", 7, "127.0.0.1:1"};

/// An election that has observed that there is no leader.
duty_election free_duty()
{
    duty_election duty(self);
    duty.on_seen({"k", "", 0}, 5, start);
    return duty;
}

} // namespace

Test(failover_logic, a_free_duty_is_taken_with_a_lease)
{
    auto duty = free_duty();
    cr_assert(duty.due(start) == duty_call::create_lease);
    cr_assert(duty.due(start) == duty_call::none);
    duty.on_lease_created(store_lease{44, milliseconds(1000)}, start, start);
    cr_assert(duty.due(start) == duty_call::acquire);
    duty.on_acquired(std::uint64_t(9), start);
    cr_assert(duty.holds(start) && duty.token() == 9);
    cr_assert(!duty.holds(start + milliseconds(1000)));
    const auto later = start + duty_election::renewal_interval;
    cr_assert(duty.due(later) == duty_call::renew);
    duty.on_renewed(true, later, later + milliseconds(5));
    cr_assert(duty.holds(later + milliseconds(700)));
}

Test(failover_logic, an_acquisition_without_an_answer_is_looked_up)
{
    auto duty = free_duty();
    duty.due(start);
    duty.on_lease_created(store_lease{44, milliseconds(1000)}, start, start);
    duty.due(start);
    duty.on_acquired(error{error_kind::timeout, "write", "", ""}, start);
    const auto later = start + duty_election::retry_delay;
    cr_assert(duty.due(later) == duty_call::read);
    duty.on_read(stored_item{"k", serialize_duty_holder(self), 9}, later);
    cr_assert(duty.token() == 9);
}

Test(failover_logic, a_watch_that_repeats_the_past_takes_no_duty_away)
{
    auto duty = free_duty();
    duty.due(start);
    duty.on_lease_created(store_lease{44, milliseconds(1000)}, start, start);
    duty.due(start);
    duty.on_acquired(std::uint64_t(9), start);
    duty.on_seen({"k", "", 0}, 8, start);
    cr_assert(duty.is_holder());
    duty.on_seen({"k", "", 0}, 10, start);
    cr_assert(!duty.is_holder());
}

Test(failover_logic, a_duty_whose_lease_has_ended_is_lost)
{
    auto duty = free_duty();
    duty.due(start);
    duty.on_lease_created(store_lease{44, milliseconds(1000)}, start, start);
    duty.due(start);
    duty.on_acquired(std::uint64_t(9), start);
    const auto later = start + seconds(1);
    duty.due(later);
    duty.on_renewed(error{error_kind::refused, "renew", "", ""}, later, later);
    cr_assert(duty.is_holder());
    const auto last = later + seconds(1);
    duty.due(last);
    duty.on_renewed(error{error_kind::conflict, "renew", "", ""}, last, last);
    cr_assert(!duty.is_holder());
}

// The store became unreachable from the leader, and another VM was elected. The
// first leader did not follow the new one and had no grant for 5 s.
Test(failover_logic, a_holder_yields_to_a_higher_token)
{
    auto duty = free_duty();
    duty.due(start);
    duty.on_lease_created(store_lease{44, milliseconds(1000)}, start, start);
    duty.due(start);
    duty.on_acquired(std::uint64_t(9), start);
    duty.on_token(9);
    cr_assert(duty.is_holder());
    duty.on_token(12);
    cr_assert(!duty.is_holder());
    cr_assert(duty.due(start + seconds(5)) == duty_call::none);
}

Test(failover_logic, a_vm_that_retires_takes_no_duty)
{
    auto duty = free_duty();
    duty.retire();
    cr_assert(duty.due(start + seconds(1)) == duty_call::none);
}
