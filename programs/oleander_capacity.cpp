/// Measures the slopes behind docs/CAPACITY.md in one process, with the real
/// decision logic, and prints the table for the target size.
#include "control_fleet.hpp"

#include <oleandergrade/connection/peer_message.hpp>
#include <oleandergrade/connection/session_token.hpp>
#include <oleandergrade/process/failover_coordinator.hpp>
#include <oleandergrade/process/token_bank.hpp>
#include <oleandergrade/process/token_borrower.hpp>
#include <oleandergrade/request/router.hpp>
#include <oleandergrade/version/key_check.hpp>

#include <gflags/gflags.h>
#include <malloc.h>

#include <cmath>
#include <cstdio>
#include <functional>
#include <iostream>
#include <vector>

DEFINE_double(seconds, 10, "virtual time of each control-plane run");

namespace
{

using namespace oleandergrade;
using capacity::control_cost;
using capacity::control_fleet;
using capacity::cpu_seconds;

/// The size that the users expect in two years.
constexpr double target_nodes = 1000;
constexpr double target_databases = 2200;
constexpr double target_domains = 25;
constexpr double target_accounts = 10000;
constexpr double target_connections = 8.4e6;
constexpr double target_statements = 1.1e6;
constexpr double targets_per_database = 3;
constexpr double vms_replaced_daily = 180 + 14;
constexpr double changes_daily = 1800;
/// One entry of the VM list as the platform writes it.
constexpr double vm_entry_bytes = 120;
constexpr double seconds_per_day = 86400;

/// What one node may spend on control.
constexpr double budget_core_percent = 1.2;
constexpr double budget_memory_mb = 128;
constexpr double budget_bytes = 28 * 1000;

constexpr double probe_rate = 10;
constexpr double coordinators_per_group = 3;

struct point
{
    double x = 0;
    double y = 0;
};

struct line_fit
{
    double offset = 0;
    double slope = 0;
    /// Largest distance of a point from the line, relative to the point.
    double error = 0;

