/// Runs the fleet simulation with many seeds and different kinds of faults, and
/// with injected defects that its checks must detect. The environment variable
/// OLEANDER_SEEDS sets the number of seeds of each test without a defect,
/// OLEANDER_SEED the first seed of every test that uses `run_seeds`.
#include "fakes/fleet_world.hpp"

#include <oleandergrade/invariant.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace fakes;

namespace
{

constexpr std::uint64_t default_seeds = 30;
constexpr std::uint64_t planted_bug_seeds = 60;
constexpr auto faulty_time = seconds(8);
constexpr fleet_faults all_faults{true, true, true,  true,
                                  true, true, false, true};

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Runs the simulation with `seed_count` consecutive seeds and prints a
/// summary; the violations themselves only if no defect is injected. Returns
/// the number of violations and, if no defect is injected, of runs that did not
/// recover.
std::uint64_t run_seeds(const char* name, const fleet_faults& faults,
                        fleet_bug defect, std::uint64_t seed_count)
{
    const auto first_seed = number_from_environment("OLEANDER_SEED", 1);
    fleet_outcome totals;
    std::uint64_t violations = 0;
    std::uint64_t unrecovered = 0;
    for (auto seed = first_seed; seed < first_seed + seed_count; ++seed)
    {
        fleet_world simulation(seed, faults, defect);
        const auto outcome = simulation.run(faulty_time);
        violations += outcome.violations.size();
        unrecovered += outcome.recovered ? 0 : 1;
        totals.acknowledged += outcome.acknowledged;
        totals.in_doubt += outcome.in_doubt;
        totals.refused += outcome.refused;
        totals.reads += outcome.reads;
        totals.replica_reads += outcome.replica_reads;
        totals.promotions += outcome.promotions;
        totals.faults += outcome.faults;
        if (defect != fleet_bug::none)
            continue;
        for (const auto& violation : outcome.violations)
            std::cerr << name << " seed " << seed << ": " << violation << "\n";
        if (!outcome.recovered)
            std::cerr << name << " seed " << seed
                      << ": no write acknowledged after all faults ended\n";
    }
    std::cerr << name << ": " << seed_count << " seeds, " << totals.faults
              << " faults, " << totals.promotions << " promotions, "
              << totals.acknowledged << " writes acknowledged, "
              << totals.in_doubt << " in doubt, " << totals.refused
              << " refused, " << totals.reads << " reads ("
              << totals.replica_reads << " by replicas), " << violations
              << " violations, " << unrecovered << " not recovered\n";
    return defect == fleet_bug::none ? violations + unrecovered : violations;
}

/// Fails if a run violates a guarantee or does not recover.
void expect_no_violation(const char* name, const fleet_faults& faults)
{
    abort_on_invariant_failure(true);
    const auto seed_count =
        number_from_environment("OLEANDER_SEEDS", default_seeds);
    cr_assert(run_seeds(name, faults, fleet_bug::none, seed_count) == 0);
}

/// Fails if no run detects the injected defect.
void expect_violation(const char* name, fleet_bug defect,
                      const fleet_faults& faults = all_faults)
{
    cr_assert(run_seeds(name, faults, defect, planted_bug_seeds) > 0);
}

} // namespace

Test(fleet_seeds, without_faults)
{
    expect_no_violation("no faults", {});
}

Test(fleet_seeds, lost_and_delayed_messages)
{
    expect_no_violation("messages", {.messages = true});
}

Test(fleet_seeds, slow_messages)
{
    expect_no_violation("delays", {.delays = true, .targets = true});
}

Test(fleet_seeds, vms_that_crash)
{
    expect_no_violation("crashes", {.crashes = true, .targets = true});
}

Test(fleet_seeds, vms_that_stand_still)
{
    expect_no_violation("pauses", {.pauses = true, .targets = true});
}

Test(fleet_seeds, cuts)
{
    expect_no_violation("cuts", {.cuts = true, .targets = true});
}

Test(fleet_seeds, outages_of_the_store)
{
    expect_no_violation("store", {.store = true, .targets = true});
}

Test(fleet_seeds, leases_that_end_early)
{
    expect_no_violation("lapses", {.lapses = true, .targets = true});
}

Test(fleet_seeds, servers_that_fail)
{
    expect_no_violation("targets", {.targets = true});
}

Test(fleet_seeds, everything_together)
{
    expect_no_violation("all", all_faults);
}

Test(fleet_seeds, a_lost_primary_is_replaced_in_time)
{
    std::vector<duration> gaps;
    for (std::uint64_t seed = 1; seed <= 51; ++seed)
    {
        fleet_world simulation(seed, {});
        simulation.kill_primary_after(seconds(4));
        const auto outcome = simulation.run(seconds(6));
        cr_assert(outcome.violations.empty());
        gaps.push_back(outcome.longest_gap);
    }
    std::sort(gaps.begin(), gaps.end());
    const auto median = to_milliseconds(gaps[gaps.size() / 2]);
    const auto worst = to_milliseconds(gaps.back());
    std::cerr << "failover gap: median " << median << " ms, worst " << worst
              << " ms, including the promotion, which takes 300 ms\n";
    cr_assert(median < 1300);
    cr_assert(worst < 3000);
}

Test(fleet_seeds, notices_unbound_promotions)
{
    expect_violation("promotion before the record is binding",
                     fleet_bug::unbound_promotion);
}

Test(fleet_seeds, notices_unheeded_closings)
{
    expect_violation("closed record ignored", fleet_bug::unheeded_closing);
}

Test(fleet_seeds, notices_endless_grants)
{
    expect_violation("grant without expiry", fleet_bug::endless_grant);
}

Test(fleet_seeds, notices_unchecked_answers)
{
    // Only an answer that is in transit while its primary is being replaced
    // reveals this defect. It must be slow, but arrive before the timeout.
    expect_violation("answer without record check", fleet_bug::unchecked_answer,
                     {.delays = true, .targets = true});
}

Test(fleet_seeds, notices_blind_retries)
{
    expect_violation("retry of a write with unknown outcome",
                     fleet_bug::blind_retry);
}

Test(fleet_seeds, notices_forgotten_positions)
{
    expect_violation("session position ignored", fleet_bug::forgotten_position);
}

Test(fleet_seeds, notices_forgotten_ages)
{
    expect_violation("maximum age ignored", fleet_bug::forgotten_age);
}

Test(fleet_seeds, notices_false_denials)
{
    expect_violation("unknown outcome reported as refusal",
                     fleet_bug::false_denial);
}

Test(fleet_seeds, notices_unfenced_holders)
{
    expect_violation("unfenced leader", fleet_bug::unfenced_holder,
                     {.pauses = true, .store = true, .targets = true});
}
