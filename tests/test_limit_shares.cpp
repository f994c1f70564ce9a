/// Tests the shares of accounts' limits over many VMs in virtual time.
/// OLEANDER_SEEDS sets the number of seeds of the randomized runs.
#include "limit_fleet.hpp"

#include <oleandergrade/process/limits/lender_assigner.hpp>
#include <oleandergrade/process/limits/lender_directory.hpp>
#include <oleandergrade/process/limits/share_allocator.hpp>

#include <criterion/criterion.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>

using namespace oleandergrade;

namespace
{

constexpr limit_tolerance tolerance{milliseconds(5000), 0.1, 20};
constexpr auto time_step = milliseconds(1);
constexpr auto report_interval = milliseconds(250);

/// Faults injected in a run, as average numbers per second.
struct limit_faults
{
    double leader_losses = 0;
    double isolations = 0;
    double restarts = 0;
};

struct account_outcome
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Largest number of operations admitted in a window, as a fraction of the
    /// number that is allowed, tolerance included.
    double max_window_fraction = 0;
};

/// Simulates several VMs and their leader without a network.
class limit_simulation
{
public:
    limit_simulation(std::uint64_t seed, std::size_t vms,
                     std::map<std::string, client_account> accounts)
        : random_(seed), accounts_(std::move(accounts)), vms_(vms)
    {
        const auto members = static_cast<std::uint32_t>(vms);
        for (auto& vm : vms_)
        {
            vm.limiter = std::make_unique<operation_limiter>(tolerance, true);
            vm.limiter->set_limits(accounts_, members, now_);
            vm.limiter->on_registered(now_);
        }
        elect_leader(true);
    }

    /// `demand`: operations per second of each account over all VMs. The
    /// fraction `skew` of an account's operations arrives at one VM.
    std::map<std::string, account_outcome>
    run(seconds length, const std::map<std::string, double>& demand,
        double skew, const limit_faults& faults)
    {
        const auto end = now_ + length;
        for (; now_ < end; now_ += time_step)
        {
            inject(faults);
            report();
            for (const auto& [account, rate] : demand)
                submit_operations(account, rate, skew);
        }
        return outcomes_;
    }

private:
    struct vm_state
    {
        std::unique_ptr<operation_limiter> limiter;
        time_point next_report_at;
        time_point isolated_until;
    };

    double random_fraction()
    {
        return std::uniform_real_distribution<>()(random_);
    }

    void elect_leader(bool is_first)
    {
        allocator_ = std::make_unique<share_allocator>(tolerance, is_first);
        allocator_->set_limits(accounts_, now_);
        allocator_->set_member_counts(static_cast<std::uint32_t>(vms_.size()),
                                      1);
        allocator_->on_elected(is_first, now_);
        leader_unavailable_until_ = is_first ? now_ : now_ + milliseconds(1200);
    }

    void inject(const limit_faults& faults)
    {
        const auto per_step = std::chrono::duration<double>(time_step).count();
        if (random_fraction() < faults.leader_losses * per_step)
            elect_leader(false);
        if (random_fraction() < faults.isolations * per_step)
            vms_[random_() % vms_.size()].isolated_until = now_ + seconds(4);
        if (random_fraction() < faults.restarts * per_step)
        {
            auto& vm = vms_[random_() % vms_.size()];
            vm.limiter = std::make_unique<operation_limiter>(tolerance, false);
            vm.limiter->set_limits(
                accounts_, static_cast<std::uint32_t>(vms_.size()), now_);
            vm.limiter->on_registered(now_);
        }
    }

    bool reaches_leader(const vm_state& vm) const
    {
        return now_ >= vm.isolated_until && now_ >= leader_unavailable_until_;
    }

