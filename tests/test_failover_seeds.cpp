/// Seeded runs of the promotion, routing, session and retry logic against
/// fakes. OLEANDER_SEEDS sets how many seeds each test runs, OLEANDER_SEED
/// the first one.
#include "database_world.hpp"

#include <oleandergrade/invariant.hpp>

#include <criterion/criterion.h>

#include <cstdlib>
#include <iostream>

using namespace fakes;

namespace
{

constexpr std::uint64_t default_seeds = 150;
constexpr std::uint64_t planted_bug_seeds = 100;
constexpr auto faulty_time = seconds(8);

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

struct seed_summary
{
    std::uint64_t violations = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t promotions = 0;
    std::uint64_t faults = 0;
};

seed_summary run_seeds(const char* name, const world_faults& faults,
                       planted_bug bug, std::uint64_t seeds)
{
    const auto first = number_from_environment("OLEANDER_SEED", 1);
    seed_summary summary;
    std::uint64_t unknown = 0;
    std::uint64_t not_run = 0;
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    for (auto seed = first; seed < first + seeds; ++seed)
    {
        database_world world(seed, faults, bug);
        const auto outcome = world.run(faulty_time);
        summary.violations += outcome.violations.size();
        summary.acknowledged += outcome.acknowledged;
        summary.promotions += outcome.promotions;
        summary.faults += outcome.faults;
        unknown += outcome.unknown;
        not_run += outcome.not_run;
        reads += outcome.reads;
        replica_reads += outcome.replica_reads;
        if (bug == planted_bug::none)
            for (const auto& line : outcome.violations)
                std::cerr << name << " seed " << seed << ": " << line << "\n";
    }
    std::cerr << name << ": " << seeds << " seeds, " << summary.faults
              << " faults, " << summary.promotions << " promotions, "
              << summary.acknowledged << " writes acknowledged, " << unknown
              << " unknown, " << not_run << " requests not run, " << reads
              << " reads (" << replica_reads << " by replicas), "
              << summary.violations << " violations\n";
    return summary;
}

void expect_no_violation(const char* name, const world_faults& faults)
{
    abort_on_invariant_failure(true);
    const auto seeds = number_from_environment("OLEANDER_SEEDS", default_seeds);
    const auto summary = run_seeds(name, faults, planted_bug::none, seeds);
    cr_assert(summary.violations == 0);
    cr_assert(summary.acknowledged > seeds);
}

void expect_violation(const char* name, planted_bug bug)
{
    const world_faults all{true, true, true, true, true, true};
    const auto summary = run_seeds(name, all, bug, planted_bug_seeds);
    cr_assert(summary.violations > 0);
}

} // namespace

Test(failover_seeds, without_faults)
{
    expect_no_violation("no faults", {});
}

Test(failover_seeds, lost_delayed_and_repeated_messages)
{
    expect_no_violation("messages", {true, false, false, false, false, false});
}

Test(failover_seeds, crashes)
{
    expect_no_violation("crashes", {false, true, false, false, false, false});
}

Test(failover_seeds, pauses)
{
    expect_no_violation("pauses", {false, false, true, false, false, false});
}

Test(failover_seeds, cuts)
{
    expect_no_violation("cuts", {false, false, false, true, false, false});
}

Test(failover_seeds, platform_outages)
{
    expect_no_violation("platform", {false, true, false, false, true, false});
}

Test(failover_seeds, lagging_replicas)
{
    expect_no_violation("lag", {false, true, false, false, false, true});
}

Test(failover_seeds, everything_together)
{
    expect_no_violation("all", {true, true, true, true, true, true});
}

Test(failover_seeds, notices_early_acknowledgement)
{
    expect_violation("early acknowledgement",
                     planted_bug::early_acknowledgement);
}

Test(failover_seeds, notices_blind_retries)
{
    expect_violation("blind retry", planted_bug::blind_retry);
}

Test(failover_seeds, notices_forgotten_positions)
{
    expect_violation("forgotten position", planted_bug::forgotten_position);
}

Test(failover_seeds, notices_forgotten_ages)
{
    expect_violation("forgotten age", planted_bug::forgotten_age);
}

Test(failover_seeds, notices_false_denials)
{
    expect_violation("false denial", planted_bug::false_denial);
}
