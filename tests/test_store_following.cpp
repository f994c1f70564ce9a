/// Tests of how a VM follows the store when answers are lost. They run without
/// network connections, except for one that is about a connection.
#include "../platform/platform_parts.hpp"
#include "../platform/store_client.hpp"
#include "port_block.hpp"
#include "silent_store.hpp"
#include "soak/loopback_proxy.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/peer_link.hpp>
#include <oleandergrade/process/configuration/store_mirror.hpp>
#include <oleandergrade/process/membership/copy_fetcher.hpp>
#include <oleandergrade/process/membership/fleet_service.hpp>
#include <oleandergrade/process/store_revision.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

using namespace oleandergrade;
namespace asio = boost::asio;

namespace
{

/// Returns the operators' record of a configuration without any route.
std::string configuration_record(std::uint64_t version)
{
    return R"({"Version":)" + std::to_string(version) +
           R"(,"Routes":[],"Services":[],"Limits":{},"Tenants":[]})";
}

/// The parts of a VM that follow the configuration and the targets, before a
/// store that can lose answers.
struct following_vm
{
    following_vm()
        : parts(platform::make_platform_parts(context.get_executor(),
                                              vm_settings{}))
    {
        auto silent = std::make_unique<fakes::silent_store>();
        store = silent.get();
        parts.store = std::move(silent);
        state = std::make_unique<fleet_state>(context.get_executor(),
                                              vm_settings{}, parts);
        mirror = std::make_unique<store_mirror>(context.get_executor(), *state);
    }

    void put_configuration(std::uint64_t version)
    {
        store->put(parts.layout.configuration_key,
                   configuration_record(version));
    }

    /// Runs the VM until the condition holds. Returns whether it holds before
    /// `timeout` has passed.
    template <typename Condition>
    bool run_until(Condition condition, duration timeout)
    {
        const auto deadline = current_time() + timeout;
        while (!condition() && current_time() < deadline)
            context.run_for(milliseconds(5));
        return condition();
    }

    asio::io_context context;
    platform_parts parts;
    fakes::silent_store* store = nullptr;
    std::unique_ptr<fleet_state> state;
    std::unique_ptr<store_mirror> mirror;
};

} // namespace

ReportHook(PRE_ALL)(criterion_test_set*)
{
    fakes::claim_ports_of_tests(1);
}

// Guards against an outdated configuration after a watch that was not answered.
Test(store_following, a_configuration_is_in_force_in_time_after_a_lost_watch)
{
    following_vm vm;
    vm.put_configuration(1);
    vm.mirror->start();
    const auto in_force = [&](std::uint64_t version)
    {
        return vm.run_until(
            [&] { return vm.state->configuration.version() == version; },
            vm.state->settings.configuration_apply_timeout);
    };
    cr_assert(in_force(1));
    vm.context.run_for(milliseconds(50));
    // The watch after this change is the one that gets no answer.
    vm.put_configuration(2);
    cr_assert(in_force(2));
    vm.store->set_silent(true);
    cr_assert(
        vm.run_until([&] { return vm.store->lost_watches() > 0; }, seconds(1)));
    vm.store->set_silent(false);
    vm.put_configuration(3);
    cr_assert(in_force(3), "version 2 is in force 3 s after version 3");
}

// Guards against waiting for an old answer when another VM has shown that this
// one is behind: the watch must be repeated at once.
Test(store_following, a_refresh_repeats_a_lost_watch_at_once)
{
    asio::io_context context;
    fakes::silent_store store;
    unsigned changes = 0;
    store_follower follower(
        context.get_executor(), store, "prefix/", seconds(10),
        {[](const stored_range&) {}, [&](const stored_change&) { ++changes; }});
    follower.start();
    context.run_for(milliseconds(50));
    store.put("prefix/a", "1");
    // The next watch, which follows after a pause of 50 ms, gets no answer.
    while (changes == 0 && context.run_one_for(milliseconds(500)) > 0)
    {
    }
    store.set_silent(true);
    context.run_for(milliseconds(200));
    cr_assert(changes == 1 && store.lost_watches() == 1);
    store.set_silent(false);
    store.put("prefix/a", "2");
    context.run_for(milliseconds(200));
    cr_assert(changes == 1);
    follower.refresh("test");
    context.run_for(milliseconds(50));
    cr_assert(changes == 2);
}