    void report()
    {
        std::uint32_t reporting_count = 0;
        for (const auto& vm : vms_)
            reporting_count += reaches_leader(vm) ? 1 : 0;
        allocator_->set_member_counts(static_cast<std::uint32_t>(vms_.size()),
                                      reporting_count);
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            auto& vm = vms_[i];
            if (now_ < vm.next_report_at || !reaches_leader(vm))
                continue;
            vm.next_report_at = now_ + report_interval;
            const auto shares = allocator_->allocate(
                "vm-" + std::to_string(i), vm.limiter->demands(now_), now_);
            vm.limiter->set_shares(shares, now_, now_);
        }
    }

    void submit_operations(const std::string& account, double rate, double skew)
    {
        const auto per_step = std::chrono::duration<double>(time_step).count();
        std::poisson_distribution<int> arrivals(rate * per_step);
        for (int remaining = arrivals(random_); remaining > 0; --remaining)
        {
            const auto index = random_fraction() < skew
                                   ? account.size() % vms_.size()
                                   : random_() % vms_.size();
            submit_operation(account, vms_[index]);
        }
    }

    void submit_operation(const std::string& account, vm_state& vm)
    {
        auto decision = vm.limiter->admit(account, now_);
        if (decision.may_borrow && reaches_leader(vm))
        {
            decision = allocator_->borrow(account, now_);
            if (!decision.admitted)
                vm.limiter->on_reserve_empty(account, decision.retry_after,
                                             now_);
        }
        auto& outcome = outcomes_[account];
        if (!decision.admitted)
        {
            ++outcome.refused;
            return;
        }
        ++outcome.admitted;
        auto& window = admitted_at_[account];
        window.push_back(now_);
        while (now_ - window.front() >= tolerance.window)
            window.pop_front();
        const auto& limits = accounts_.at(account);
        const auto allowed = (limits.rate * 5 + limits.burst) *
                                 (1 + tolerance.overshoot_fraction) +
                             tolerance.slack_operations;
        outcome.max_window_fraction =
            std::max(outcome.max_window_fraction,
                     static_cast<double>(window.size()) / allowed);
    }

    std::mt19937_64 random_;
    std::map<std::string, client_account> accounts_;
    std::vector<vm_state> vms_;
    std::unique_ptr<share_allocator> allocator_;
    time_point now_{seconds(1000)};
    time_point leader_unavailable_until_;
    std::map<std::string, std::deque<time_point>> admitted_at_;
    std::map<std::string, account_outcome> outcomes_;
};

std::map<std::string, client_account> two_accounts()
{
    return {{"large", {"large", 1, 120, 120}}, {"small", {"small", 1, 8, 8}}};
}

std::uint64_t seed_count()
{
    const char* text = std::getenv("OLEANDER_SEEDS");
    return text == nullptr ? 10 : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against refusals of callers within their account's rate. The shares of
// small accounts fell below one operation per second and VM, so that such
// callers were refused.
Test(limit_shares, small_accounts_inside_their_rate_are_not_refused)
{
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed)
    {
        limit_simulation simulation(seed, 9, two_accounts());
        const auto outcome =
            simulation.run(seconds(20), {{"large", 75}, {"small", 5}}, 0.5, {});
        cr_assert(outcome.at("small").refused == 0, "seed %lu refused %lu",
                  seed, outcome.at("small").refused);
        cr_assert(outcome.at("large").refused == 0);
    }
}

// One account's demand rises to ten times its normal rate.
Test(limit_shares, an_overloaded_account_gets_its_limit_and_no_more)
{
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed)
    {
        limit_simulation simulation(seed, 9, two_accounts());
        const auto outcome = simulation.run(
            seconds(20), {{"large", 750}, {"small", 5}}, 0.3, {});
        cr_assert(outcome.at("large").max_window_fraction <= 1, "seed %lu: %f",
                  seed, outcome.at("large").max_window_fraction);
        // At least 90 % of the rate over the whole run, not counting the burst.
        cr_assert(outcome.at("large").admitted > 20 * 120 * 0.9);
        cr_assert(outcome.at("small").refused == 0, "seed %lu refused %lu",
                  seed, outcome.at("small").refused);
    }
}

