/// Runs one of the review's cases on a small deployment on loopback:
///
///     review-stand CASE FOLDER 0|1
///
/// The last argument says whether the disruption is brought about. Writes
/// FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2
/// if the case could not run.
#include "small_deployment.hpp"

#include <oleandergrade/connection/async_event.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>

namespace
{

using namespace review;
using oleandergrade::sleep_for;

enum verdict
{
    held = 0,
    broken = 1,
    not_run = 2
};

/// Clients that write and read, each on a session of its own, until stopped.
class steady_clients
{
public:
    steady_clients(asio::io_context& context, small_deployment& deployment)
        : context_(context), deployment_(deployment)
    {
    }

    void add(std::string name, std::string database, std::string key,
             unsigned vm, milliseconds pause)
    {
        ++running_;
        asio::co_spawn(context_,
                       run(std::move(name), std::move(database), std::move(key),
                           vm, pause),
                       asio::detached);
    }
    asio::awaitable<void> stop()
    {
        stops_ = true;
        const auto deadline = current_time() + seconds(4);
        while (running_ > 0 && current_time() < deadline)
            co_await sleep_for(milliseconds(10));
    }
    /// Writes that were acknowledged to clients, by id.
    const std::map<std::string, time_point>& acknowledged() const
    {
        return acknowledged_;
    }
    unsigned sent() const { return sent_; }

private:
    asio::awaitable<void> run(std::string name, std::string database,
                              std::string key, unsigned vm, milliseconds pause)
    {
        client_session session(context_, deployment_.record(), name);
        unsigned number = 0;
        while (!stops_)
        {
            if (!session.is_open())
            {
                const bool opened = co_await session.open(
                    deployment_.front_port(vm), database, key);
                if (!opened)
                {
                    vm = (vm + 1) % deployment_.vm_count();
                    co_await sleep_for(milliseconds(50));
                    continue;
                }
            }
            const auto id = name + "-" + std::to_string(++number);
            ++sent_;
            const auto answer = co_await session.query(
                id, "WRITE " + name + " v" + std::to_string(number));
            if (is_success(answer))
                acknowledged_[id] = current_time();
            if (answer.empty())
                vm = (vm + 1) % deployment_.vm_count();
            co_await sleep_for(pause);
        }
        session.close();
        --running_;
    }

