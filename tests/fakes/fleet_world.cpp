#include "fleet_world_parts.hpp"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace fakes
{

namespace
{

const std::vector<std::string> domains{"a", "b", "c"};
constexpr unsigned vms_per_domain = 2;
constexpr unsigned sessions = 10;
constexpr auto store_history = seconds(20);
constexpr auto usual_lag = milliseconds(8);
constexpr auto promotion_time = milliseconds(300);
constexpr auto store_timeout = milliseconds(1000);
constexpr auto start_time = seconds(2);
constexpr auto healing_time = seconds(12);
constexpr auto refusal_delay = milliseconds(1);
constexpr double primary_share = 0.6;
constexpr double isolation_share = 0.4;
constexpr double drain_share = 0.3;

} // namespace

fleet_world::fleet_world(std::uint64_t seed, const fleet_faults& faults,
                         fleet_bug defect)
    : network_(seed), faults_(faults), bug_(defect), store_(store_history),
      group_(group_name, {"db-a", "db-b", "db-c"}, usual_lag, promotion_time)
{
    platform_ = std::make_shared<host>(host{"platform", "platform"});
    for (const auto& domain : domains)
    {
        const auto id = "db-" + domain;
        servers_[id] = std::make_shared<host>(host{id, domain});
        for (unsigned i = 0; i < vms_per_domain; ++i)
            machines_.push_back(std::make_shared<host>(
                host{"vm-" + domain + std::to_string(i), domain}));
    }
    for (const auto& machine : machines_)
        start_vm(machine);
    for (unsigned i = 0; i < sessions; ++i)
    {
        sessions_.push_back(std::make_shared<session>());
        sessions_.back()->index = i;
    }
}

fleet_world::~fleet_world() = default;

fleet_outcome fleet_world::run(duration fault_duration)
{
    network_.after(start_time,
                   [this]
                   {
                       for (const auto& client : sessions_)
                           next_operation(client);
                   });
    const auto end = network_.now() + start_time + fault_duration;
    if (faults_.messages)
    {
        network_.faults.loss = 0.01;
        network_.faults.stray = 0.03;
    }
    if (faults_.delays)
    {
        network_.faults.stray = 0.2;
        network_.faults.longest_stray = milliseconds(350);
    }
    network_.after(start_time, [this, end] { inject_faults(end); });
    network_.run_until(end);
    heal();
    const auto acknowledged_before = outcome_.acknowledged;
    network_.run_until(end + healing_time);
    outcome_.recovered = outcome_.acknowledged > acknowledged_before;
    outcome_.promotions = group_.completed_promotions();
    check_logs();
    return outcome_;
}

void fleet_world::kill_primary_after(duration delay)
{
    network_.after(delay,
                   [this]
                   {
                       auto* server = group_.find_server("db-a");
                       server->is_running = false;
                       servers_["db-a"]->up = false;
                   });
}

void fleet_world::violation(const std::string& line)
{
    const auto at = to_milliseconds(network_.now().time_since_epoch());
    outcome_.violations.push_back(std::to_string(at) + " ms: " + line);
}

void fleet_world::note(const std::string& line) const
{
    if (std::getenv("OLEANDER_TRACE") != nullptr)
        std::cerr << to_milliseconds(network_.now().time_since_epoch())
                  << " ms: " << line << "\n";
}

std::shared_ptr<host> fleet_world::server_host(const std::string& id) const
{
    return servers_.at(id);
}

void fleet_world::call_store(
    const vm_ptr& from, std::function<store_reply()> serve,
    std::function<void(const result<store_reply>&)> done)
{
    network_.call<store_reply>(
        from->machine, platform_, store_timeout,
        [this, serve]
        {
            store_.process_expirations(network_.now());
            return serve();
        },
        std::move(done), delivery::at_most_once);
}

void fleet_world::call_server(
    const vm_ptr& from, const std::string& id, milliseconds timeout,
    std::function<server_reply(standins::group_server&)> serve,
    std::function<void(const result<server_reply>&)> done)
{
    const auto where = server_host(id);
    if (!where->up)
    {
        const error refused{error_kind::unreachable, "connect", id,
                            "connection refused"};
        network_.after(refusal_delay,
                       [this, from, done, refused]
                       {
                           network_.on_host(from->machine, from->run,
                                            [done, refused] { done(refused); });
                       });
        return;
    }
    network_.call<server_reply>(
        from->machine, where, timeout,
        [this, id, serve]
        {
            group_.complete_due_promotions(network_.now());
            return serve(*group_.find_server(id));
        },
        std::move(done), delivery::at_most_once);
}

fleet_world::store_reply fleet_world::write_store(
    const std::string& key, const std::string& value, std::uint64_t lease,
    std::vector<std::pair<std::string, std::uint64_t>> expected)
{
    store_reply reply;
    reply.outcome =
        store_.write(expected, {{key, value, lease}}, network_.now());
    reply.revision = store_.revision();
    return reply;
}

target_report fleet_world::report_of(const standins::group_server& server)
{
    target_report report;
    report.is_primary = server.is_primary;
    report.term = server.term;
    report.received_position = {
        server.term, server.log.empty() ? 0 : server.log.back().position.index};
    return report;
}

void fleet_world::inject_faults(time_point end)
{
    if (network_.now() >= end)
        return;
    inject_fault();
    network_.after(milliseconds(100 + network_.below(700)),
                   [this, end] { inject_faults(end); });
}

void fleet_world::inject_fault()
{
    std::vector<void (fleet_world::*)()> kinds;
    if (faults_.crashes || faults_.pauses)
        kinds.push_back(&fleet_world::fail_vm);
    if (faults_.cuts)
        kinds.push_back(&fleet_world::fail_link);
    if (faults_.store || faults_.lapses)
        kinds.push_back(&fleet_world::fail_store);
    if (faults_.targets)
        kinds.push_back(&fleet_world::fail_server);
    if (kinds.empty())
        return;
    ++outcome_.faults;
    (this->*kinds[network_.below(kinds.size())])();
}

void fleet_world::fail_vm()
{
    const auto machine = machines_[network_.below(machines_.size())];
    const auto fault_duration = milliseconds(50 + network_.below(3000));
    if (faults_.pauses && (!faults_.crashes || network_.share() < 0.5))
    {
        machine->paused_until = network_.now() + fault_duration;
        return;
    }
    if (!machine->up)
        return;
    machine->up = false;
    ++machine->run;
    network_.after(fault_duration,
                   [this, machine]
                   {
                       if (machine->up)
                           return;
                       machine->up = true;
                       start_vm(machine);
                   });
}

void fleet_world::fail_link()
{
    // One link fault at a time, since ending a fault unblocks all links.
    if (std::exchange(has_cuts_, true))
        return;
    const auto first = domains[network_.below(domains.size())];
    const auto fault_duration = milliseconds(100 + network_.below(5000));
    network_.after(fault_duration,
                   [this]
                   {
                       note("all links restored");
                       network_.heal();
                       has_cuts_ = false;
                   });
    if (network_.share() < isolation_share)
    {
        note("failure domain " + first + " isolated");
        // Callers, VMs and the server in the domain still reach each other.
        for (const auto& other : {"a", "b", "c", "platform"})
        {
            if (first == other)
                continue;
            network_.cut(first, other);
            network_.cut(other, first);
        }
        return;
    }
    const auto second = network_.share() < 0.3
                            ? std::string("platform")
                            : domains[network_.below(domains.size())];
    if (first == second)
        return;
    note("messages blocked from " + first + " to " + second);
    network_.cut(first, second);
    if (network_.share() < 0.7)
        network_.cut(second, first);
}

void fleet_world::fail_store()
{
    if (faults_.lapses && (!faults_.store || network_.share() < 0.3))
        return store_.expire_all_leases(network_.now());
    if (network_.share() < 0.2)
        return store_.discard_history();
    platform_->up = false;
    network_.after(milliseconds(100 + network_.below(4000)),
                   [this] { platform_->up = true; });
}

// A commit that only one server has received is lost with that server. The
// system does not promise to keep such commits, so server faults are injected
// only while all servers have the same log.
bool fleet_world::is_group_whole() const
{
    const standins::group_server* first = nullptr;
    for (const auto& [id, server] : group_.servers())
    {
        if (!server.is_running || !server.receives_commits ||
            server.promotion_due_at)
            return false;
        if (first == nullptr)
            first = &server;
        if (server.term != first->term ||
            server.log.size() != first->log.size())
            return false;
    }
    return true;
}

void fleet_world::fail_server()
{
    if (!is_group_whole())
        return;
    auto server = group_.servers().begin();
    std::advance(server, network_.below(group_.servers().size()));
    // Faults of the primary are more frequent, because they exercise most of
    // the failover logic.
    if (network_.share() < primary_share)
        server = std::find_if(group_.servers().begin(), group_.servers().end(),
                              [](const auto& entry)
                              { return entry.second.is_primary; });
    const auto id = server->first;
    const auto fault_duration = milliseconds(50 + network_.below(4000));
    const auto kind = server->second.is_primary ? 2 : network_.below(3);
    if (kind == 0)
    {
        note(id + " stops receiving commits");
        server->second.receives_commits = false;
        network_.after(fault_duration, [this, id]
                       { group_.resume_replication(*group_.find_server(id)); });
        return;
    }
    if (kind == 1)
    {
        note("replication lag increases");
        group_.set_replication_lag(milliseconds(1 + network_.below(3000)));
        network_.after(fault_duration,
                       [this] { group_.set_replication_lag(usual_lag); });
        return;
    }
    if (server->second.is_primary && network_.share() < drain_share)
    {
        note(id + " is draining");
        set_draining(id, true);
        network_.after(fault_duration, [this, id] { set_draining(id, false); });
        return;
    }
    note(id + " crashes");
    server->second.is_running = false;
    servers_[id]->up = false;
    network_.after(fault_duration, [this, id] { restart_server(id); });
}

void fleet_world::set_draining(const std::string& id, bool draining)
{
    for (const auto& [name, node] : vms_)
    {
        auto record = *node->view.registry.find(id);
        record.is_draining = draining;
        node->view.registry.put(record);
    }
}

void fleet_world::restart_server(const std::string& id)
{
    auto* server = group_.find_server(id);
    if (server->is_running)
        return;
    group_.complete_due_promotions(network_.now());
    note(id + " restarts");
    server->is_running = true;
    servers_[id]->up = true;
    for (const auto& [other_id, other] : group_.servers())
        if (other.is_primary && other.term > server->term)
            group_.demote(*server, other.term);
    group_.resume_replication(*server);
}

void fleet_world::heal()
{
    network_.heal();
    network_.faults = {};
    platform_->up = true;
    group_.set_replication_lag(usual_lag);
    for (const auto& machine : machines_)
    {
        machine->paused_until = network_.now();
        if (machine->up)
            continue;
        machine->up = true;
        start_vm(machine);
    }
    for (auto& [id, server] : group_.servers())
    {
        restart_server(id);
        if (!server.receives_commits)
            group_.resume_replication(server);
    }
}

} // namespace fakes