// Guards against a follower that counts as current although it has not asked
// the store since it was paused: the targets that it received before may have
// changed since.
Test(store_following, a_follower_is_not_current_before_it_has_read_again)
{
    asio::io_context context;
    fakes::silent_store store;
    store_follower follower(
        context.get_executor(), store, "prefix/", milliseconds(500),
        {[](const stored_range&) {}, [](const stored_change&) {}});
    follower.start();
    context.run_for(milliseconds(50));
    cr_assert(follower.is_current());
    follower.set_mode(follow_mode::paused);
    context.run_for(milliseconds(50));
    cr_assert(!follower.is_current());
    store.set_silent(true);
    follower.set_mode(follow_mode::confirming);
    context.run_for(milliseconds(200));
    cr_assert(!follower.is_current());
    store.set_silent(false);
    context.run_for(fakes::silent_store::call_timeout + milliseconds(300));
    cr_assert(follower.is_current());
}

// Guards against VMs that each spend a whole account's limits: a VM that has
// not received the list of members must not act as if it were the only one.
Test(store_following, limits_are_divided_by_members_that_are_known)
{
    following_vm vm;
    route_table table;
    table.version = 1;
    table.accounts["gate"] = {"gate", 1, 100, 100};
    vm.state->configuration.apply(
        std::make_shared<const route_table>(std::move(table)));
    const auto admitted_operations = [&](time_point now)
    {
        unsigned count = 0;
        while (count < 1000 && vm.state->limiter.admit("gate", now).admitted)
            ++count;
        return count;
    };
    vm.state->update_limits();
    const auto start = current_time();
    cr_assert(admitted_operations(start) == 0);
    const auto refusal =
        vm.state->limiter.admit("gate", start + milliseconds(500));
    cr_assert(!refusal.admitted && refusal.retry_after > milliseconds(0));
    // The leader's share is valid without the list of members.
    vm.state->limiter.set_shares({{"gate", 10, 10}}, start + milliseconds(500),
                                 start + milliseconds(500));
    cr_assert(admitted_operations(start + milliseconds(1500)) == 10);
    for (const auto* name : {"vm-a", "vm-b", "vm-c", "vm-d"})
        vm.state->members.put({name, "127.0.0.1:1", 1});
    vm.state->update_limits();
    // By now a leader may have given this VM's part to others.
    const auto later = start + seconds(60);
    cr_assert(admitted_operations(later) == 0);
    vm.state->limiter.on_registered(later);
    const auto operations = admitted_operations(later + seconds(2));
    cr_assert(operations > 0 && operations <= 30, "%u", operations);
}

/// Serves one connection of a store: answers the first request with an empty
/// range, leaves the second one unanswered, and sets `closed` when the client
/// has closed the connection.
static asio::awaitable<void> serve_one_read(asio::ip::tcp::acceptor& acceptor,
                                            bool& closed)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> chunk{};
    co_await socket.async_read_some(asio::buffer(chunk), asio::use_awaitable);
    const std::string body = R"({"items":[],"HasMore":false,"AsOf":1})";
    const auto response =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    co_await asio::async_write(socket, asio::buffer(response),
                               asio::use_awaitable);
    boost::system::error_code failure;
    while (!failure)
        co_await socket.async_read_some(
            asio::buffer(chunk),
            asio::redirect_error(asio::use_awaitable, failure));
    closed = true;
}

// Guards against connections to the store that pile up: a watch that is given
// up must close its connection, as the store may never answer it.
Test(store_following, a_watch_that_is_given_up_closes_its_connection)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::address_v4::loopback(), 0});
    bool closed = false;
    asio::co_spawn(context, serve_one_read(acceptor, closed), asio::detached);
    const auto store = platform::make_store_client(
        context.get_executor(),
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    store_follower follower(
        context.get_executor(), *store, "prefix/", seconds(10),
        {[](const stored_range&) {}, [](const stored_change&) {}});
    follower.start();
    context.run_for(milliseconds(300));
    cr_assert(follower.has_read() && !closed);
    follower.refresh("test");
    context.run_for(milliseconds(300));
    cr_assert(closed);
}

/// Serves one request of a store with status 429 and a time to wait.
static asio::awaitable<void> refuse_one_call(asio::ip::tcp::acceptor& acceptor)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> chunk{};
    co_await socket.async_read_some(asio::buffer(chunk), asio::use_awaitable);
    const std::string response = "HTTP/1.1 429 Too Many Requests\r\n"
                                 "Retry-After: 3\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(response),
                               asio::use_awaitable);
}