// Guards against an account that gets less than its rate. At nine VMs, its
// limit was lowered to a quarter of the demand, which stayed the same. Only 21
// of 22 operations per second were admitted, because a share that was moved
// from one VM to another was missing at both.
Test(limit_shares, an_account_whose_limit_was_lowered_gets_all_of_it)
{
    const std::map<std::string, client_account> accounts{
        {"cut", {"cut", 1, 22, 22}}};
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed)
    {
        limit_simulation simulation(seed, 9, accounts);
        const auto outcome =
            simulation.run(seconds(40), {{"cut", 85}}, 0.15, {});
        const auto& lowered_account = outcome.at("cut");
        // Even the worst-served account must get 0.98 of its rate and burst.
        const auto min_admitted =
            static_cast<std::uint64_t>(0.98 * (40 * 22 + 22));
        cr_assert(lowered_account.admitted >= min_admitted, "seed %lu: %lu",
                  seed, lowered_account.admitted);
        cr_assert(lowered_account.max_window_fraction <= 1, "seed %lu: %f",
                  seed, lowered_account.max_window_fraction);
    }
}

Test(limit_shares, limits_hold_while_leaders_are_lost_and_vms_are_isolated)
{
    const limit_faults faults{0.15, 0.3, 0.1};
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed)
    {
        limit_simulation simulation(seed, 9, two_accounts());
        const auto outcome = simulation.run(
            seconds(40), {{"large", 600}, {"small", 60}}, 0.4, faults);
        for (const auto& [account, result] : outcome)
            cr_assert(result.max_window_fraction <= 1, "seed %lu, %s: %f", seed,
                      account.c_str(), result.max_window_fraction);
    }
}

// The leader is lost while some VMs are isolated. The other VMs must be served
// without waiting for the shares of those VMs to expire.
Test(limit_shares, accounts_are_served_right_after_a_change_of_leader)
{
    share_allocator allocator(tolerance, false);
    allocator.set_limits(two_accounts(), time_point(seconds(5)));
    allocator.set_member_counts(9, 6);
    allocator.on_elected(false, time_point(seconds(5)));
    unsigned admitted = 0;
    for (int i = 0; i < 10; ++i)
        admitted += allocator
                            .borrow("small", time_point(seconds(5)) +
                                                 milliseconds(200 * i))
                            .admitted
                        ? 1
                        : 0;
    // Six of nine members report to the new leader, so it lends up to two
    // thirds of the account's 8 operations per second, here for two seconds.
    cr_assert(admitted >= 8, "%u", admitted);

    operation_limiter limiter(tolerance, true);
    limiter.set_limits(two_accounts(), 4, time_point(seconds(5)));
    limiter.set_shares({}, time_point(seconds(5)), time_point(seconds(5)));
    while (limiter.admit("small", time_point(seconds(5))).admitted)
    {
    }
    const auto later = time_point(seconds(5)) + seconds(2);
    cr_assert(limiter.admit("small", later).admitted);
}

Test(limit_shares, a_restarted_vm_starts_with_a_small_burst)
{
    operation_limiter restarted(tolerance, false);
    restarted.set_limits(two_accounts(), 4, time_point(seconds(5)));
    std::size_t admitted = 0;
    for (int i = 0; i < 200; ++i)
        admitted +=
            restarted.admit("large", time_point(seconds(5))).admitted ? 1 : 0;
    const auto fleet_burst = restart_burst({"large", 1, 120, 120}, tolerance);
    cr_assert(admitted >= 1);
    cr_assert(static_cast<double>(admitted) <= fleet_burst / 4 + 1);
}

Test(limit_shares, a_lowered_limit_binds_shares_at_once)
{
    operation_limiter limiter(tolerance, true);
    limiter.set_limits(two_accounts(), 2, time_point(seconds(5)));
    const account_share share{"large", 70, 70};
    limiter.set_shares({share}, time_point(seconds(5)), time_point(seconds(5)));
    auto lowered = two_accounts();
    lowered["large"].rate = 6;
    lowered["large"].burst = 6;
    limiter.set_limits(lowered, 2, time_point(seconds(5)));
    std::size_t admitted = 0;
    for (int ms = 0; ms < 2000; ++ms)
        admitted +=
            limiter.admit("large", time_point(seconds(5)) + milliseconds(ms))
                    .admitted
                ? 1
                : 0;
    cr_assert(admitted <= 6 * 2 + 6 + 12, "%zu", admitted);
}

Test(limit_shares, an_unknown_account_is_refused)
{
    operation_limiter limiter(tolerance, true);
    cr_assert(!limiter.admit("nobody", time_point(seconds(5))).admitted);
}

