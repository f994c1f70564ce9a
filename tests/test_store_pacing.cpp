/// Tests of how a fleet paces its calls to the store when all VMs start at
/// once. They run without network connections.
#include "loaded_store.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/process/configuration/store_mirror.hpp>
#include <oleandergrade/process/membership/member_registration.hpp>
#include <oleandergrade/process/membership/peer_sample.hpp>
#include <oleandergrade/process/membership/probe_selection.hpp>
#include <oleandergrade/process/membership/store_pacing.hpp>
#include <oleandergrade/process/store_layout.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <set>

using namespace oleandergrade;
namespace asio = boost::asio;

namespace
{

/// The longest time from the start of the last VM until all are members and
/// know each other.
constexpr auto recovery_limit = milliseconds(4000);

/// Bound of the calls of a start for each VM: a read and a watch of two
/// prefixes, the registration, and a few more watches.
constexpr unsigned max_start_calls_per_vm = 10;

fleet_member member_of(std::size_t index)
{
    char name[16];
    std::snprintf(name, sizeof name, "vm-%03zu", index);
    return {name, "127.0.0.1:1", 1, "domain-" + std::to_string(index % 3), 120};
}

/// What a test assumes about the fleet.
struct fleet_options
{
    /// The registrations of all VMs are in the store, as after a mass loss.
    bool is_registered_before = false;
    /// The VMs know from their seeds how many they are.
    bool knows_size = true;
    /// False shows what the calls are without pacing.
    bool is_paced = true;
    /// Time between the starts of two VMs.
    milliseconds start_interval{5};
    /// Time from the first registration until there is a leader.
    milliseconds election_time{500};
};

/// Whether a leader has been elected: soon after the first registration.
class leader_model
{
public:
    explicit leader_model(milliseconds election_time)
        : election_time_(election_time)
    {
    }

    void on_registered()
    {
        if (!first_registered_at_)
            first_registered_at_ = current_time();
    }

    bool exists() const
    {
        return first_registered_at_ &&
               current_time() - *first_registered_at_ > election_time_;
    }

private:
    milliseconds election_time_;
    std::optional<time_point> first_registered_at_;
};

/// The parts of a VM that call the store: the follower of the
/// fleet's own keys, the follower of the configuration and the registration.
class starting_vm
{
public:
    starting_vm(asio::io_context& context, metadata_store& store,
                leader_model& leader, std::size_t index, std::size_t fleet_size,
                fleet_options options)
        : self_(member_of(index)),
          seed_count_(options.knows_size ? fleet_size : 0), options_(options),
          own_keys_(context.get_executor(), store, own_prefix, seconds(1),
                    {[this](const stored_range& range)
                     {
                         for (const auto& item : range.items)
                             add_member(item.value);
                     },
                     [this](const stored_change& change)
                     {
                         add_member(change.value.value_or(""));
                         own_keys_.delay_next_watch(pacing().watch_pause());
                     },
                     [this] { update_retry_delays(); }}),
          configuration_(
              context.get_executor(), store, "op/", seconds(1),
              {[](const stored_range&) {}, [](const stored_change&) {}}),
          targets_(context.get_executor(), store, "servers/", seconds(1),
                   {[](const stored_range&) {}, [](const stored_change&) {}}),
          registration_(
              store, members_prefix + self_.name, self_,
              {[this] { return pacing(); }, [this]
               { return own_keys_.is_connected() || own_keys_.is_paused(); }},
              static_cast<unsigned>(index + 1)),
          leader_(leader)
    {
        own_keys_.start();
        configuration_.set_mode(follow_mode::assisted);
        configuration_.start();
        targets_.set_mode(follow_mode::paused);
        targets_.start();
        asio::co_spawn(context, register_self(), asio::detached);
        asio::co_spawn(context, update(), asio::detached);
    }

    bool is_registered() const { return registered_; }
    bool has_configuration() const { return configuration_.has_read(); }

private:
    void add_member(const std::string& value)
    {
        if (auto member = parse_fleet_member(value); succeeded(member))
            members_.put(value_of(member));
    }

    store_pacing pacing() const
    {
        if (!options_.is_paced)
            return {0, 0};
        const auto size = std::max<std::size_t>(members_.size(), seed_count_);
        const bool is_listed = members_.find(self_.name) != nullptr;
        return {size, is_listed ? members_.rank_of(self_.name) : size};
    }

    asio::awaitable<void> register_self()
    {
        co_await registration_.run();
        registered_ = true;
        leader_.on_registered();
    }