static asio::awaitable<void> read_once(metadata_store& store,
                                       result<stored_item>& outcome)
{
    outcome = co_await store.read("key");
}

// Guards against calls that come sooner than an overloaded store asks for.
Test(store_following, a_refusal_contains_the_time_that_the_store_asks_for)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::address_v4::loopback(), 0});
    asio::co_spawn(context, refuse_one_call(acceptor), asio::detached);
    const auto store = platform::make_store_client(
        context.get_executor(),
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    result<stored_item> outcome;
    asio::co_spawn(context, read_once(*store, outcome), asio::detached);
    context.run_for(milliseconds(300));
    cr_assert(!succeeded(outcome));
    cr_assert(error_of(outcome).kind == error_kind::refused);
    cr_assert(error_of(outcome).retry_after == seconds(3));
}

/// Answers the requests on one connection to a store, one after another.
static asio::awaitable<void> answer_calls(asio::ip::tcp::acceptor& acceptor,
                                          std::vector<std::string> answers)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> chunk{};
    for (const auto& answer : answers)
    {
        co_await socket.async_read_some(asio::buffer(chunk),
                                        asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(answer),
                                   asio::use_awaitable);
    }
    co_await sleep_for(seconds(1));
}

static std::string store_answer(const std::string& generation,
                                const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
           (generation.empty() ? "" : "store-era: " + generation + "\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Calls of a store whose answers name its generation.
static asio::awaitable<void> call_restored_store(metadata_store& store,
                                                 unsigned& passed)
{
    const auto first = co_await store.read("key");
    passed += succeeded(first) &&
              value_of(first).revision == make_store_revision(3, 100);
    const auto lease = co_await store.create_lease(seconds(1));
    passed += succeeded(lease) && value_of(lease).id == 9;
    // The store returns from a copy, and has given out number 100 again.
    const auto watched =
        co_await store.watch("", value_of(first).revision, milliseconds(10));
    passed +=
        !succeeded(watched) && error_of(watched).kind == error_kind::conflict;
    passed += store.generation() == 4;
    // Neither of these is sent.
    conditional_write change;
    change.key = "key";
    change.value = "value";
    change.expected = {value_of(first)};
    const auto written = co_await store.write(change);
    passed +=
        !succeeded(written) && error_of(written).kind == error_kind::conflict;
    const auto renewed = co_await store.renew_lease(9);
    passed +=
        !succeeded(renewed) && error_of(renewed).kind == error_kind::conflict;
    // A late answer, one without a generation, and an invalid one.
    for (int i = 0; i < 3; ++i)
    {
        const auto outdated = co_await store.read("key");
        passed += !succeeded(outdated) &&
                  error_of(outdated).kind == error_kind::broken;
    }
    const auto last = co_await store.read("key");
    passed += succeeded(last) &&
              value_of(last).revision == make_store_revision(4, 101);
}

// Guards against revisions, conditions and leases that are taken for those of
// another generation of the store, which has given out their numbers again.
Test(store_following, revisions_and_leases_belong_to_a_generation)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::address_v4::loopback(), 0});
    const auto item = [](unsigned revision)
    {
        return R"({"Key":"key","Value":"","Revision":)" +
               std::to_string(revision) + "}";
    };
    asio::co_spawn(
        context,
        answer_calls(acceptor,
                     {store_answer("3", item(100)),
                      store_answer("3", R"({"Lease":9,"TtlMs":1000})"),
                      store_answer("4", R"({"events":[],"AsOf":100})"),
                      store_answer("3", item(102)), store_answer("", item(102)),
                      store_answer("5x", item(102)),
                      store_answer("4", item(101))}),
        asio::detached);
    const auto store = platform::make_store_client(
        context.get_executor(),
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    unsigned passed = 0;
    asio::co_spawn(context, call_restored_store(*store, passed),
                   asio::detached);
    context.run_for(milliseconds(500));
    cr_assert(passed == 10, "%u of 10 checks passed", passed);
}