namespace
{

using fakes::limit_defect;
using fakes::limit_fleet;
using fakes::limit_fleet_faults;
using fakes::limit_fleet_settings;

constexpr limit_fleet_faults lost_leaders{.leader_losses = 0.1};
constexpr limit_fleet_faults lost_store{.leader_losses = 0.1,
                                        .store_outages = 0.1};
constexpr limit_fleet_faults split_domains{.partitions = 0.1};
constexpr limit_fleet_faults killed_halves{.mass_kills = 0.1};
constexpr limit_fleet_faults killed_fleet{.total_losses = 0.1};
constexpr limit_fleet_faults stopped_vms{.rolling_stops = 0.1};
constexpr limit_fleet_faults all_faults{.leader_losses = 0.1,
                                        .store_outages = 0.05,
                                        .partitions = 0.1,
                                        .mass_kills = 0.1,
                                        .rolling_stops = 0.1,
                                        .lost_answers = 0.02};
constexpr limit_fleet_faults replaced_vms{.replacements = 0.1};
constexpr limit_fleet_faults replaced_vms_and_all_faults{.leader_losses = 0.1,
                                                         .store_outages = 0.05,
                                                         .partitions = 0.2,
                                                         .mass_kills = 0.1,
                                                         .replacements = 0.3,
                                                         .rolling_stops = 0.1,
                                                         .lost_answers = 0.02};
constexpr auto fleet_run_length = seconds(20);
/// One cycle of callers that move between VMs.
constexpr auto moving_run_length = seconds(60);

/// Sums over the seeds of one kind of run.
struct fleet_totals
{
    std::uint64_t offered = 0;
    std::uint64_t refused_inside = 0;
    std::uint64_t refused_inside_with_leader = 0;
    std::uint64_t seeds_with_refusals = 0;
    double max_window_fraction = 0;
    std::uint64_t max_window_seed = 0;
    std::string max_window_account;

    double refused_fraction() const
    {
        return static_cast<double>(refused_inside) /
               static_cast<double>(offered);
    }
};

fleet_totals run_fleets(const char* name, const limit_fleet_settings& settings)
{
    fleet_totals totals;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed)
    {
        limit_fleet fleet(seed, settings);
        const auto outcome = fleet.run(
            settings.moves_between_vms ? moving_run_length : fleet_run_length);
        totals.offered += outcome.total.offered;
        totals.refused_inside += outcome.total.refused_inside;
        totals.refused_inside_with_leader +=
            outcome.total.refused_inside_with_leader;
        totals.seeds_with_refusals += outcome.total.refused_inside > 0 ? 1 : 0;
        if (outcome.max_window_fraction <= totals.max_window_fraction)
            continue;
        totals.max_window_fraction = outcome.max_window_fraction;
        totals.max_window_seed = seed;
        totals.max_window_account = outcome.max_window_account;
    }
    std::fprintf(
        stderr,
        "%s: %lu operations, %lu refused inside the limit (%lu from 1 s "
        "after the leader on) in %lu of %lu seeds, largest window "
        "%.3f (seed %lu)\n",
        name, totals.offered, totals.refused_inside,
        totals.refused_inside_with_leader, totals.seeds_with_refusals,
        seed_count(), totals.max_window_fraction, totals.max_window_seed);
    return totals;
}

void expect_few_refusals(const char* name, const limit_fleet_faults& faults,
                         double max_refused_fraction)
{
    limit_fleet_settings settings;
    settings.faults = faults;
    const auto totals = run_fleets(name, settings);
    cr_assert(totals.max_window_fraction <= 1, "seed %lu, %s: %f",
              totals.max_window_seed, totals.max_window_account.c_str(),
              totals.max_window_fraction);
    cr_assert(totals.refused_fraction() <= max_refused_fraction, "%f",
              totals.refused_fraction());
}

void expect_limits_hold(const char* name, limit_fleet_settings settings)
{
    settings.overloaded_fraction = 0.5;
    const auto totals = run_fleets(name, settings);
    cr_assert(totals.max_window_fraction <= 1, "seed %lu, %s: %f",
              totals.max_window_seed, totals.max_window_account.c_str(),
              totals.max_window_fraction);
}