    /// What the report loop of a VM does: while there is no leader, the first
    /// two VMs of each failure domain follow the store, and the others after a
    /// delay. The leader's grants need no call of the store.
    asio::awaitable<void> update()
    {
        for (;;)
        {
            update_modes();
            co_await sleep_for(milliseconds(250));
        }
    }

    void update_modes()
    {
        const bool has_grant = registered_ && leader_.exists();
        const auto rank = members_.rank_in_domain(self_.name);
        const bool is_follower =
            pacing().is_large_fleet() ? rank < 2 : members_.size() < 12;
        const auto delay =
            milliseconds(700) +
            store_pacing::follow_delay(
                rank, members_.domain_size(self_.failure_domain));
        auto mode = has_grant ? follow_mode::assisted : follow_mode::confirming;
        if (!is_follower && (has_grant || current_time() - started_at_ < delay))
            mode = follow_mode::paused;
        const bool is_confirming = mode == follow_mode::confirming;
        own_keys_.set_mode(mode);
        update_retry_delays();
        if (!own_keys_.has_read())
            return;
        configuration_.set_mode(is_confirming ? mode : follow_mode::assisted);
        targets_.set_mode(is_confirming ? mode : follow_mode::paused);
    }

    fleet_member self_;
    void update_retry_delays()
    {
        const milliseconds none(0);
        const bool is_paced = pacing().is_large_fleet();
        own_keys_.set_retry_delays(is_paced ? store_pacing::initial_retry_delay
                                            : none,
                                   pacing().retry_delay_limit());
        auto initial_delay = none;
        auto delay_limit = none;
        if (is_paced && own_keys_.is_connected() && !own_keys_.is_paused() &&
            own_keys_.status(current_time()).unanswered_for <= seconds(1))
        {
            initial_delay = store_pacing::initial_answered_retry_delay;
            delay_limit = store_mirror::max_retry_delay(vm_settings{});
        }
        else if (is_paced)
            initial_delay = delay_limit =
                store_pacing::max_dependent_retry_delay;
        for (auto* follower : {&configuration_, &targets_})
            follower->set_retry_delays(initial_delay, delay_limit);
    }

    std::size_t seed_count_;
    fleet_options options_;
    member_list members_;
    store_follower own_keys_;
    store_follower configuration_;
    store_follower targets_;
    member_registration registration_;
    bool registered_ = false;
    leader_model& leader_;
    const time_point started_at_ = current_time();
};

/// A fleet whose VMs start in quick succession.
struct starting_fleet
{
    starting_fleet(std::size_t size, fleet_options options)
        : leader(options.election_time)
    {
        store.put("op/config", "{}");
        if (options.is_registered_before)
            for (std::size_t index = 0; index < size; ++index)
                store.put(members_prefix + member_of(index).name,
                          serialize_fleet_member(member_of(index)));
        fleet_size = size;
        fleet_options_ = options;
    }

    /// Starts the VMs one after another.
    asio::awaitable<void> start_vms()
    {
        for (std::size_t index = 0; index < fleet_size; ++index)
        {
            vms.push_back(std::make_unique<starting_vm>(
                context, store, leader, index, fleet_size, fleet_options_));
            co_await sleep_for(fleet_options_.start_interval);
        }
    }

    void start() { asio::co_spawn(context, start_vms(), asio::detached); }

    bool is_complete() const
    {
        return vms.size() == fleet_size &&
               std::all_of(vms.begin(), vms.end(),
                           [&](const auto& vm) {
                               return vm->is_registered() &&
                                      vm->has_configuration();
                           });
    }

    /// Returns how long it takes until all VMs know each other, at most
    /// `timeout`.
    duration run_until_complete(duration timeout)
    {
        const auto start = current_time();
        while (!is_complete() && current_time() - start < timeout)
            context.run_for(milliseconds(20));
        return current_time() - start;
    }

    asio::io_context context;
    fakes::loaded_store store;
    leader_model leader;
    std::size_t fleet_size = 0;
    fleet_options fleet_options_;
    std::vector<std::unique_ptr<starting_vm>> vms;
};

/// Starts a fleet and checks the number of its calls in the first 4 s.
void expect_bounded_start(std::size_t size, fleet_options options)
{
    starting_fleet fleet(size, options);
    fleet.start();
    const auto took = fleet.run_until_complete(
        recovery_limit + options.start_interval * static_cast<int>(size));
    fleet.context.run_for(recovery_limit -
                          std::min<duration>(took, recovery_limit));
    cr_log_info("%zu VMs: complete after %lld ms; %u calls, %u refused", size,
                static_cast<long long>(to_milliseconds(took)),
                fleet.store.calls(), fleet.store.refused_calls());
    cr_assert(fleet.is_complete(), "%zu VMs", size);
    cr_assert(fleet.store.calls() <= max_start_calls_per_vm * size,
              "%zu VMs: %u calls", size, fleet.store.calls());
    cr_assert(fleet.store.refused_calls() == 0, "%zu VMs: %u refused", size,
              fleet.store.refused_calls());
}

} // namespace