    double at(double x) const { return offset + slope * x; }
};

line_fit fit(const std::vector<point>& points)
{
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    const auto count = static_cast<double>(points.size());
    for (const auto& p : points)
    {
        sum_x += p.x;
        sum_y += p.y;
        sum_xx += p.x * p.x;
        sum_xy += p.x * p.y;
    }
    line_fit result;
    result.slope =
        (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    result.offset = (sum_y - result.slope * sum_x) / count;
    for (const auto& p : points)
        if (p.y != 0)
            result.error = std::max(
                result.error, std::abs(result.at(p.x) - p.y) / std::abs(p.y));
    return result;
}

/// Nanoseconds of processor time for one run of `work`.
double time_of(const std::function<void()>& work, std::size_t repeats)
{
    const auto start = cpu_seconds();
    for (std::size_t i = 0; i < repeats; ++i)
        work();
    return (cpu_seconds() - start) * 1e9 / static_cast<double>(repeats);
}

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// Heap that `build` keeps.
template <typename Build> double bytes_of(const Build& build)
{
    const auto before = heap_bytes();
    const auto kept = build();
    const auto after = heap_bytes();
    return kept ? after - before : 0;
}

configuration make_configuration(std::size_t databases, std::size_t accounts)
{
    configuration value;
    value.failure_domains = {"x", "y", "z"};
    for (std::size_t i = 0; i < databases; ++i)
    {
        const auto name = "database-" + std::to_string(i);
        auto& group = value.databases[name];
        group.name = name;
        for (const char* suffix : {"-a", "-b", "-c"})
        {
            const auto target_name = name + suffix;
            value.targets[target_name] = {
                target_name, name, "10.0.0.1:5432", "x", 3, 20, false};
            group.targets.push_back(target_name);
        }
    }
    for (std::size_t i = 0; i < accounts; ++i)
    {
        const auto name = "account-" + std::to_string(i);
        value.accounts[name] = {name, 100, 50, 1, {}};
    }
    return value;
}

void print_fit(const char* what, const char* unit,
               const std::vector<point>& points)
{
    const auto line = fit(points);
    std::printf("%-44s", what);
    for (const auto& p : points)
        std::printf("  %g: %.4g", p.x, p.y);
    std::printf("  | %.4g + %.4g x %s, error %.1f%%\n", line.offset, line.slope,
                unit, line.error * 100);
}

std::vector<point>
measure_state(const std::function<double(std::size_t)>& measure)
{
    std::vector<point> points;
    for (const std::size_t count : {200, 1000, 2000})
        points.push_back({static_cast<double>(count), measure(count)});
    return points;
}

std::vector<point> state_of_configuration()
{
    return measure_state(
        [](std::size_t count)
        {
            return bytes_of(
                [&] {
                    return std::make_unique<configuration>(
                        make_configuration(count, 0));
                });
        });
}

std::vector<point> state_of_router()
{
    return measure_state(
        [](std::size_t count)
        {
            const auto value = make_configuration(count, 0);
            return bytes_of(
                [&]
                {
                    auto routes = std::make_unique<router>("x");
                    routes->use_configuration(value);
                    for (const auto& [name, group] : value.databases)
                        routes->learn_group({name, 1, name + "-a", true, ""});
                    return routes;
                });
        });
}

std::vector<point> state_of_account()
{
    return measure_state(
        [](std::size_t count)
        {
            return bytes_of(
                [&] {
                    return std::make_unique<configuration>(
                        make_configuration(0, count));
                });
        });
}

std::vector<point> state_of_bank()
{
    return measure_state(
        [](std::size_t count)
        {
            const time_point now{seconds(100)};
            return bytes_of(
                [&]
                {
                    auto bank = std::make_unique<token_bank>();
                    std::map<std::string, account_limits> limits;
                    for (std::size_t i = 0; i < count; ++i)
                        limits["account-" + std::to_string(i)] = {100, 50};
                    bank->use_limits(limits, now);
                    return bank;
                });
        });
}

std::vector<point> state_of_borrower()
{
    return measure_state(
        [](std::size_t count)
        {
            const time_point now{seconds(100)};
            return bytes_of(
                [&]
                {
                    auto borrower = std::make_unique<token_borrower>(
                        "vm", std::vector<std::string>{"x", "y", "z"});
                    for (std::size_t i = 0; i < count; ++i)
                        borrower->admit(i, "account-" + std::to_string(i),
                                        now + seconds(1), now);
                    (void)borrower->due_calls(now);
                    return borrower;
                });
        });
}

std::vector<point> state_of_coordinator()
{
    return measure_state(
        [](std::size_t count)
        {
            const auto value = make_configuration(1, 0);
            std::vector<target> members;
            for (const auto& [name, declared] : value.targets)
                members.push_back(declared);
            return bytes_of(
                [&]
                {
                    auto all = std::make_unique<
                        std::vector<std::unique_ptr<failover_coordinator>>>();
                    for (std::size_t i = 0; i < count; ++i)
                    {
                        all->push_back(std::make_unique<failover_coordinator>(
                            "database-" + std::to_string(i), "vm#1"));
                        all->back()->use_members(members);
                    }
                    return all;
                });
        });
}

/// Bytes of the record kept in the platform. Targets are written out as
/// operators do.
std::vector<point> size_of_record()
{
    return measure_state(
        [](std::size_t count)
        {
            configuration value;
            for (std::size_t i = 0; i < count; ++i)
            {
                const auto name = "database-" + std::to_string(i);
                value.text += "[database " + name + "]\n";
                for (const char* suffix : {"-a", "-b", "-c"})
                    value.text += "[target " + name + suffix +
                                  "]\ndatabase = " + name +
                                  "\naddress = 10.0.0.1:5432\n"
                                  "failure_domain = domain-7\nslots = 3\n"
                                  "connections = 20\n";
            }
            return static_cast<double>(serialize_configuration(value).size());
        });
}

/// Processor time of single decisions, in nanoseconds.
struct decision_times
{
    double route = 0;
    double sign = 0;
    double verify = 0;
    double check_key = 0;
    double admit = 0;
    double statement_codec = 0;
    double probe = 0;
};

decision_times measure_decisions()
{
    decision_times times;
    const auto value = make_configuration(2000, 0);
    const time_point now{seconds(100)};
    router routes("x");
    routes.use_configuration(value);
    for (const auto& [name, group] : value.databases)
        routes.learn_group({name, 1, name + "-a", true, ""});
    const session_token token{"account-1", "database-77", {1, 5}, false};
    const route_request request{
        statement_kind::read, "database-77", token, milliseconds(0), {}};
    times.route = time_of([&] { (void)routes.decide(request, now); }, 200000);
    times.sign =
        time_of([&] { (void)sign_session_token(token, "secret"); }, 50000);
    const auto text = sign_session_token(token, "secret");
    times.verify =
        time_of([&] { (void)verify_session_token(text, "secret"); }, 50000);
    auto with_key = value;
    with_key.accounts["a"].name = "a";
    const auto issued = issue_key("a");
    with_key.keys[issued.record.id] = issued.record;
    times.check_key =
        time_of([&] { (void)check_key(with_key, issued.clear_text); }, 50000);
    statement sent;
    sent.account = "account-1";
    sent.database = "database-77";
    sent.target = "database-77-a";
    sent.text = R"({"key":"transect/17","value":"3.2 m"})";
    times.statement_codec = time_of(
        [&] {
            (void)decode_peer_message(encode_peer_message({1, sent}));
        },
        50000);
    token_borrower borrower("vm", {"x"});
    token_bank bank;
    bank.use_limits({{"a", {1e9, 1e9}}}, now);
    bank.open(now - seconds(1));
    auto at = now;
    std::uint64_t ticket = 0;
    times.admit = time_of(
        [&]
        {
            at += microseconds(100);
            borrower.admit(++ticket, "a", at + seconds(1), at);
            for (const auto& call : borrower.due_calls(at))
                borrower.on_grant("x", call, bank.lend(call.request, at), at,
                                  at);
            (void)borrower.take_results();
        },
        50000);
    failover_coordinator coordinator("database-77", "vm#1");
    std::vector<target> members;
    for (const char* suffix : {"-a", "-b", "-c"})
        members.push_back(
            value.targets.at(std::string("database-77") + suffix));
    coordinator.use_members(members);
    const target_status status{1, false,           "",   5, 1, 5,
                               0, milliseconds(1), false};
    times.probe = time_of(
        [&]
        {
            at += milliseconds(20);
            for (const auto& action : coordinator.tick(at))
                if (const auto* probe = std::get_if<probe_action>(&action))
                    (void)coordinator.on_probe(probe->target, status, at);
        },
        50000);
    return times;
}

void print_row(const char* what, double value, const char* unit,
               double budget = 0)
{
    std::printf("  %-52s %12.4g %s", what, value, unit);
    if (budget > 0)
        std::printf("  (budget %.4g: %s)", budget,
                    value <= budget ? "kept" : "BROKEN");
    std::printf("\n");
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the slopes of docs/CAPACITY.md");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    std::printf("Control planes in one process (nodes x domains)\n");
    control_cost at_target;
    std::vector<point> bytes;
    std::vector<point> calls;
    std::vector<point> cpu;
    for (const auto& [nodes, domains] :
         {std::pair<std::size_t, std::size_t>{10, 5}, {100, 10}, {1000, 25}})
    {
        control_fleet fleet(nodes, domains, nodes * 2);
        const auto cost = fleet.run(FLAGS_seconds);
        std::printf("  %4zu x %2zu: %8.0f B/s and %6.2f messages/s a node, "
                    "%8.0f B/s at a lead, %.4f%% of a core a node, %.3f%% at "
                    "a lead, %.1f platform calls/s, change everywhere after "
                    "%.2f s\n",
                    nodes, domains, cost.bytes_per_node_second,
                    cost.messages_per_node_second, cost.lead_bytes_per_second,
                    cost.core_percent_per_node, cost.lead_core_percent,
                    cost.platform_calls_per_second, cost.spread_seconds);
        const auto n = static_cast<double>(nodes);
        bytes.push_back({n, cost.bytes_per_node_second});
        cpu.push_back({n, cost.core_percent_per_node});
        calls.push_back(
            {static_cast<double>(domains), cost.platform_calls_per_second});
        at_target = cost;
    }
    std::printf("\nSlopes (points, then the fitted line)\n");
    print_fit("control bytes/s a node against nodes", "", bytes);
    print_fit("control core % a node against nodes", "", cpu);
    print_fit("platform calls/s against domains", "", calls);
    const auto configuration_state = state_of_configuration();
    const auto router_state = state_of_router();
    const auto account_state = state_of_account();
    const auto bank_state = state_of_bank();
    const auto borrower_state = state_of_borrower();
    const auto coordinator_state = state_of_coordinator();
    const auto record_size = size_of_record();
    print_fit("configuration, bytes against databases", "B",
              configuration_state);
    print_fit("router, bytes against databases", "B", router_state);
    print_fit("configuration, bytes against accounts", "B", account_state);
    print_fit("bank, bytes against accounts", "B", bank_state);
    print_fit("borrower, bytes against active accounts", "B", borrower_state);
    print_fit("coordinators, bytes against groups", "B", coordinator_state);

    print_fit("configuration record, bytes against databases", "B",
              record_size);

    const auto times = measure_decisions();
    std::printf("\nOne decision, ns: route %.0f, sign token %.0f, verify "
                "token %.0f, check key %.0f, admit %.0f, statement codec "
                "%.0f, coordinator tick of 20 ms %.0f\n",
                times.route, times.sign, times.verify, times.check_key,
                times.admit, times.statement_codec, times.probe);

    const auto groups_per_node =
        target_databases * coordinators_per_group / target_nodes;
    const auto probes_per_node =
        groups_per_node * targets_per_database * probe_rate;
    const auto coordinator_percent =
        groups_per_node * 50 * times.probe * 1e-9 * 100;
    const auto memory_mb = (fit(configuration_state).at(target_databases) +
                            fit(router_state).at(target_databases) +
                            fit(account_state).at(target_accounts) +
                            fit(borrower_state).at(target_accounts / 10)) /
                           1e6;
    std::printf("\nAt the target size (%g nodes, %g domains, %g databases, "
                "%g accounts)\n",
                target_nodes, target_domains, target_databases,
                target_accounts);
    print_row("control bytes/s, mean node", at_target.bytes_per_node_second,
              "B/s", budget_bytes);
    print_row("control bytes/s, lead", at_target.lead_bytes_per_second, "B/s",
              budget_bytes);
    print_row("control core, mean node", at_target.core_percent_per_node, "%",
              budget_core_percent);
    print_row("control core, lead", at_target.lead_core_percent, "%",
              budget_core_percent);
    print_row("control core, coordinator decisions", coordinator_percent, "%",
              budget_core_percent);
    print_row("probes/s a node at ten a second and target", probes_per_node,
              "1/s");
    print_row("memory for versions, routes and limits", memory_mb, "MB",
              budget_memory_mb);
    print_row("memory of a bank", fit(bank_state).at(target_accounts) / 1e6,
              "MB", budget_memory_mb);
    print_row("platform calls/s of all leads",
              at_target.platform_calls_per_second, "1/s", 2000);
    print_row("platform writes/s for 194 VMs replaced daily",
              vms_replaced_daily / seconds_per_day, "1/s");
    const auto record_bytes = fit(record_size).at(target_databases);
    print_row("configuration record in one value", record_bytes, "B",
              standins::platform_store::max_value_bytes);
    print_row("configuration changes sent whole, mean of a day",
              record_bytes * changes_daily / seconds_per_day, "B/s",
              budget_bytes);
    print_row("VM list sent whole by a lead, mean of a day",
              vm_entry_bytes * target_nodes * target_nodes / target_domains *
                  vms_replaced_daily * 2 / seconds_per_day,
              "B/s", budget_bytes);
    print_row("change everywhere after", at_target.spread_seconds, "s", 5);
    print_row("announcement of a promotion, messages at once", target_nodes,
              "");
    print_row("statements/s a node", target_statements / target_nodes, "1/s");
    print_row("connections a node", target_connections / target_nodes, "");
    return 0;
}