/// Serves one read of a store. Sends the answer in `part_count` parts, one each
/// `interval`, but only the first `sent_parts` of them.
static asio::awaitable<void> serve_slowly(asio::ip::tcp::acceptor& acceptor,
                                          std::size_t part_count,
                                          std::size_t sent_parts,
                                          milliseconds interval)
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::array<char, 4096> chunk{};
    co_await socket.async_read_some(asio::buffer(chunk), asio::use_awaitable);
    const auto body = R"({"Key":"key","Value":")" + std::string(40'000, 'A') +
                      R"(","Revision":7})";
    const auto response =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto part_size = response.size() / part_count + 1;
    for (std::size_t part = 0; part < sent_parts; ++part)
    {
        co_await sleep_for(interval);
        co_await asio::async_write(
            socket, asio::buffer(response.substr(part * part_size, part_size)),
            asio::use_awaitable);
    }
    co_await socket.async_read_some(asio::buffer(chunk), asio::use_awaitable);
}

/// Reads a key whose value arrives in 10 parts, of which `sent_parts` are sent.
static result<stored_item> read_slow_value(std::size_t sent_parts)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::address_v4::loopback(), 0});
    asio::co_spawn(context,
                   serve_slowly(acceptor, 10, sent_parts, milliseconds(250)),
                   asio::detached);
    const auto store = platform::make_store_client(
        context.get_executor(),
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    result<stored_item> outcome;
    asio::co_spawn(context, read_once(*store, outcome), asio::detached);
    context.run_for(milliseconds(250 * 10 + 1500));
    return outcome;
}

// Guards against a VM that never receives a large configuration over a slow
// link, because the whole answer does not arrive within the timeout of a call.
Test(store_following, a_slow_answer_is_received)
{
    const auto outcome = read_slow_value(10);
    cr_assert(succeeded(outcome), "%s", to_string(error_of(outcome)).c_str());
    cr_assert(value_of(outcome).revision == 7);
}

// An answer that stops to arrive must not be waited for either.
Test(store_following, an_answer_that_stops_to_arrive_is_given_up)
{
    const auto outcome = read_slow_value(5);
    cr_assert(!succeeded(outcome));
    cr_assert(error_of(outcome).kind == error_kind::timeout);
}

namespace
{

/// A store whose connections can fall silent: each answers only the requests
/// that arrive before silence() is called after its opening.
struct falling_silent_store
{
    explicit falling_silent_store(asio::io_context& io_context)
        : context(io_context),
          acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(context, accept_loop(), asio::detached);
    }

    void silence() { ++generation; }