// Guards against a store that is overloaded by the start of a fleet: a
// registration must not cause a call of every VM.
Test(store_pacing, calls_of_a_first_start_are_bounded)
{
    for (const std::size_t size : {54U, 90U, 300U})
        expect_bounded_start(size, {});
}

// The same when the VMs have no seeds and learn the size of the fleet from the
// registrations only.
Test(store_pacing, calls_of_a_first_start_without_seeds_are_bounded)
{
    for (const std::size_t size : {54U, 90U, 300U})
        expect_bounded_start(size, {.knows_size = false});
}

// The same after a mass loss, when all registrations are in the store. All VMs
// call the store at once; measured: 54 VMs made 3,000 calls.
Test(store_pacing, calls_of_a_restart_are_bounded)
{
    for (const std::size_t size : {54U, 90U, 300U})
        expect_bounded_start(size, {.is_registered_before = true});
}

// Guards against watches that follow each registration. The VMs start one after
// another and have no leader meanwhile.
Test(store_pacing, registrations_in_succession_cause_few_watches)
{
    constexpr std::size_t size = 300;
    const auto calls = [&](bool is_paced)
    {
        starting_fleet fleet(size, {.is_paced = is_paced,
                                    .start_interval = milliseconds(10),
                                    .election_time = seconds(10)});
        fleet.start();
        fleet.context.run_for(seconds(4));
        cr_log_info("%zu VMs without a leader, paced %d: %u calls", size,
                    is_paced, fleet.store.calls());
        return fleet.store.calls();
    };
    const auto paced = calls(true);
    cr_assert(paced <= max_start_calls_per_vm * size, "%u calls", paced);
    cr_assert(calls(false) > paced * 3 / 2);
}

// Guards against VMs that call an unavailable store all the time: the failed
// calls of a fleet stay below 40 per second for each 100 VMs, and the VMs are
// soon complete when the store is available again.
static void expect_few_failed_calls(std::size_t size)
{
    constexpr unsigned outage_seconds = 12;
    // Until then the delays between the calls grow.
    constexpr unsigned first_second = 5;
    starting_fleet fleet(size, {.is_registered_before = true});
    fleet.store.set_unavailable(true);
    fleet.start();
    fleet.context.run_for(seconds(outage_seconds));
    const auto counts = fleet.store.seconds();
    unsigned failed = 0;
    for (unsigned second = first_second; second < outage_seconds; ++second)
        failed += counts[second].refused;
    const auto rate = failed / double(outage_seconds - first_second);
    cr_log_info("%zu VMs, store unavailable: %u failed calls in the first %u "
                "s, then %.1f per second",
                size, fleet.store.refused_calls() - failed, first_second, rate);
    cr_assert(rate < 0.4 * static_cast<double>(size), "%.1f", rate);
    fleet.store.set_unavailable(false);
    const auto took =
        fleet.run_until_complete(store_pacing::max_retry_delay + seconds(4));
    cr_log_info("%zu VMs: complete %lld ms after the store's return", size,
                static_cast<long long>(to_milliseconds(took)));
    cr_assert(fleet.is_complete());
}

Test(store_pacing, calls_of_54_vms_to_an_unavailable_store_are_bounded)
{
    expect_few_failed_calls(54);
}

Test(store_pacing, calls_of_90_vms_to_an_unavailable_store_are_bounded)
{
    expect_few_failed_calls(90);
}

Test(store_pacing, calls_of_300_vms_to_an_unavailable_store_are_bounded)
{
    expect_few_failed_calls(300);
}

// Guards against calls before the time that the store asked to wait.
Test(store_pacing, a_time_to_wait_is_honoured)
{
    starting_fleet fleet(5, {});
    fleet.store.set_unavailable(true);
    fleet.store.set_retry_after(seconds(2));
    fleet.start();
    fleet.context.run_for(milliseconds(1800));
    // The reads of both prefixes and the registration of each VM.
    cr_assert(fleet.store.calls() <= 15, "%u", fleet.store.calls());
    fleet.store.set_unavailable(false);
    fleet.run_until_complete(seconds(3));
    cr_assert(fleet.is_complete());
}

