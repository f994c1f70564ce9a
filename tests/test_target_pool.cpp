/// Tests of the pool of target sessions with emulated servers over loopback
/// connections.
///
/// Each scenario is a function outside its test, because GCC 12 cannot compile
/// coroutines inside Criterion's test functions.
#include "../platform/line_codec.hpp"
#include "fakes/port_block.hpp"
#include "platform_emulator.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/process/serving/target_pool.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>

using namespace oleandergrade;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace
{

/// Criterion runs several tests at the same time, so each needs its own ports.
constexpr unsigned short ports_per_test = 20;
constexpr unsigned max_test_index = 19;
constexpr std::uint32_t slots_per_target = 3;
const std::string group = "group-0";
const std::vector<std::string> target_ids{"i-0-0", "i-0-1", "i-0-2"};

/// What became of the requests of a scenario.
struct request_counts
{
    unsigned served = 0;
    unsigned refused = 0;
    unsigned refused_without_retry_time = 0;
    /// Longest time between the arrival and the refusal of a request.
    duration longest_refused_wait{0};
    /// Largest number of sessions in use at each target.
    std::map<std::string, std::uint32_t> max_busy;
};

/// A pool with the sessions of one group, whose first server is the primary.
class pool_fixture
{
public:
    /// `test_index` is the test's number; each test of this file needs a
    /// different one.
    explicit pool_fixture(unsigned test_index,
                          milliseconds statement_duration = milliseconds(10))
    {
        const auto port = static_cast<unsigned short>(
            fakes::first_port_of_tests() + test_index * ports_per_test);
        cr_assert(test_index <= max_test_index);
        standins::emulator_settings settings;
        settings.group_names = {group};
        settings.store_port = port;
        settings.promotion_port = static_cast<unsigned short>(port + 1);
        settings.first_server_port = static_cast<unsigned short>(port + 2);
        settings.slots_per_server = slots_per_target;
        settings.max_connections_per_server = 60;
        settings.statement_duration = statement_duration;
        emulator =
            std::make_unique<standins::platform_emulator>(context, settings);
        emulator->put_configuration(1, {{"shore", "key-1"}, {"reef", "key-2"}},
                                    200);
        for (unsigned i = 0; i < target_ids.size(); ++i)
        {
            target_record record;
            record.id = target_ids[i];
            record.group = group;
            record.address =
                "127.0.0.1:" + std::to_string(settings.first_server_port + i);
            record.slots = slots_per_target;
            view.registry.put(record);
        }
        primary_record record;
        record.group = group;
        record.term = 1;
        record.target = target_ids.front();
        record.is_open = true;
        record.revision = 10;
        view.authority.on_record(record);
        view.authority.on_grant(1, current_time(), seconds(60));
        pool =
            std::make_unique<target_pool>(context.get_executor(), codec, view);
        pool->set_connection_shares({{group, {30, std::nullopt}}});
    }

    /// Runs a scenario. The test fails if it has not ended after 20 s.
    void
    run(const std::function<asio::awaitable<void>(pool_fixture&)>& scenario)
    {
        bool ended = false;
        asio::co_spawn(context, scenario(*this),
                       [&](std::exception_ptr failure)
                       {
                           ended = failure == nullptr;
                           context.stop();
                       });
        context.run_for(seconds(20));
        cr_assert(ended,
                  "the scenario threw an exception or did not end within 20 s");
    }

    asio::io_context context{1};
    std::unique_ptr<standins::platform_emulator> emulator;
    platform::line_codec codec;
    serving_view view;
    std::unique_ptr<target_pool> pool;
    request_counts counts;
    unsigned pending = 0;
};

placement_request make_request(const std::string& account, bool needs_primary)
{
    placement_request request;
    request.group = group;
    request.account = account;
    request.needs_primary = needs_primary;
    request.consistency = read_consistency::bounded_age;
    request.max_age = seconds(60);
    return request;
}

placement_times make_times(milliseconds objective, milliseconds time_budget)
{
    const auto now = current_time();
    return {now, now + objective, now + time_budget, now + time_budget};
}

/// Sends a statement in the session and returns whether it succeeded.
asio::awaitable<bool> send_in(pool_fixture& fixture, placement& used,
                              std::string text)
{
    std::string bytes;
    fixture.codec.append_statement(bytes, "1", text, std::nullopt);
    auto outcome =
        co_await used.session->exchange(std::move(bytes), 1, seconds(5));
    co_return succeeded(outcome) && value_of(outcome).front().succeeded();
}

asio::awaitable<void> run_read(pool_fixture& fixture, std::string account,
                               bool needs_primary, milliseconds objective,
                               milliseconds time_budget)
{
    auto& counts = fixture.counts;
    const auto arrived_at = current_time();
    auto outcome =
        co_await fixture.pool->acquire(make_request(account, needs_primary),
                                       make_times(objective, time_budget));
    if (auto* found = std::get_if<placement>(&outcome))
    {
        for (const auto& id : target_ids)
            counts.max_busy[id] =
                std::max(counts.max_busy[id], fixture.pool->busy_count(id));
        const bool has_succeeded = co_await send_in(
            fixture, *found, fixture.codec.encode_read("item"));
        counts.served += has_succeeded ? 1 : 0;
        fixture.pool->release(found->session);
    }
    else
    {
        ++counts.refused;
        if (std::get<placement_refusal>(outcome).retry_after.count() == 0)
            ++counts.refused_without_retry_time;
        counts.longest_refused_wait =
            std::max(counts.longest_refused_wait, current_time() - arrived_at);
    }
    --fixture.pending;
}

/// Starts `count` reads at the same time.
void start_reads(pool_fixture& fixture, unsigned count, bool needs_primary,
                 milliseconds objective, milliseconds time_budget)
{
    fixture.view.positions[group].observe({1, 0}, current_time());
    fixture.pending = count;
    for (unsigned i = 0; i < count; ++i)
        asio::co_spawn(fixture.context,
                       run_read(fixture, i % 2 == 0 ? "shore" : "reef",
                                needs_primary, objective, time_budget),
                       asio::detached);
}

asio::awaitable<void> wait_until_ended(pool_fixture& fixture)
{
    while (fixture.pending != 0)
        co_await sleep_for(milliseconds(5));
}

asio::awaitable<void> run_reads(pool_fixture& fixture, unsigned count,
                                milliseconds objective,
                                milliseconds time_budget)
{
    start_reads(fixture, count, false, objective, time_budget);
    co_await wait_until_ended(fixture);
}

asio::awaitable<void> serve_many_reads(pool_fixture& fixture)
{
    co_await run_reads(fixture, 60, milliseconds(5000), milliseconds(10000));
}

asio::awaitable<void> use_slot_of_waiting_transaction(pool_fixture& fixture)
{
    auto first = co_await fixture.pool->acquire(
        make_request("shore", true),
        make_times(milliseconds(500), milliseconds(1000)));
    auto& transaction = std::get<placement>(first);
    const bool has_begun = co_await send_in(fixture, transaction,
                                            fixture.codec.encode_begin(false));
    cr_assert(has_begun);
    auto second = co_await fixture.pool->acquire(
        make_request("reef", true),
        make_times(milliseconds(500), milliseconds(1000)));
    cr_assert(std::holds_alternative<placement>(second));
    fixture.pool->release(std::get<placement>(second).session);
    fixture.pool->release(transaction.session);
}

void set_primary_open(pool_fixture& fixture, bool is_open)
{
    auto record = *fixture.view.authority.find(group);
    record.is_open = is_open;
    ++record.revision;
    fixture.view.authority.on_record(record);
    fixture.view.wait_estimator.on_record(record, current_time());
    fixture.pool->serve_waiting(group);
}

asio::awaitable<void> wait_for_lost_primary(pool_fixture& fixture)
{
    set_primary_open(fixture, false);
    start_reads(fixture, 40, true, milliseconds(100), milliseconds(5000));
    co_await sleep_for(milliseconds(250));
    cr_assert(fixture.pool->waiting_count() == 40);
    set_primary_open(fixture, true);
    co_await wait_until_ended(fixture);
}

asio::awaitable<void> refuse_what_cannot_be_served(pool_fixture& fixture)
{
    // The service time is known only after some requests.
    co_await run_reads(fixture, 9, milliseconds(1000), milliseconds(2000));
    fixture.counts = {};
    const auto statements_before = fixture.emulator->counters().statements;
    co_await run_reads(fixture, 300, milliseconds(200), milliseconds(600));
    const auto& counts = fixture.counts;
    const auto statements =
        fixture.emulator->counters().statements - statements_before;
    cr_log_info(
        "served %u, refused %u, longest wait until a refusal %lld ms",
        counts.served, counts.refused,
        static_cast<long long>(to_milliseconds(counts.longest_refused_wait)));
    cr_assert(counts.served + counts.refused == 300);
    cr_assert(statements == counts.served);
    cr_assert(counts.refused >= 100);
    cr_assert(counts.served >= 50);
    cr_assert(counts.refused_without_retry_time == 0);
    cr_assert(counts.longest_refused_wait < milliseconds(150));
}

} // namespace