    asio::awaitable<void> accept_loop()
    {
        for (;;)
            asio::co_spawn(
                context,
                serve(co_await acceptor.async_accept(asio::use_awaitable)),
                asio::detached);
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        const auto own_generation = generation;
        std::array<char, 4096> chunk{};
        boost::system::error_code failure;
        for (;;)
        {
            co_await socket.async_read_some(
                asio::buffer(chunk),
                asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                co_return;
            // Requests that overlap use connections of their own.
            co_await sleep_for(milliseconds(20));
            const std::string response = "HTTP/1.1 404 Not Found\r\n"
                                         "Content-Length: 0\r\n\r\n";
            if (own_generation == generation)
                co_await asio::async_write(socket, asio::buffer(response),
                                           asio::use_awaitable);
        }
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    unsigned generation = 0;
};

} // namespace

// Guards against a call that waits for an answer over an idle connection when
// another connection has just been found to be silent.
Test(store_following, idle_connections_are_not_used_after_a_failed_call)
{
    asio::io_context context;
    falling_silent_store server(context);
    const auto store = platform::make_store_client(
        context.get_executor(),
        "127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port()));
    std::array<result<stored_item>, 2> outcomes;
    for (auto& outcome : outcomes)
        asio::co_spawn(context, read_once(*store, outcome), asio::detached);
    context.run_for(milliseconds(200));
    for (const auto& outcome : outcomes)
        cr_assert(succeeded(outcome));
    server.silence();
    asio::co_spawn(context, read_once(*store, outcomes[0]), asio::detached);
    context.run_for(milliseconds(1200));
    cr_assert(!succeeded(outcomes[0]));
    asio::co_spawn(context, read_once(*store, outcomes[0]), asio::detached);
    context.run_for(milliseconds(1200));
    cr_assert(succeeded(outcomes[0]), "%s",
              to_string(error_of(outcomes[0])).c_str());
}

namespace
{

/// Another VM, which has a configuration of this version and answers requests
/// for copies of it.
struct copy_source
{
    copy_source(asio::io_context& context, std::uint64_t known_version,
                std::size_t record_padding = 0)
        : version(known_version), record(configuration_record(version) +
                                         std::string(record_padding, ' ')),
          acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    unsigned short port() const { return acceptor.local_endpoint().port(); }

    asio::awaitable<void> serve()
    {
        for (;;)
        {
            links.push_back(std::make_shared<peer_link>(
                co_await acceptor.async_accept(asio::use_awaitable),
                [this](peer_body request) { return answer(request); }));
            links.back()->start();
        }
    }

    asio::awaitable<peer_body> answer(peer_body request)
    {
        if (std::holds_alternative<liveness_probe>(request))
            co_return peer_body(liveness_reply{});
        fleet_snapshot snapshot;
        snapshot.configuration_version = version;
        snapshot.configuration = record;
        co_return peer_body(std::move(snapshot));
    }

    std::uint64_t version;
    std::string record;
    asio::ip::tcp::acceptor acceptor;
    std::vector<std::shared_ptr<peer_link>> links;
};

/// A VM that has version 1 of the configuration and can fetch copies.
struct copying_vm : following_vm
{
    copying_vm()
        : own_keys(context.get_executor(), *store, "own/", seconds(1),
                   {[](const stored_range&) {}, [](const stored_change&) {}}),
          peers(context.get_executor()),
          copies(context.get_executor(), *state, *mirror, own_keys, peers,
                 [] { return std::string(); })
    {
        copies.on_members_applied = [] {};
        put_configuration(1);
        mirror->start();
        cr_assert(run_until([&] { return state->configuration.version() == 1; },
                            seconds(1)));
    }

    store_follower own_keys;
    peer_client peers;
    copy_fetcher copies;
};

std::string loopback_address(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

// Guards against a VM without the store and without a leader that fetches no
// copy of the configuration, because the other VMs that it asks in turn have
// different versions.
Test(store_following, a_copy_is_fetched_although_other_vms_are_behind)
{
    copying_vm vm;
    copy_source source(vm.context, 2);
    const auto address = loopback_address(source.port());
    const auto deadline = copy_fetcher::configuration_fetch_delay + seconds(1);
    const auto start = current_time();
    while (vm.state->configuration.version() == 1 &&
           current_time() - start < deadline)
    {
        vm.copies.compare_configuration(2, address, current_time());
        vm.context.run_for(milliseconds(50));
        vm.copies.compare_configuration(1, "127.0.0.1:1", current_time());
        vm.context.run_for(milliseconds(50));
    }
    cr_assert(vm.state->configuration.version() == 2);
}

static asio::awaitable<void>
report_repeatedly(peer_client& peers, std::string address, unsigned& unanswered)
{
    for (;;)
    {
        peer_body body = liveness_probe{};
        const auto outcome = co_await peers.call(address, std::move(body),
                                                 fleet_service::call_timeout);
        unanswered += succeeded(outcome) ? 0 : 1;
        co_await sleep_for(fleet_service::report_interval);
    }
}

// Guards against a copy of a large configuration that delays the reports over a
// slow link until they end the link, and the copy with it.
Test(store_following, a_copy_over_a_slow_link_is_received_beside_reports)
{
    constexpr std::size_t record_bytes = 390'000;
    // The proxy forwards 8 KB at a time, hence 2 Mbit/s for each connection.
    constexpr auto delay_per_chunk = milliseconds(32);
    const auto proxy_port = fakes::first_port_of_tests();
    copying_vm vm;
    copy_source source(vm.context, 2, record_bytes);
    soak::loopback_proxy proxy(vm.context, proxy_port, source.port());
    proxy.set_faults({.delay = delay_per_chunk});
    unsigned unanswered = 0;
    asio::co_spawn(
        vm.context,
        report_repeatedly(vm.peers, loopback_address(proxy_port), unanswered),
        asio::detached);
    vm.context.run_for(milliseconds(300));
    const auto is_received = [&]
    {
        vm.copies.compare_configuration(2, loopback_address(proxy_port),
                                        current_time());
        return vm.state->configuration.version() == 2;
    };
    cr_assert(vm.run_until(is_received,
                           vm.state->settings.configuration_apply_timeout));
    cr_assert(unanswered == 0, "%u", unanswered);
}
