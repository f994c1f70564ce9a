/// Tests of sessions of callers whose ends, time-outs, stops and answers come
/// in any order. Emulated server, loopback connections, one executor.
///
/// Each scenario is a function outside its test, because GCC 12 cannot compile
/// coroutines inside Criterion's test functions.
#include "../platform/line_codec.hpp"
#include "fakes/port_block.hpp"
#include "platform_emulator.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/invariant.hpp>
#include <oleandergrade/process/serving/session_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <random>
#include <thread>

using namespace oleandergrade;
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

/// Criterion runs several tests at the same time, so each needs its own ports.
constexpr unsigned max_test_index = 9;
constexpr unsigned short ports_per_test = 10;
constexpr auto idle_timeout = milliseconds(20);
const std::string group = "group-0";
const std::string target = "i-0-0";

/// A VM that serves one database, at a single server.
class session_fixture
{
public:
    /// `test_index` is the test's number; each test of this file needs a
    /// different one.
    explicit session_fixture(unsigned test_index)
        : port(static_cast<unsigned short>(fakes::first_port_of_tests() +
                                           test_index * ports_per_test)),
          emulator(context, make_settings(port)),
          pool(context.get_executor(), codec, view),
          limiter({milliseconds(5000), 0, 0}, true),
          runner(codec, configuration, view, pool, limiter, metrics),
          server(context, caller_endpoint(), codec, runner, configuration, {})
    {
        abort_on_invariant_failure(true);
        route_table table;
        table.version = 1;
        table.transaction_idle_timeout = idle_timeout;
        route database;
        database.database = "surveys";
        database.group = group;
        database.statement_timeout = milliseconds(2000);
        database.is_public = true;
        table.routes["surveys"] = database;
        configuration.apply(std::make_shared<const route_table>(table));
        target_record server_record;
        server_record.id = target;
        server_record.group = group;
        server_record.address = "127.0.0.1:" + std::to_string(port + 2);
        view.registry.put(server_record);
        primary_record record;
        record.group = group;
        record.term = 1;
        record.target = target;
        record.is_open = true;
        record.revision = 10;
        view.authority.on_record(record);
        view.authority.on_grant(1, current_time(), seconds(60));
        pool.set_connection_shares({{group, {30, std::nullopt}}});
        server.start();
    }

    /// Runs a scenario. The test fails if it has not ended after 20 s.
    void
    run(const std::function<asio::awaitable<void>(session_fixture&)>& scenario)
    {
        bool ended = false;
        asio::co_spawn(context, scenario(*this),
                       [&](std::exception_ptr failure)
                       {
                           ended = failure == nullptr;
                           context.stop();
                       });
        context.run_for(seconds(20));
        cr_assert(ended, "the scenario failed or did not end within 20 s");
    }

    static standins::emulator_settings make_settings(unsigned short port)
    {
        standins::emulator_settings settings;
        settings.group_names = {group};
        settings.servers_per_group = 1;
        settings.store_port = port;
        settings.promotion_port = static_cast<unsigned short>(port + 1);
        settings.first_server_port = static_cast<unsigned short>(port + 2);
        settings.max_connections_per_server = 60;
        settings.slots_per_server = 9;
        return settings;
    }
    tcp::endpoint caller_endpoint() const
    {
        return {asio::ip::address_v4::loopback(),
                static_cast<unsigned short>(port + 3)};
    }

    asio::io_context context{1};
    unsigned short port;
    standins::platform_emulator emulator;
    platform::line_codec codec;
    serving_view view;
    active_configuration configuration;
    serving_metrics metrics;
    target_pool pool;
    operation_limiter limiter;
    statement_runner runner;
    session_server server;
    std::minstd_rand random{1};
    unsigned callers = 0;
};

asio::awaitable<void> run_statement(session_fixture& vm,
                                    served_session& session, std::string text)
{
    const auto message = vm.codec.parse_caller_message("QUERY 1 " + text);
    const auto reply = co_await vm.runner.run(
        session, std::get<session_statement>(value_of(message)));
    cr_assert(reply.outcome.failure == session_error::none, "%s",
              reply.outcome.reason.c_str());
}

asio::awaitable<void> fail_during_rollback(session_fixture& vm)
{
    served_session session;
    session.database = "surveys";
    co_await run_statement(vm, session, "BEGIN");
    co_await run_statement(vm, session, "WRITE item data");
    const std::weak_ptr used = session.pinned_placement->session;
    vm.emulator.set_unresponsive(target, true);
    bool has_ended = false;
    asio::co_spawn(vm.context, vm.runner.abandon_transaction(session),
                   [&](std::exception_ptr) { has_ended = true; });
    co_await sleep_for(milliseconds(5));
    vm.runner.fail_transaction(session);
    cr_assert(!has_ended && !used.expired());
    cr_assert(vm.pool.busy_count(target) == 1);
    vm.emulator.set_unresponsive(target, false);
    while (!has_ended)
        co_await sleep_for(milliseconds(5));
    cr_assert(vm.pool.busy_count(target) == 0);
    cr_assert(session.caller_state.transaction() == transaction_state::none);
}