/// Whether the check of the windows finds the defect in at least one of 10
/// seeds.
bool finds(limit_defect defect, const limit_fleet_faults& faults)
{
    limit_fleet_settings settings;
    settings.faults = faults;
    settings.overloaded_fraction = 1;
    settings.defect = defect;
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        limit_fleet fleet(seed, settings);
        if (fleet.run(fleet_run_length).max_window_fraction > 1)
            return true;
    }
    return false;
}

} // namespace

// The following tests guard against refusals of accounts whose demand stays
// within 0.8 of their limits, in a fleet of 90 VMs. Shares of accounts were
// divided among so many VMs that much of them remained unused, and without a
// leader there was nothing to borrow from. The refusals that remain are those
// of an account whose limits are held by VMs that were lost or cut off.
Test(limit_shares, a_large_fleet_without_faults_refuses_hardly_any_operation)
{
    expect_few_refusals("calm", {}, 0.0002);
}

Test(limit_shares, a_large_fleet_serves_accounts_without_a_leader)
{
    expect_few_refusals("lost leaders", lost_leaders, 0.002);
}

Test(limit_shares, a_large_fleet_serves_accounts_without_leader_and_store)
{
    expect_few_refusals("lost store", lost_store, 0.02);
}

Test(limit_shares, a_large_fleet_serves_accounts_in_a_partition)
{
    expect_few_refusals("partitions", split_domains, 0.02);
}

Test(limit_shares, a_large_fleet_serves_accounts_after_a_mass_kill)
{
    expect_few_refusals("killed halves", killed_halves, 0.1);
}

// Guards against a fleet that refuses nearly everything after all of it was
// killed, because the new leader keeps all limits free for VMs that have begun
// anew or are gone for good. The refusals that remain are those without a
// leader.
Test(limit_shares, a_large_fleet_serves_accounts_after_a_total_loss)
{
    expect_few_refusals("killed fleet", killed_fleet, 0.15);
}

// The target for accounts inside 0.8 of their limits: from 1 s after the
// election on, a VM that reaches the leader refuses them nothing.
Test(limit_shares, a_leader_refuses_nothing_inside_the_limits)
{
    const std::map<const char*, limit_fleet_faults> kinds{
        {"calm", {}},
        {"lost leaders", lost_leaders},
        {"lost store", lost_store},
        {"partitions", split_domains},
        {"killed halves", killed_halves},
        {"killed fleet", killed_fleet}};
    for (const auto& [name, faults] : kinds)
    {
        limit_fleet_settings settings;
        settings.faults = faults;
        const auto totals = run_fleets(name, settings);
        cr_expect(totals.refused_inside_with_leader == 0, "%s: %lu of %lu",
                  name, totals.refused_inside_with_leader, totals.offered);
    }
}

Test(limit_shares, a_large_fleet_serves_accounts_while_vms_stop_in_turn)
{
    expect_few_refusals("stopped VMs", stopped_vms, 0.005);
}

// Guards against the part of every limit that a lost lender held, and against
// shares of lenders that are used twice while leaders change with them.
Test(limit_shares, a_large_fleet_serves_accounts_while_machines_are_replaced)
{
    expect_few_refusals("replaced VMs", replaced_vms, 0.02);
}

Test(limit_shares, limits_hold_while_machines_are_replaced)
{
    for (const std::size_t listed : {1U, 5U})
        expect_limits_hold("replaced VMs and all faults",
                           {.lenders_per_domain = listed,
                            .faults = replaced_vms_and_all_faults});
}

// Guards against windows above the bound: half of the accounts have ten times
// their rate, at times, while everything fails and limits rise and fall.
Test(limit_shares, limits_hold_in_a_large_fleet_under_all_faults)
{
    expect_limits_hold("all faults", {.faults = all_faults});
}

// Guards against operations that are collected at VMs: callers use one VM
// after another, and then all VMs at once.
Test(limit_shares, limits_hold_while_callers_move_between_vms)
{
    expect_limits_hold("moving callers", {.moves_between_vms = true});
}