    asio::io_context& context_;
    small_deployment& deployment_;
    bool stops_ = false;
    unsigned running_ = 0;
    unsigned sent_ = 0;
    std::map<std::string, time_point> acknowledged_;
};

/// Waits until a promotion of the service has been ordered.
asio::awaitable<bool> wait_for_promotion(small_deployment& deployment,
                                         std::string service, duration limit)
{
    const auto deadline = current_time() + limit;
    while (current_time() < deadline)
    {
        for (const auto& call : deployment.promotions())
            if (call.service == service)
                co_return true;
        co_await sleep_for(milliseconds(20));
    }
    co_return false;
}

/// ONE: the fence numbers at the interface for promotions.
verdict judge_fences(small_deployment& deployment)
{
    verdict result = held;
    std::uint64_t highest = 0;
    std::string holder_of_highest;
    for (const auto& call : deployment.promotions())
    {
        if (call.fence < highest)
        {
            deployment.record().add("BROKEN: " + call.holder + " sends fence " +
                                    std::to_string(call.fence) + " after " +
                                    holder_of_highest + " has sent " +
                                    std::to_string(highest));
            result = broken;
        }
        else if (call.fence == highest && call.holder != holder_of_highest)
        {
            deployment.record().add("BROKEN: " + call.holder + " and " +
                                    holder_of_highest + " both send fence " +
                                    std::to_string(call.fence));
            result = broken;
        }
        if (call.fence >= highest)
        {
            highest = call.fence;
            holder_of_highest = call.holder;
        }
    }
    return result;
}

/// The store comes back from a copy that was taken before the present leader
/// was elected.
asio::awaitable<verdict> run_fence_case(asio::io_context& context,
                                        small_deployment& deployment,
                                        bool trouble)
{
    steady_clients clients(context, deployment);
    for (unsigned i = 0; i < 6; ++i)
        clients.add("c" + std::to_string(i), "strict-" + std::to_string(i % 3),
                    i % 2 == 0 ? "key-u1" : "key-u2", i, milliseconds(150));
    co_await sleep_for(seconds(5));
    deployment.copy_store();
    co_await sleep_for(milliseconds(5000));
    const auto leader = deployment.leader_vm();
    if (!leader)
        co_return not_run;
    // Planned work: one machine is stopped and started.
    asio::co_spawn(context,
                   deployment.restart_vm(*leader, SIGTERM, milliseconds(500)),
                   asio::detached);
    co_await sleep_for(milliseconds(800));
    // Planned work: a primary is replaced.
    asio::co_spawn(context,
                   deployment.release_server("i-0-0", milliseconds(8000)),
                   asio::detached);
    const bool first_promoted =
        co_await wait_for_promotion(deployment, "survey-0", seconds(6));
    if (!first_promoted)
        co_return not_run;
    co_await sleep_for(milliseconds(500));
    if (trouble)
        co_await deployment.restore_store(milliseconds(1000));
    co_await sleep_for(milliseconds(1000));
    // The stopping of machines in turn goes on, if the one that has just
    // ordered a promotion leads again, so that another one orders the next.
    const auto next_leader = deployment.leader_vm();
    if (next_leader && deployment.promotions().back().holder ==
                           "edge-" + std::to_string(*next_leader))
        asio::co_spawn(
            context,
            deployment.restart_vm(*next_leader, SIGTERM, milliseconds(500)),
            asio::detached);
    co_await sleep_for(seconds(2));
    const auto acknowledged_before = clients.acknowledged().size();
    asio::co_spawn(context,
                   deployment.release_server("i-1-0", milliseconds(8000)),
                   asio::detached);
    co_await wait_for_promotion(deployment, "survey-1", seconds(25));
    co_await sleep_for(seconds(10));
    deployment.record().add(
        "writes acknowledged in the last part: " +
        std::to_string(clients.acknowledged().size() - acknowledged_before));
    co_await clients.stop();
    co_return judge_fences(deployment);
}

/// ONE: writes that were committed at a primary after the promote of another
/// server had taken effect, and acknowledged to their clients.
verdict judge_old_primary(small_deployment& deployment,
                          const steady_clients& clients)
{
    unsigned late = 0;
    for (const auto& run : deployment.runs())
    {
        if (!run.is_primary || run.newest_term <= run.term ||
            !run.text.starts_with("WRITE") ||
            !clients.acknowledged().contains(run.id))
            continue;
        ++late;
        deployment.record().add(
            "BROKEN: " + run.id + " was committed at " + run.server +
            " in term " + std::to_string(run.term) + " after term " +
            std::to_string(run.newest_term) +
            " had begun elsewhere, and acknowledged to its client");
    }
    const auto log = deployment.platform().primary_log_text("survey-0");
    unsigned missing = 0;
    for (const auto& run : deployment.runs())
        if (run.server.starts_with("i-0-") && run.text.starts_with("WRITE ") &&
            clients.acknowledged().contains(run.id) &&
            log.find(run.text.substr(6) + "\n") == std::string::npos)
            ++missing;
    deployment.record().add("acknowledged writes that the log of survey-0 "
                            "lacks at the end: " +
                            std::to_string(missing));
    return late > 0 ? broken : held;
}

/// The store comes back from a copy that was taken before the last promotion
/// of a group, while machines are stopped and started in turn.
asio::awaitable<verdict> run_old_primary_case(asio::io_context& context,
                                              small_deployment& deployment,
                                              bool trouble)
{
    steady_clients clients(context, deployment);
    for (unsigned i = 0; i < 18; ++i)
        clients.add("c" + std::to_string(i), "strict-0",
                    i % 2 == 0 ? "key-u1" : "key-u2", i % 6, milliseconds(5));
    co_await sleep_for(seconds(3));
    const auto leader = deployment.leader_vm();
    if (!leader)
        co_return not_run;
    // The next in line to lead.
    const unsigned next = *leader == 0 ? 1 : 0;
    deployment.copy_store();
    co_await sleep_for(seconds(5));
    asio::co_spawn(context,
                   deployment.restart_vm(next, SIGTERM, milliseconds(900)),
                   asio::detached);
    co_await sleep_for(seconds(1));
    asio::co_spawn(context,
                   deployment.release_server("i-0-0", milliseconds(8000)),
                   asio::detached);
    co_await sleep_for(milliseconds(1000));
    if (deployment.promotions().empty())
        co_return not_run;
    if (trouble)
        co_await deployment.restore_store(milliseconds(700));
    else
        co_await sleep_for(milliseconds(700));
    for (unsigned i = 0; i < 100 && !deployment.has_started_again(next); ++i)
        co_await sleep_for(milliseconds(20));
    co_await sleep_for(milliseconds(300));
    // The stopping of machines in turn goes on with the leader, until the one
    // that has started again leads.
    constexpr auto gap = milliseconds(1300);
    for (unsigned i = 0; i < 3; ++i)
    {
        const auto present = deployment.leader_vm();
        if (!present || *present == next)
            break;
        const auto stopped_at = current_time();
        asio::co_spawn(
            context,
            deployment.restart_vm(*present, SIGTERM, milliseconds(500)),
            asio::detached);
        co_await sleep_for(milliseconds(300));
        if (deployment.leader_vm() == next)
            break;
        co_await sleep_for(stopped_at + gap - current_time());
    }
    deployment.record().add(
        "leader: " + (deployment.leader_vm()
                          ? "edge-" + std::to_string(*deployment.leader_vm())
                          : std::string("none")));
    asio::co_spawn(context,
                   deployment.release_server("i-0-1", milliseconds(8000)),
                   asio::detached);
    co_await sleep_for(seconds(12));
    co_await clients.stop();
    co_return judge_old_primary(deployment, clients);
}

/// DRAIN: requests that reach a server later than 7 s after its report.
verdict judge_drain(small_deployment& deployment, const std::string& server,
                    time_point reported_at)
{
    constexpr auto drain_time = milliseconds(7000);
    unsigned late = 0;
    for (const auto& run : deployment.runs())
    {
        if (run.server != server || run.received_at < reported_at + drain_time)
            continue;
        ++late;
        if (late <= 10)
            deployment.record().add(
                "BROKEN: " + run.id + " reached " + server + " " +
                std::to_string(oleandergrade::to_milliseconds(run.received_at -
                                                              reported_at)) +
                " ms after it had reported that it drains");
    }
    deployment.record().add("requests that reached " + server +
                            " too late: " + std::to_string(late));
    return late > 0 ? broken : held;
}

/// The store comes back from a copy that was taken before the last promotion
/// of a group. Later the group's primary is replaced as planned.
asio::awaitable<verdict> run_drain_case(asio::io_context& context,
                                        small_deployment& deployment,
                                        bool trouble)
{
    steady_clients clients(context, deployment);
    for (unsigned i = 0; i < 6; ++i)
        clients.add("c" + std::to_string(i), "strict-0",
                    i % 2 == 0 ? "key-u1" : "key-u2", i, milliseconds(100));
    co_await sleep_for(seconds(3));
    deployment.copy_store();
    co_await sleep_for(seconds(2));
    asio::co_spawn(context,
                   deployment.release_server("i-0-0", milliseconds(8000)),
                   asio::detached);
    co_await sleep_for(seconds(2));
    if (deployment.promotions().empty())
        co_return not_run;
    if (trouble)
        co_await deployment.restore_store(milliseconds(1000));
    else
        co_await sleep_for(milliseconds(1000));
    // The store has been stable for longer than StableWindowMs.
    co_await sleep_for(seconds(8));
    const auto reported_at = current_time();
    asio::co_spawn(context,
                   deployment.release_server("i-0-1", milliseconds(12'000)),
                   asio::detached);
    co_await sleep_for(milliseconds(12'500));
    const auto acknowledged = clients.acknowledged().size();
    co_await sleep_for(seconds(15));
    deployment.record().add(
        "writes acknowledged in the 15 s after the server has ended: " +
        std::to_string(clients.acknowledged().size() - acknowledged));
    co_await clients.stop();
    co_return judge_drain(deployment, "i-0-1", reported_at);
}

/// LOST: with `SyncReplicas`, acknowledged commits that the log of the server
/// that was promoted lacks.
verdict judge_lost_commits(small_deployment& deployment,
                           const steady_clients& clients,
                           const std::string& service)
{
    const auto log = deployment.platform().primary_log_text(service);
    unsigned missing = 0;
    for (const auto& run : deployment.runs())
    {
        if (!run.server.starts_with("i-0-") ||
            !run.text.starts_with("WRITE ") ||
            !clients.acknowledged().contains(run.id) ||
            log.find(run.text.substr(6) + "\n") != std::string::npos)
            continue;
        if (++missing <= 10)
            deployment.record().add("BROKEN: " + run.id + " (" + run.text +
                                    ") was acknowledged and is not in the log "
                                    "of the promoted server");
    }
    deployment.record().add("acknowledged writes missing from the log: " +
                            std::to_string(missing));
    return missing > 0 ? broken : held;
}

/// A group that commits synchronously loses its primary while one replica
/// receives nothing and the other one is cut off from the VMs.
asio::awaitable<verdict> run_sync_case(asio::io_context& context,
                                       small_deployment& deployment,
                                       bool trouble)
{
    deployment.change_configuration(
        [](boost::json::object& fields)
        {
            for (auto& service : fields.at("Services").as_array())
                service.as_object()["SyncReplicas"] = 1;
        });
    steady_clients clients(context, deployment);
    for (unsigned i = 0; i < 6; ++i)
        clients.add("c" + std::to_string(i), "strict-0",
                    i % 2 == 0 ? "key-u1" : "key-u2", i, milliseconds(20));
    co_await sleep_for(seconds(5));
    if (trouble)
    {
        // While this replica receives nothing, the other one acknowledges.
        deployment.record().add("replica i-0-2 receives nothing from now on");
        deployment.platform().set_replication_stopped("i-0-2", true);
        co_await sleep_for(milliseconds(1500));
        deployment.cut_server("i-0-1", true);
        co_await sleep_for(milliseconds(100));
        asio::co_spawn(context,
                       deployment.crash_server("i-0-0", milliseconds(7000)),
                       asio::detached);
        co_await sleep_for(milliseconds(4500));
        deployment.platform().set_replication_stopped("i-0-2", false);
        deployment.record().add("replica i-0-2 receives again");
        co_await sleep_for(milliseconds(900));
        deployment.cut_server("i-0-1", false);
    }
    co_await sleep_for(seconds(8));
    co_await clients.stop();
    co_return judge_lost_commits(deployment, clients, "survey-0");
}

/// A client that begins a transaction, writes and rests inside it. Then it
/// leaves or, if `commits`, ends the transaction.
asio::awaitable<void> run_resting_client(asio::io_context& context,
                                         small_deployment& deployment,
                                         std::string name, unsigned vm,
                                         bool commits, time_point until)
{
    client_session session(context, deployment.record(), name);
    unsigned number = 0;
    std::minstd_rand random(std::hash<std::string>{}(name));
    while (current_time() < until)
    {
        const bool opened = co_await session.open(
            deployment.front_port(vm), "strict-" + std::to_string(number % 3),
            "key-u1");
        const auto id = name + "-" + std::to_string(++number);
        if (!opened)
        {
            co_await sleep_for(milliseconds(100));
            continue;
        }
        const auto begun = co_await session.query(id + "b", "BEGIN");
        if (is_success(begun))
        {
            const auto written =
                co_await session.query(id + "w", "WRITE " + name + " x");
            if (is_success(written))
            {
                if (commits)
                    co_await session.query(id + "c", "COMMIT");
                else
                    // TxIdleMs is 3000.
                    co_await sleep_for(milliseconds(2980 + random() % 18));
            }
        }
        deployment.record().add(name + " leaves");
        session.close();
        co_await sleep_for(milliseconds(100));
    }
}

/// Fault: processes that end by themselves. Clients rest inside transactions
/// and leave shortly before TxIdleMs, while the VMs use up their allotments of
/// processor time.
asio::awaitable<verdict> run_leaving_case(asio::io_context& context,
                                          small_deployment& deployment,
                                          bool trouble)
{
    const auto until = current_time() + seconds(95);
    asio::co_spawn(context, deployment.watch_vms(), asio::detached);
    for (unsigned vm = 0; vm < deployment.vm_count(); ++vm)
    {
        // Set by hand, to see the case without the allotments.
        if (std::getenv("NO_ALLOTMENT") == nullptr)
            asio::co_spawn(context, deployment.limit_processor(vm, 0.25),
                           asio::detached);
        for (unsigned i = 0; i < 9; ++i)
            asio::co_spawn(
                context,
                run_resting_client(context, deployment,
                                   "c" + std::to_string(vm) + std::to_string(i),
                                   vm, !trouble, until),
                asio::detached);
    }
    co_await sleep_for(seconds(100));
    unsigned machines = 0;
    for (const auto& [vm, count] : deployment.own_ends())
    {
        deployment.record().add("edge-" + std::to_string(vm) +
                                " has ended by itself " +
                                std::to_string(count) + " times");
        machines += count >= 3 ? 1 : 0;
    }
    deployment.stop_watching();
    co_await sleep_for(milliseconds(300));
    // A tenth of the machines, two at least, three times in the day each.
    co_return machines >= 2 ? broken : held;
}

/// DRAIN: a group that commits synchronously has its primary replaced as
/// planned.
asio::awaitable<verdict> run_sync_drain_case(asio::io_context& context,
                                             small_deployment& deployment,
                                             bool trouble)
{
    deployment.change_configuration(
        [](boost::json::object& fields)
        {
            for (auto& service : fields.at("Services").as_array())
                service.as_object()["SyncReplicas"] = 1;
        });
    deployment.set_synchronous();
    steady_clients clients(context, deployment);
    for (unsigned i = 0; i < 18; ++i)
        clients.add("c" + std::to_string(i), "strict-0",
                    i % 2 == 0 ? "key-u1" : "key-u2", i % 6, milliseconds(20));
    co_await sleep_for(seconds(5));
    const auto reported_at = current_time();
    const auto before = clients.acknowledged().size();
    if (trouble)
        asio::co_spawn(context,
                       deployment.release_server("i-0-0", milliseconds(12'000)),
                       asio::detached);
    co_await sleep_for(seconds(12));
    deployment.record().add(
        "writes acknowledged in 12 s after the report: " +
        std::to_string(clients.acknowledged().size() - before));
    co_await sleep_for(seconds(6));
    co_await clients.stop();
    co_return trouble ? judge_drain(deployment, "i-0-0", reported_at) : held;
}

/// ONE: the leader is stopped while its connection for an order is still being
/// opened.
asio::awaitable<verdict> run_late_order_case(asio::io_context& context,
                                             small_deployment& deployment,
                                             bool trouble)
{
    steady_clients clients(context, deployment);
    for (unsigned i = 0; i < 6; ++i)
        clients.add("c" + std::to_string(i), "strict-0",
                    i % 2 == 0 ? "key-u1" : "key-u2", i, milliseconds(100));
    co_await sleep_for(seconds(5));
    const auto leader = deployment.leader_vm();
    if (!leader)
        co_return not_run;
    if (trouble)
        co_await deployment.set_promotions_slow(true);
    asio::co_spawn(context,
                   deployment.release_server("i-0-0", milliseconds(8000)),
                   asio::detached);
    const auto deadline = current_time() + seconds(5);
    while (!deployment.has_candidate("survey-0") && current_time() < deadline)
        co_await sleep_for(milliseconds(2));
    co_await sleep_for(milliseconds(20));
    asio::co_spawn(context,
                   deployment.restart_vm(*leader, SIGTERM, milliseconds(500)),
                   asio::detached);
    co_await sleep_for(milliseconds(30));
    if (trouble)
        co_await deployment.set_promotions_slow(false);
    co_await sleep_for(seconds(6));
    co_await clients.stop();
    co_return deployment.promotions().empty() ? not_run
                                              : judge_fences(deployment);
}

/// PINNED: two clients of one tenant prepare statements of different shapes,
/// whose names at the servers are the same.
asio::awaitable<verdict> run_prepared_case(asio::io_context& context,
                                           small_deployment& deployment,
                                           bool trouble)
{
    client_session first(context, deployment.record(), "first");
    client_session second(context, deployment.record(), "second");
    const std::string first_shape = "x612d";
    // "a-" in hexadecimal digits is 612d.
    const std::string second_shape = trouble ? "a-" : "b-";
    const bool opened =
        co_await first.open(deployment.front_port(0), "strict-0", "key-u1") &&
        co_await second.open(deployment.front_port(0), "strict-0", "key-u1");
    if (!opened)
        co_return not_run;
    // The primaries may not have been recorded yet.
    bool is_served = false;
    for (unsigned i = 0; i < 50 && !is_served; ++i)
    {
        const auto answer =
            co_await first.query("w" + std::to_string(i), "READ 1a");
        is_served = is_success(answer);
        co_await sleep_for(milliseconds(100));
    }
    if (!is_served)
        co_return not_run;
    co_await first.query("f1", "PREPARE s1 READ " + first_shape);
    co_await second.query("s1", "PREPARE s1 READ " + second_shape);
    for (unsigned i = 0; i < 5; ++i)
    {
        const auto number = std::to_string(i);
        co_await first.query("f-e" + number, "EXECUTE s1 1a" + number);
        co_await second.query("s-e" + number, "EXECUTE s1 1b" + number);
    }
    verdict result = held;
    unsigned checked = 0;
    for (const auto& run : deployment.runs())
    {
        const bool is_first = run.id.starts_with("f-e");
        if (!is_first && !run.id.starts_with("s-e"))
            continue;
        ++checked;
        const auto& expected = is_first ? first_shape : second_shape;
        if (run.shape == expected)
            continue;
        deployment.record().add("BROKEN: " + run.id + " ran the shape " +
                                run.shape + ", its client has prepared " +
                                expected);
        result = broken;
    }
    co_return checked >= 10 ? result : not_run;
}

using case_function = asio::awaitable<verdict> (*)(asio::io_context&,
                                                   small_deployment&, bool);

struct named_case
{
    const char* name;
    case_function run;
};

constexpr named_case cases[] = {
    {"fence", run_fence_case},       {"old-primary", run_old_primary_case},
    {"drain", run_drain_case},       {"sync", run_sync_case},
    {"leaving", run_leaving_case},   {"sync-drain", run_sync_drain_case},
    {"prepared", run_prepared_case}, {"late-order", run_late_order_case},
};

asio::awaitable<void> run_case(asio::io_context& context,
                               small_deployment& deployment,
                               case_function function, bool trouble,
                               verdict& result)
{
    deployment.start_vms();
    const bool ready = co_await deployment.wait_until_ready(seconds(20));
    if (ready)
    {
        deployment.record().add("all VMs are ready");
        result = co_await function(context, deployment, trouble);
    }
    else
    {
        deployment.record().add("the VMs were not ready within 20 s");
    }
    deployment.record().add(result == broken ? "RESULT: broken"
                            : result == held ? "RESULT: held"
                                             : "RESULT: could not run");
    deployment.stop_vms();
    context.stop();
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: review-stand CASE FOLDER 0|1\n";
        return not_run;
    }
    const std::string name = argv[1];
    const bool trouble = std::string(argv[3]) != "0";
    for (const auto& candidate : cases)
    {
        if (name != candidate.name)
            continue;
        char folder[] = "/tmp/review-XXXXXX";
        if (::mkdtemp(folder) == nullptr)
            return not_run;
        verdict result = not_run;
        try
        {
            asio::io_context context(1);
            run_record record(std::string(argv[2]) + "/record.txt");
            record.add(std::string("case ") + name + ", disruption " +
                       (trouble ? "on" : "off"));
            deployment_settings settings;
            settings.folder = folder;
            if (const char* program = std::getenv("VM_PROGRAM"))
                settings.vm_program = program;
            if (name == "leaving")
            {
                // As in the plant's deployment, where VMs do not share the
                // sessions at servers.
                settings.vms = 9;
                settings.max_connections = 39;
                settings.zones = {"cartago-a", "cartago-b", "heredia-c",
                                  "cartago-a", "cartago-b", "heredia-c",
                                  "cartago-a", "cartago-b", "heredia-c"};
            }
            small_deployment deployment(context, settings, record);
            asio::co_spawn(
                context,
                run_case(context, deployment, candidate.run, trouble, result),
                [&](std::exception_ptr failure)
                {
                    if (!failure)
                        return;
                    record.add("the run ended with an exception");
                    result = not_run;
                    context.stop();
                });
            asio::signal_set signals(context, SIGTERM, SIGINT);
            signals.async_wait(
                [&](const boost::system::error_code& failure, int)
                {
                    if (failure)
                        return;
                    result = not_run;
                    context.stop();
                });
            context.run();
            deployment.stop_vms();
        }
        catch (const std::exception& failure)
        {
            std::cerr << "cannot run: " << failure.what() << "\n";
            result = not_run;
        }
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(folder);
        else
            std::cerr << "logs of the VMs: " << folder << "\n";
        return result;
    }
    std::cerr << "unknown case " << name << "\n";
    return not_run;
}
