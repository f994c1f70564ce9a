/// Seeded runs of limits, leadership of domains and freshness against fakes.
/// OLEANDER_SEEDS sets how many seeds each test runs.
#include "token_world.hpp"

#include <oleandergrade/invariant.hpp>

#include <criterion/criterion.h>

#include <cstdlib>
#include <iostream>

using namespace fakes;

namespace
{

constexpr std::uint64_t default_seeds = 40;
constexpr std::uint64_t planted_bug_seeds = 30;
/// Bursts that ask for more than twice what the accounts may send.
constexpr double heavy_burst_factor = 12;
constexpr auto run_time = seconds(20);

std::uint64_t seeds_wanted()
{
    const char* text = std::getenv("OLEANDER_SEEDS");
    return text == nullptr ? default_seeds : std::strtoull(text, nullptr, 10);
}

struct limit_summary
{
    std::uint64_t violations = 0;
    std::uint64_t requests = 0;
    std::uint64_t wrongly_refused = 0;
};

limit_summary run_seeds(const char* name, const token_world_faults& faults,
                        planted_limit_bug bug, double demand,
                        std::uint64_t seeds, double burst_factor = 3)
{
    limit_summary summary;
    token_world_outcome total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        token_world world(seed, faults, bug);
        const auto outcome = world.run(run_time, demand, burst_factor);
        summary.violations += outcome.violations.size();
        summary.requests += outcome.requests;
        summary.wrongly_refused += outcome.wrongly_refused;
        total.granted += outcome.granted;
        total.faults += outcome.faults;
        total.stale += outcome.stale;
        total.leads += outcome.leads;
        total.versions += outcome.versions;
        total.longest_spread_seconds = std::max(total.longest_spread_seconds,
                                                outcome.longest_spread_seconds);
        if (bug == planted_limit_bug::none)
            for (const auto& line : outcome.violations)
                std::cerr << name << " seed " << seed << ": " << line << "\n";
    }
    std::cerr << name << " at " << demand << " times the rate: " << seeds
              << " seeds, " << total.faults << " faults, " << total.leads
              << " banks opened, " << total.versions
              << " versions accepted, slowest in force everywhere after "
              << total.longest_spread_seconds << " s, " << total.granted
              << " granted, " << summary.wrongly_refused << " of "
              << summary.requests << " wrongly refused, " << summary.violations
              << " violations\n";
    return summary;
}

void expect_no_violation(const char* name, const token_world_faults& faults,
                         double demand)
{
    abort_on_invariant_failure(true);
    const auto summary = run_seeds(name, faults, planted_limit_bug::none,
                                   demand, seeds_wanted());
    cr_assert(summary.violations == 0);
    cr_assert(summary.requests > 0);
}

void expect_violation(const char* name, planted_limit_bug bug,
                      const token_world_faults& faults, double demand,
                      double burst_factor)
{
    const auto summary =
        run_seeds(name, faults, bug, demand, planted_bug_seeds, burst_factor);
    cr_assert(summary.violations > 0);
}

} // namespace

Test(limit_seeds, steady_inside_the_rate)
{
    const auto summary =
        run_seeds("steady", {}, planted_limit_bug::none, 0.8, seeds_wanted());
    cr_assert(summary.violations == 0);
    cr_assert(summary.wrongly_refused == 0);
}

Test(limit_seeds, steady_above_the_rate)
{
    expect_no_violation("steady", {}, 3);
}

Test(limit_seeds, refusals_inside_the_rate_under_faults)
{
    expect_no_violation("restarts", {false, true, false, false, false}, 0.8);
    expect_no_violation("pauses", {false, false, true, false, false}, 0.8);
    expect_no_violation("cuts", {false, false, false, true, false}, 0.8);
    expect_no_violation("platform", {false, false, false, false, true}, 0.8);
}

Test(limit_seeds, lost_delayed_and_repeated_messages)
{
    expect_no_violation("messages", {true, false, false, false, false}, 3);
}

Test(limit_seeds, restarts)
{
    expect_no_violation("restarts", {false, true, false, false, false}, 3);
}

Test(limit_seeds, pauses)
{
    expect_no_violation("pauses", {false, false, true, false, false}, 3);
}

Test(limit_seeds, cuts)
{
    expect_no_violation("cuts", {false, false, false, true, false}, 3);
}

Test(limit_seeds, platform_outages)
{
    expect_no_violation("platform", {false, false, false, false, true}, 3);
}

Test(limit_seeds, everything_together)
{
    expect_no_violation("all", {true, true, true, true, true}, 3);
}

Test(limit_seeds, heavy_bursts_after_quiet_times)
{
    abort_on_invariant_failure(true);
    const token_world_faults all{true, true, true, true, true};
    const auto summary = run_seeds("heavy bursts", all, planted_limit_bug::none,
                                   0.5, seeds_wanted(), heavy_burst_factor);
    cr_assert(summary.violations == 0);
}

Test(limit_seeds, notices_a_forgetful_bank)
{
    expect_violation("forgetful bank", planted_limit_bug::forgetful_bank,
                     {false, true, false, false, false}, 3, 3);
}

Test(limit_seeds, notices_an_endless_lease)
{
    expect_violation("endless lease", planted_limit_bug::endless_lease,
                     {true, true, true, true, true}, 0.5, heavy_burst_factor);
}

Test(limit_seeds, notices_stale_keys)
{
    expect_violation("stale keys", planted_limit_bug::stale_keys,
                     {true, true, true, true, true}, 0.5, heavy_burst_factor);
}