// Guards against VMs that use other rules than the leader expects, at sizes
// around the one from which VMs lend.
Test(limit_shares, limits_hold_at_the_size_from_which_vms_lend)
{
    for (const std::size_t vms : {11U, 12U, 14U, 15U, 16U, 20U})
        expect_limits_hold("all faults, few VMs", {.vms = vms,
                                                   .accounts = 20,
                                                   .operations_per_second = 300,
                                                   .faults = all_faults});
}

// A check that finds none of these defects would not guard the limits.
Test(limit_shares, the_check_finds_shares_that_are_allocated_twice)
{
    cr_assert(finds(limit_defect::shares_allocated_twice,
                    {.leader_losses = 0.3, .partitions = 0.3}));
}

Test(limit_shares, the_check_finds_a_restarted_vm_that_keeps_its_share)
{
    cr_assert(
        finds(limit_defect::restarted_vm_keeps_share, {.mass_kills = 0.3}));
}

namespace
{

std::map<std::string, client_account> one_account()
{
    return {{"gate", {"gate", 1, 100, 100}}};
}

/// Returns a leader with earlier shares in a fleet of 30 VMs.
share_allocator elected_leader(time_point now)
{
    share_allocator allocator(tolerance, false);
    allocator.set_limits(one_account(), now);
    allocator.set_member_counts(30, 30);
    allocator.set_lenders({1, 0, {{"vm-1", "address-1", "domain"}}, {}});
    allocator.on_elected(false, now);
    return allocator;
}

double rate_of(const std::vector<account_share>& shares)
{
    return shares.empty() ? 0 : shares.front().rate;
}

} // namespace

// Guards against a second allocation of all shares: a VM that has never led
// took itself for the first leader of a fleet that had started for the first
// time, however many leaders there had been, and kept a full reserve.
Test(limit_shares,
     a_vm_that_leads_for_the_first_time_leaves_earlier_shares_alone)
{
    const auto start = time_point(seconds(100));
    share_allocator leader(tolerance, true);
    leader.set_limits(one_account(), start);
    leader.set_member_counts(30, 1);
    leader.set_lenders(
        {1, 0, {{"vm-1", "address-1", "domain"}}, {"vm-2", "vm-3"}});
    leader.on_elected(false, start + seconds(20));
    const auto now = start + seconds(21);
    leader.on_report("vm-4", 1, now);
    const auto demands = std::vector<account_demand>{{"gate", 50, 0}};
    cr_assert(rate_of(leader.allocate("vm-4", demands, now)) == 0);
    unsigned lent = 0;
    while (leader.borrow("gate", now).admitted)
        ++lent;
    cr_assert(lent <= restart_burst(one_account()["gate"], tolerance), "%u",
              lent);
}

// Guards against a part of every limit that is never used again after a VM of a
// small fleet is gone for good, and against a VM that was only silent and goes
// on using it.
Test(limit_shares, the_part_of_a_vm_that_is_gone_returns_to_the_others)
{
    const auto start = time_point(seconds(100));
    share_allocator leader(tolerance, false);
    leader.set_limits(one_account(), start);
    leader.set_fractions_lapse(true);
    leader.on_elected(false, start);
    operation_limiter silent(tolerance, false);
    silent.set_limits(one_account(), 5, start);
    silent.on_registered(start);
    leader.on_registered("vm-5", start);
    const auto operations_of = [&](time_point now)
    {
        int count = 0;
        while (silent.admit("gate", now).admitted)
            ++count;
        return count;
    };
    const auto held_by_others = [&](time_point now)
    {
        double held = 0;
        leader.set_member_counts(5, 4);
        for (int round = 0; round < 2; ++round)
            for (const auto* vm : {"vm-1", "vm-2", "vm-3", "vm-4"})
            {
                leader.on_report(vm, 1, now);
                held = rate_of(leader.allocate(vm, {{"gate", 30, held}}, now));
            }
        return 4 * held;
    };
    const auto all = one_account()["gate"].rate * shared_rate_fraction;
    cr_assert(operations_of(start + seconds(10)) > 0);
    cr_assert(held_by_others(start + seconds(10)) < 0.85 * all);
    operations_of(start + seconds(20));
    cr_assert(operations_of(start + seconds(24)) == 0);
    cr_assert(held_by_others(start + seconds(24)) < 0.85 * all);
    cr_assert(held_by_others(start + seconds(26)) > 0.95 * all);
    // It begins anew: the store acknowledges its registration first.
    leader.on_registered("vm-5", start + seconds(40));
    silent.on_registered(start + seconds(40));
    cr_assert(held_by_others(start + seconds(44)) < 0.85 * all);
}