ReportHook(PRE_ALL)(criterion_test_set*)
{
    fakes::claim_ports_of_tests((max_test_index + 1) * ports_per_test);
}

// More statements than slots would wait at the target, where their order cannot
// be changed, or be rejected.
Test(target_pool, a_slot_limit_bounds_the_statements_at_each_target)
{
    pool_fixture fixture(0);
    fixture.pool->set_slot_limits({{group, slots_per_target}});
    fixture.run(serve_many_reads);
    cr_assert(fixture.counts.served == 60);
    for (const auto& id : target_ids)
        cr_assert(fixture.counts.max_busy[id] == slots_per_target, "%u",
                  fixture.counts.max_busy[id]);
}

// A VM that does not hold the sessions of the whole fleet must not keep to a
// number of slots of which it sees only a part of the load.
Test(target_pool, without_a_slot_limit_only_connections_are_limited)
{
    pool_fixture fixture(1);
    fixture.run(serve_many_reads);
    cr_assert(fixture.counts.served == 60);
    cr_assert(fixture.counts.max_busy[target_ids[1]] > slots_per_target);
}

// A transaction whose caller pauses must not keep others from the target.
Test(target_pool, a_waiting_transaction_occupies_no_slot)
{
    pool_fixture fixture(2);
    fixture.pool->set_slot_limits({{group, 1}});
    fixture.run(use_slot_of_waiting_transaction);
}