asio::awaitable<void> time_out_after_failure(session_fixture& vm)
{
    served_session session;
    session.database = "surveys";
    co_await run_statement(vm, session, "BEGIN");
    co_await run_statement(vm, session, "WRITE item data");
    // As after an answer of the target that says so.
    session.caller_state.fail_transaction();
    vm.runner.fail_transaction(session);
    cr_assert(vm.pool.busy_count(target) == 0);
}

asio::awaitable<void> rest_after_second_begin(session_fixture& vm)
{
    tcp::socket socket(vm.context);
    co_await socket.async_connect(vm.caller_endpoint(), asio::use_awaitable);
    std::string received;
    for (const std::string line :
         {"CONNECT surveys -", "QUERY 1 BEGIN", "QUERY 2 WRITE item data",
          "QUERY 3 COMMIT", "QUERY 4 BEGIN", "QUERY 5 READ item"})
    {
        if (line.starts_with("QUERY 5"))
            co_await sleep_for(idle_timeout + milliseconds(5));
        co_await asio::async_write(socket, asio::buffer(line + "\r\n"),
                                   asio::use_awaitable);
        co_await asio::async_read_until(socket, asio::dynamic_buffer(received),
                                        "READY", asio::use_awaitable);
        cr_assert(received.find("ERROR") == std::string::npos, "%s",
                  received.c_str());
        received.clear();
    }
}

/// A caller that begins transactions and ends or leaves them near the idle
/// time-out.
asio::awaitable<void> run_caller(session_fixture& vm)
{
    constexpr unsigned sessions = 12;
    for (unsigned i = 0; i < sessions; ++i)
    {
        tcp::socket socket(vm.context);
        error_code failure;
        co_await socket.async_connect(
            vm.caller_endpoint(),
            asio::redirect_error(asio::use_awaitable, failure));
        std::string received;
        for (const std::string line :
             {"CONNECT surveys -", "QUERY 1 BEGIN", "QUERY 2 WRITE item data",
              vm.random() % 4 == 0 ? "QUERY 3 COMMIT" : "QUERY 3 READ item",
              "QUERY 4 BEGIN", "QUERY 5 READ item", "QUERY 6 ROLLBACK"})
        {
            co_await asio::async_write(
                socket, asio::buffer(line + "\r\n"),
                asio::redirect_error(asio::use_awaitable, failure));
            if (vm.random() % 8 == 0)
                break;
            const auto end = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "READY",
                asio::redirect_error(asio::use_awaitable, failure));
            received.erase(0, end);
            if (vm.random() % 3 == 0)
                co_await sleep_for(idle_timeout -
                                   milliseconds(vm.random() % 3));
        }
    }
    --vm.callers;
}

/// Callers, silent servers, planned stops of transactions and a VM that now and
/// then has no processor time.
asio::awaitable<void> disturb_callers(session_fixture& vm)
{
    constexpr unsigned max_callers = 16;
    for (; vm.callers < max_callers; ++vm.callers)
        asio::co_spawn(vm.context, run_caller(vm), asio::detached);
    while (vm.callers > 0 || vm.server.session_count() > 0)
    {
        vm.emulator.set_unresponsive(target, vm.random() % 3 == 0);
        if (vm.random() % 8 == 0)
            vm.server.fail_transactions();
        std::this_thread::sleep_for(milliseconds(vm.random() % 4));
        co_await sleep_for(milliseconds(vm.random() % 8));
    }
    cr_assert(vm.pool.busy_count(target) == 0);
}

} // namespace

ReportHook(PRE_ALL)(criterion_test_set*)
{
    fakes::claim_ports_of_tests((max_test_index + 1) * ports_per_test);
}

// Guards against a session at a target that is freed, or given to another
// caller, while its rollback is under way.
Test(session_events, a_time_out_during_a_rollback_leaves_it_the_session)
{
    session_fixture vm(0);
    vm.run(fail_during_rollback);
}

// Guards against any order of close, time-out, stop and answer in which a
// session at a target is released by another than its user, or is never.
Test(session_events, any_order_of_events_leaves_sessions_to_their_users)
{
    session_fixture vm(1);
    vm.run(disturb_callers);
}

// Guards against a failed transaction that keeps its session at the target for
// as long as its caller is idle, or for good if its caller used HTTP.
Test(session_events, a_failed_transaction_gives_its_session_back)
{
    session_fixture vm(2);
    vm.run(time_out_after_failure);
}

// Guards against a transaction that is ended by the idle time-out of the one
// before.
Test(session_events, a_time_out_ends_no_later_transaction)
{
    session_fixture vm(3);
    vm.run(rest_after_second_begin);
}