// Guards against a second allocation of a share: a VM that has not reported to
// a new leader may use its share of the previous one for 12 s.
Test(limit_shares, a_new_leader_leaves_unreported_shares_alone)
{
    const auto start = time_point(seconds(100));
    auto leader = elected_leader(start);
    leader.on_report("vm-1", 1, start);
    cr_assert(rate_of(leader.allocate("vm-1", {{"gate", 0, 30}}, start)) == 30);
    const auto later = start + seconds(10);
    leader.on_report("vm-1", 1, later);
    cr_assert(rate_of(leader.allocate("vm-1", {{"gate", 0, 30}}, later)) <= 30);
    leader.on_report("vm-2", 1, later);
    cr_assert(rate_of(leader.allocate("vm-2", {{"gate", 50, 0}}, later)) == 0);
    const auto expired = start + seconds(13);
    for (int i = 3; i <= 30; ++i)
        leader.on_report("vm-" + std::to_string(i), 1, expired);
    leader.on_report("vm-2", 1, expired);
    cr_assert(rate_of(leader.allocate("vm-2", {{"gate", 50, 0}}, expired)) > 0);
}

// Guards against a share that is missing for 12 s after its VM has restarted,
// and against a report that arrives late and voids the share of the VM's new
// incarnation.
Test(limit_shares, a_restart_voids_the_share_of_the_earlier_incarnation)
{
    const auto start = time_point(seconds(100));
    auto leader = elected_leader(start);
    const auto later = start + seconds(13);
    leader.on_report("vm-2", 1, later);
    const auto held =
        rate_of(leader.allocate("vm-2", {{"gate", 100, 0}}, later));
    cr_assert(held > 0);
    cr_assert(leader.on_report("vm-2", 2, later));
    cr_assert(!leader.on_report("vm-2", 1, later));
    leader.on_report("vm-3", 1, later);
    const auto moved =
        rate_of(leader.allocate("vm-3", {{"gate", 200, 0}}, later));
    cr_assert(moved >= held, "%f, %f", moved, held);
}

Test(limit_shares, lent_operations_are_lost_when_their_validity_ends)
{
    const auto start = time_point(seconds(100));
    operation_limiter limiter(tolerance, false);
    limiter.set_limits(one_account(), 90, start);
    while (limiter.admit("gate", start).admitted)
    {
    }
    limiter.on_loan("gate", 4, start + milliseconds(500), start);
    cr_assert(limiter.admit("gate", start).admitted);
    cr_assert(limiter.admit("gate", start + milliseconds(499)).admitted);
    cr_assert(!limiter.admit("gate", start + milliseconds(500)).admitted);
}

// Guards against shares that together exceed a lowered limit while no leader
// can replace them.
Test(limit_shares, a_lowered_limit_reduces_shares_in_proportion)
{
    const auto start = time_point(seconds(100));
    operation_limiter limiter(tolerance, false);
    limiter.set_limits(one_account(), 90, start);
    limiter.set_shares({{"gate", 10, 10}}, start, start);
    auto lowered = one_account();
    lowered["gate"].rate = 10;
    limiter.set_limits(lowered, 90, start);
    const auto demands = limiter.demands(start);
    cr_assert(demands.size() == 1);
    cr_assert(std::abs(demands.front().held_rate - 1) < 1e-9, "%f",
              demands.front().held_rate);
}

Test(limit_shares, a_lender_lends_a_part_of_what_it_has)
{
    const auto start = time_point(seconds(100));
    operation_limiter limiter(tolerance, false);
    limiter.set_limits(one_account(), 90, start);
    cr_assert(!limiter.lend("gate", 10, start).admitted);
    limiter.set_shares({{"gate", 20, 20}}, start, start);
    const auto later = start + seconds(2);
    const auto loan = limiter.lend("gate", 10, later);
    cr_assert(loan.admitted && loan.operations == 5, "%u", loan.operations);
    cr_assert(!limiter.lend("gate", 1, start + seconds(12)).admitted);
}