// Guards against other timings in small deployments.
Test(store_pacing, small_fleets_have_no_delays)
{
    const store_pacing small(large_fleet_size - 1, 5);
    cr_assert(small.watch_pause() == milliseconds(0));
    cr_assert(small.member_list_pause() == milliseconds(0));
    cr_assert(small.registration_spread() == milliseconds(0));
    cr_assert(small.retry_delay_limit() == milliseconds(0));
    const store_pacing large(90, 5);
    cr_assert(large.watch_pause() == milliseconds(450));
    cr_assert(large.registration_spread() == milliseconds(900));
    cr_assert(store_pacing(300, 5).watch_pause() == milliseconds(1500));
    cr_assert(store_pacing(300, 5).registration_spread() == seconds(2));
    // The first candidates do not pause.
    cr_assert(store_pacing(90, 0).watch_pause() == milliseconds(0));
    cr_assert(store_pacing(90, 0).registration_spread() == milliseconds(0));
}

// Guards against VMs of a large domain that all start to follow the store at
// the same time.
Test(store_pacing, following_is_spread_by_rank)
{
    cr_assert(store_pacing::follow_delay(3, 10) == milliseconds(300));
    cr_assert(store_pacing::follow_delay(29, 30) == milliseconds(2900));
    std::set<milliseconds> delays;
    for (std::size_t rank = 0; rank < 100; ++rank)
        delays.insert(store_pacing::follow_delay(rank, 100));
    cr_assert(delays.size() == 100);
    cr_assert(*delays.rbegin() <= store_pacing::max_follow_delay);
}

// Guards against a VM without a leader that opens links to the whole fleet.
Test(store_pacing, a_vm_reports_to_few_others_and_keeps_them)
{
    std::vector<std::string> candidates;
    for (int index = 0; index < 300; ++index)
        candidates.push_back("127.0.0.1:" + std::to_string(index));
    peer_sample sample(3, 7);
    const auto first = sample.choose(candidates);
    cr_assert(first.size() == 3);
    for (int repetition = 0; repetition < 100; ++repetition)
        cr_assert(sample.choose(candidates) == first);
    sample.replace(first[0]);
    const auto second = sample.choose(candidates);
    cr_assert(second.size() == 3);
    cr_assert(std::set<std::string>(second.begin(), second.end()).size() == 3);
    cr_assert(second[0] == first[1] && second[1] == first[2] &&
              second[2] != first[0]);
    // A VM that was removed is replaced as well.
    std::erase(candidates, second[1]);
    const auto third = sample.choose(candidates);
    cr_assert(third.size() == 3 && third[0] == second[0]);
    // With few others, one that did not answer is tried again.
    peer_sample small_sample(3, 7);
    const std::vector<std::string> two{"a", "b"};
    cr_assert(small_sample.choose(two).size() == 2);
    small_sample.replace("a");
    cr_assert(small_sample.choose(two).size() == 2);
}

// The load: a failure domain of 22 VMs is cut off for seconds, and callers
// reach it. Its VMs found each other, took themselves for connected again and
// kept their callers' sessions until the end of the cut.
Test(store_pacing, vms_of_a_domain_that_is_cut_off_do_not_find_each_other)
{
    member_list members;
    const std::vector<std::string> domains{"east", "north", "south", "west"};
    for (int i = 0; i < 87; ++i)
        members.put({"vm-" + std::to_string(i), "address-" + std::to_string(i),
                     1, domains[static_cast<std::size_t>(i) % 4]});
    std::map<std::string, std::string> domain_of;
    for (const auto& [name, member] : members.all())
        domain_of[member.address] = member.failure_domain;
    for (const auto& [name, member] : members.all())
        for (unsigned seed = 1; seed <= 20; ++seed)
        {
            const bool is_cut_off = member.failure_domain == "west";
            probe_selection selection(seed);
            const auto first = selection.addresses(members, name);
            cr_assert(first.size() == probe_selection::max_vms);
            const auto answers = std::count_if(
                first.begin(), first.end(),
                [&](const std::string& address)
                { return (domain_of.at(address) == "west") == is_cut_off; });
            cr_assert((static_cast<std::size_t>(answers) * 2 < first.size()) ==
                      is_cut_off);
            cr_assert(selection.addresses(members, name) == first);
        }
}