// A refusal at the end of the wait costs the caller the time in which it could
// have retried elsewhere.
Test(target_pool, what_cannot_be_served_is_refused_at_once_and_does_not_run)
{
    pool_fixture fixture(3, milliseconds(40));
    fixture.pool->set_slot_limits({{group, slots_per_target}});
    fixture.run(refuse_what_cannot_be_served);
}

// All VMs that have waited for a primary send to it at the same time when it
// recovers. Each keeps to the target's slots, also without a slot limit.
Test(target_pool, a_recovered_primary_is_given_as_many_statements_as_slots)
{
    pool_fixture fixture(4);
    fixture.run(wait_for_lost_primary);
    cr_assert(fixture.counts.served == 40);
    cr_assert(fixture.counts.max_busy[target_ids.front()] <= slots_per_target,
              "%u", fixture.counts.max_busy[target_ids.front()]);
}

namespace
{

/// Accepts one session, and answers its first statement twice.
asio::awaitable<void> answer_twice(tcp::acceptor& acceptor)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 256> chunk{};
    co_await socket.async_read_some(asio::buffer(chunk), asio::use_awaitable);
    const std::string greeting = "READY I 1.1\r\n";
    co_await asio::async_write(socket, asio::buffer(greeting),
                               asio::use_awaitable);
    co_await socket.async_read_some(asio::buffer(chunk), asio::use_awaitable);
    const std::string answers = "ROW first\r\nCOMPLETE m1\r\nREADY I 1.1\r\n"
                                "ROW second\r\nCOMPLETE m2\r\nREADY I 1.1\r\n";
    co_await asio::async_write(socket, asio::buffer(answers),
                               asio::use_awaitable);
    co_await sleep_for(seconds(2));
}

asio::awaitable<void> exchange_once(asio::io_context& context,
                                    tcp::endpoint endpoint, std::string& row,
                                    bool& is_usable)
{
    const platform::line_codec codec;
    const auto session = std::make_shared<target_session>(
        context.get_executor(), codec, target_session_key{"i-1", "g", "shore"});
    const auto opened = co_await session->open(endpoint, seconds(1));
    cr_assert(succeeded(opened));
    const auto answers =
        co_await session->exchange("QUERY 1 READ a\r\n", 1, seconds(1));
    cr_assert(succeeded(answers));
    row = value_of(answers).front().rows;
    is_usable = session->is_open() || session->is_connection_usable();
    context.stop();
}

} // namespace

// Guards against an answer that nobody has asked for and that the next caller
// of a session at a target receives as its own.
Test(target_pool, a_session_with_an_answer_too_many_is_not_used_again)
{
    constexpr unsigned test_index = max_test_index;
    asio::io_context context;
    tcp::acceptor acceptor(
        context, {asio::ip::address_v4::loopback(),
                  static_cast<unsigned short>(fakes::first_port_of_tests() +
                                              test_index * ports_per_test)});
    std::string row;
    bool is_usable = true;
    asio::co_spawn(context, answer_twice(acceptor), asio::detached);
    asio::co_spawn(
        context,
        exchange_once(context, acceptor.local_endpoint(), row, is_usable),
        asio::detached);
    context.run_for(seconds(3));
    cr_assert(row == "ROW first\r\n", "%s", row.c_str());
    cr_assert(!is_usable);
}

// Guards against idle sessions at targets that keep what their last caller set.
Test(target_pool, idle_sessions_forget_large_values_and_are_reset)
{
    asio::io_context context;
    const platform::line_codec codec;
    target_session session(context.get_executor(), codec,
                           {"i-0", "group-0", "shore"});
    session.session_values["small"] = "value";
    session.forget_large_state();
    cr_assert(session.session_values.size() == 1 && !session.needs_reset);
    session.session_values["large"] = std::string(1024 * 1024, 'x');
    session.forget_large_state();
    cr_assert(session.session_values.empty() && session.needs_reset);
}