namespace
{

/// Fifteen VMs, five in each of three failure domains; the strongest VM of a
/// domain has the lowest number.
member_list fifteen_members()
{
    member_list members;
    for (int i = 0; i < 15; ++i)
        members.put({"vm-" + std::to_string(10 + i),
                     "address-" + std::to_string(10 + i), 1,
                     "domain-" + std::to_string(i % 3), 500, 1});
    return members;
}

std::set<std::string> lender_names(const lender_table& table)
{
    std::set<std::string> names;
    for (const auto& listed : table.lenders)
        names.insert(listed.vm);
    return names;
}

} // namespace

// Guards against waiting for a lender that does not answer, again and again.
Test(limit_shares, a_silent_lender_is_asked_ever_less_often)
{
    auto members = fifteen_members();
    cr_assert(derive_lenders(members).lenders.empty());
    members.put({"vm-25", "address-25", 1, "domain-0", 500});
    auto table = derive_lenders(members);
    const std::set<std::string> expected_lenders{"vm-13", "vm-14", "vm-15"};
    cr_assert(lender_names(table) == expected_lenders);
    table.version = 1;
    lender_directory directory("address-10", "domain-0");
    cr_assert(directory.apply(table));
    const auto now = time_point(seconds(100));
    const std::vector<std::string> expected_addresses{
        "address-13", "address-11", "address-14", "address-15"};
    cr_assert(directory.addresses_to_ask("gate", "address-11", now) ==
              expected_addresses);
    const auto is_asked = [&](milliseconds after)
    {
        return directory.addresses_to_ask("gate", "", now + after).front() ==
               "address-13";
    };
    directory.on_unanswered("address-13", now);
    directory.on_unanswered("address-13", now);
    cr_assert(!is_asked(milliseconds(999)) && is_asked(milliseconds(1000)));
    directory.on_unanswered("address-13", now + milliseconds(1000));
    cr_assert(!is_asked(milliseconds(2999)) && is_asked(milliseconds(3000)));
    directory.on_answered("address-13");
    cr_assert(is_asked(milliseconds(1)));
}

// Guards against a lender that is gone for good: its domain's callers waited
// for it, and its part of every limit was missing, until the end of the day.
Test(limit_shares, a_lender_that_is_gone_is_replaced)
{
    auto members = fifteen_members();
    members.put({"vm-25", "address-25", 1, "domain-0", 500, 1});
    std::set<std::string> absent;
    auto now = time_point(seconds(100));
    lender_assigner assigner;
    assigner.on_elected(now);
    const lender_input input{&members, "vm-10",
                             [&](const std::string& vm)
                             { return !absent.contains(vm); },
                             members.lowest_level()};
    auto table = assigner.update({}, input, now).value();
    cr_assert(lender_names(table) ==
              std::set<std::string>({"vm-13", "vm-14", "vm-15"}));
    absent = {"vm-13", "vm-16"};
    now += milliseconds(1000);
    cr_assert(!assigner.update(table, input, now), "silent for a moment only");
    now += lender_assigner::max_absence;
    table = assigner.update(table, input, now).value();
    cr_assert(lender_names(table) ==
              std::set<std::string>({"vm-14", "vm-15", "vm-19"}));
    cr_assert(table.former_lenders == std::vector<std::string>{"vm-13"});
    // The lenders do not change back.
    absent.clear();
    now += lender_assigner::former_lender_time;
    table = assigner.update(table, input, now).value();
    cr_assert(lender_names(table).contains("vm-19"));
    cr_assert(table.former_lenders.empty());
    const auto parsed = parse_lender_table(serialize_lender_table(table), 0);
    cr_assert(succeeded(parsed) && value_of(parsed) == table);
    // A member of an earlier build would not know the choice.
    members.put({"vm-26", "address-26", 1, "domain-1", 500, 0});
    auto mixed = input;
    mixed.level = members.lowest_level();
    cr_assert(lender_names(assigner.update(table, mixed, now).value()) ==
              lender_names(derive_lenders(members)));
}
