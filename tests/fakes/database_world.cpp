#include "database_world_parts.hpp"

#include <algorithm>

namespace fakes
{

namespace
{

constexpr auto tick_interval = milliseconds(20);
constexpr auto record_watch_interval = milliseconds(1000);
constexpr auto pull_interval = milliseconds(5);
constexpr auto command_timeout = milliseconds(400);
constexpr auto platform_timeout = milliseconds(1000);
constexpr auto fault_interval = milliseconds(400);
constexpr auto settling_time = seconds(15);
constexpr std::size_t node_count = 6;
constexpr std::size_t session_count = 6;
const std::vector<std::string> domains{"X", "Y", "Z"};

} // namespace

target_status to_target_status(const standins::server_status& status)
{
    target_status converted;
    converted.term = status.term;
    converted.primary = status.primary;
    converted.following = status.following;
    converted.position = status.position;
    converted.last_log_term = status.last_log_term;
    converted.applied = status.applied;
    converted.confirmed = status.confirmed;
    if (status.primary_contact_age)
        converted.primary_contact_age =
            std::chrono::duration_cast<milliseconds>(
                *status.primary_contact_age);
    return converted;
}

database_world::database_world(std::uint64_t seed, const world_faults& faults,
                               planted_bug bug)
    : network_(seed), faults_(faults), bug_(bug)
{
    set_up();
}

database_world::~database_world() = default;

void database_world::set_up()
{
    platform_ = std::make_shared<host>(host{"platform", "platform"});
    configuration_.databases["d"].name = "d";
    for (std::size_t i = 0; i < domains.size(); ++i)
    {
        target declared;
        declared.name = "d-" + std::to_string(i);
        declared.database = "d";
        declared.address = declared.name;
        declared.failure_domain = domains[i];
        targets_.push_back(declared);
        configuration_.targets[declared.name] = declared;
        configuration_.databases["d"].targets.push_back(declared.name);
        auto machine = std::make_shared<host>(host{declared.name, domains[i]});
        servers_.push_back(std::make_shared<server>(
            server{machine, {declared.name, domains.size()}}));
        servers_.back()->state.bootstrap(i == 0, "d-0");
        pull(servers_.back());
    }
    primary_of_term_[1] = "d-0";
    for (std::size_t i = 0; i < node_count; ++i)
    {
        auto vm = std::make_shared<node>();
        vm->machine = std::make_shared<host>(
            host{"vm-" + std::to_string(i), domains[i % domains.size()]});
        vm->rank = i;
        nodes_.push_back(vm);
        start_node(vm);
        tick_node(vm);
        watch_records(vm);
    }
    for (std::size_t i = 0; i < session_count; ++i)
    {
        auto user = std::make_shared<session>();
        user->name = "s" + std::to_string(i);
        sessions_.push_back(user);
    }
}

// A VM that starts has forgotten everything.
void database_world::start_node(const std::shared_ptr<node>& vm)
{
    vm->coordinator =
        std::make_unique<failover_coordinator>("d", vm->identity());
    vm->coordinator->use_members(targets_);
    vm->coordinator->use_rank(vm->rank);
    vm->routes = std::make_unique<router>(vm->machine->domain);
    vm->routes->use_configuration(configuration_);
}

void database_world::tick_node(const std::shared_ptr<node>& vm)
{
    const auto machine = vm->machine;
    network_.on_host(machine, machine->run,
                     [this, vm]
                     {
                         perform(vm, vm->coordinator->tick(network_.now()));
                         vm->routes->learn_group(vm->coordinator->record());
                     });
    network_.at(std::max(machine->paused_until, network_.now()) + tick_interval,
                [this, vm] { tick_node(vm); });
}

// Stands for the lead's watch over the group records and its heartbeats.
void database_world::watch_records(const std::shared_ptr<node>& vm)
{
    network_.after(record_watch_interval, [this, vm] { watch_records(vm); });
    if (!vm->machine->up || vm->machine->paused_until > network_.now())
        return;
    network_.call<std::string>(
        vm->machine, platform_, platform_timeout,
        [this]
        {
            const auto stored = store_.get("groups/d", network_.now());
            return stored ? stored->value : std::string();
        },
        [this, vm](const result<std::string>& outcome)
        {
            if (!succeeded(outcome) || value_of(outcome).empty())
                return;
            const auto record = parse_group_record("d", value_of(outcome));
            vm->coordinator->use_announcement(value_of(record), network_.now());
        });
}

void database_world::perform(const std::shared_ptr<node>& vm,
                             const std::vector<failover_action>& actions)
{
    for (const auto& action : actions)
        perform_one(vm, action);
}

void database_world::perform_one(const std::shared_ptr<node>& vm,
                                 const failover_action& action)
{
    const auto& machine = vm->machine;
    if (!std::holds_alternative<probe_action>(action) &&
        !std::holds_alternative<read_record_action>(action))
        note(machine->name + ": " + to_string(action));
    const auto self = vm->identity();
    const auto command =
        [&](const std::string& name,
            const std::function<bool(standins::database_server&)>& change,
            const std::function<std::vector<failover_action>(
                const result<target_status>&)>& done)
    {
        const auto where = find_server(name);
        network_.call<target_status>(
            machine, where->machine, command_timeout,
            [this, where, change]
            {
                const bool granted = change(where->state);
                auto status =
                    to_target_status(where->state.status(network_.now()));
                status.granted = granted;
                if (status.primary)
                {
                    auto& known = primary_of_term_[status.term];
                    if (known.empty())
                        ++outcome_.promotions;
                    else if (known != where->machine->name)
                        violation("two primaries in term " +
                                  std::to_string(status.term));
                    known = where->machine->name;
                }
                return status;
            },
            [this, vm, done](const result<target_status>& outcome)
            { perform(vm, done(outcome)); });
    };
    if (const auto* probe = std::get_if<probe_action>(&action))
        command(
            probe->target, [](auto&) { return true; },
            [this, vm, name = probe->target](const auto& outcome) {
                return vm->coordinator->on_probe(name, outcome, network_.now());
            });
    else if (const auto* fence = std::get_if<fence_action>(&action))
        command(
            fence->target,
            [self, term = fence->term](auto& state)
            { return state.fence(term, self); },
            [this, vm, name = fence->target](const auto& outcome) {
                return vm->coordinator->on_fenced(name, outcome,
                                                  network_.now());
            });
    else if (const auto* promote = std::get_if<promote_action>(&action))
        command(
            promote->target,
            [self, term = promote->term](auto& state)
            { return state.promote(term, self); },
            [this, vm, name = promote->target](const auto& outcome) {
                return vm->coordinator->on_promoted(name, outcome,
                                                    network_.now());
            });
    else if (const auto* follow = std::get_if<follow_action>(&action))
        command(
            follow->target,
            [term = follow->term, primary = follow->primary](auto& state)
            { return state.follow(term, primary); },
            [](const auto&) { return std::vector<failover_action>(); });
    else if (const auto* read = std::get_if<read_record_action>(&action))
        network_.call<platform_value>(
            machine, platform_, platform_timeout,
            [this]
            {
                const auto stored = store_.get("groups/d", network_.now());
                return stored ? platform_value{"groups/d", stored->value,
                                               stored->revision}
                              : platform_value{"groups/d", "", 0};
            },
            [this, vm, attempt = read->attempt](const auto& outcome) {
                perform(vm, vm->coordinator->on_record(attempt, outcome,
                                                       network_.now()));
            });
    else if (const auto* swap = std::get_if<swap_record_action>(&action))
        network_.call<std::uint64_t>(
            machine, platform_, platform_timeout,
            [this, change = *swap]
            {
                return store_
                    .compare_and_swap("groups/d", change.expected_revision,
                                      serialize_group_record(change.record),
                                      std::nullopt, network_.now())
                    .value_or(0);
            },
            [this, vm,
             attempt = swap->attempt](const result<std::uint64_t>& outcome)
            {
                result<std::uint64_t> answer = outcome;
                if (succeeded(outcome) && value_of(outcome) == 0)
                    answer = error{error_kind::conflict, "cas", "", ""};
                perform(vm, vm->coordinator->on_swapped(attempt, answer,
                                                        network_.now()));
            });
    else if (const auto* news = std::get_if<announce_action>(&action))
        for (const auto& other : nodes_)
            network_.call<bool>(
                machine, other->machine, command_timeout,
                [this, other, record = news->record]
                {
                    other->coordinator->use_announcement(record,
                                                         network_.now());
                    other->routes->learn_group(record);
                    return true;
                },
                [](const auto&) {});
}

// Lets a replica pull from its primary for ever.
void database_world::pull(const std::shared_ptr<server>& replica)
{
    network_.after(pull_interval, [this, replica] { pull(replica); });
    if (!replica->machine->up ||
        replica->machine->paused_until > network_.now())
        return;
    const auto request = replica->state.make_pull();
    if (!request)
        return;
    const auto following = replica->state.status(network_.now()).following;
    const auto primary = find_server(following);
    if (!primary)
        return;
    network_.call<standins::pull_reply>(
        replica->machine, primary->machine, command_timeout,
        [primary, pulled = *request]
        { return primary->state.serve_pull(pulled); },
        [this, replica,
         sent_at = network_.now()](const result<standins::pull_reply>& outcome)
        {
            if (!succeeded(outcome))
                return;
            auto reply = value_of(outcome);
            if (!replica->receives && !reply.mismatch)
                reply.entries.clear();
            replica->state.accept_pull(reply, sent_at, network_.now());
            const auto position = replica->state.position();
            network_.after(replica->apply_delay, [replica, position]
                           { replica->state.apply_up_to(position); });
        });
}

world_outcome database_world::run(duration faulty_time, bool keeps_log)
{
    keeps_log_ = keeps_log;
    const auto end = network_.now() + faulty_time;
    for (const auto& user : sessions_)
        network_.after(milliseconds(500 + network_.below(200)),
                       [this, user] { next_operation(user); });
    network_.after(seconds(1), [this, end] { inject_faults(end); });
    network_.run_until(end);
    faulty_ = false;
    heal();
    network_.run_until(end + settling_time);
    check_at_end();
    return outcome_;
}

void database_world::inject_faults(time_point end)
{
    if (network_.now() >= end)
        return;
    inject_fault();
    const auto pause = fault_interval + milliseconds(network_.below(800));
    network_.after(pause, [this, end] { inject_faults(end); });
}

void database_world::inject_fault()
{
    std::vector<std::function<void()>> choices;
    const auto any_server = servers_[network_.below(servers_.size())];
    const auto any_node = nodes_[network_.below(nodes_.size())];
    const auto length = milliseconds(100 + network_.below(4000));
    const auto& from = domains[network_.below(domains.size())];
    const auto& to = domains[network_.below(domains.size())];
    if (faults_.messages)
        choices.push_back(
            [this]
            {
                network_.faults.loss = network_.share() * 0.2;
                network_.faults.repetition = network_.share() * 0.2;
                network_.faults.stray = network_.share() * 0.1;
            });
    if (faults_.crashes)
    {
        choices.push_back(
            [this, any_server, length]
            {
                note("server down: " + any_server->machine->name);
                any_server->machine->up = false;
                network_.after(length, [any_server]
                               { any_server->machine->up = true; });
            });
        choices.push_back(
            [this, any_node]
            {
                note("VM replaced: " + any_node->machine->name);
                ++any_node->machine->run;
                start_node(any_node);
            });
    }
    if (faults_.pauses)
    {
        choices.push_back(
            [this, any_server, length]
            {
                note("server paused: " + any_server->machine->name);
                any_server->machine->paused_until = network_.now() + length;
            });
        choices.push_back(
            [this, any_node, length]
            {
                note("VM paused: " + any_node->machine->name);
                any_node->machine->paused_until = network_.now() + length;
            });
    }
    if (faults_.cuts)
        choices.push_back(
            [this, from, to, length]
            {
                note("cut from " + from + " to " + to);
                network_.cut(from, to);
                if (network_.share() < 0.5)
                    network_.cut(to, from);
                if (network_.share() < 0.3)
                    network_.cut(from, "platform");
                network_.after(length, [this] { network_.heal(); });
            });
    if (faults_.platform)
        choices.push_back(
            [this, length]
            {
                note("platform paused");
                if (network_.share() < 0.5)
                    platform_->paused_until = network_.now() + length;
                platform_->up = false;
                network_.after(length, [this] { platform_->up = true; });
            });
    if (faults_.lag)
        choices.push_back(
            [this, any_server, length]
            {
                note("server lags: " + any_server->machine->name);
                any_server->apply_delay = milliseconds(network_.below(300));
                any_server->receives = network_.share() < 0.5;
                network_.after(length,
                               [any_server] { any_server->receives = true; });
            });
    if (choices.empty())
        return;
    ++outcome_.faults;
    choices[network_.below(choices.size())]();
}

void database_world::heal()
{
    network_.heal();
    network_.faults = {};
    platform_->up = true;
    platform_->paused_until = {};
    for (const auto& each : servers_)
    {
        each->machine->up = true;
        each->machine->paused_until = {};
        each->receives = true;
        each->apply_delay = {};
    }
}

void database_world::check_at_end()
{
    const auto stored = store_.get("groups/d", network_.now());
    group_record record;
    if (stored)
        record = value_of(parse_group_record("d", stored->value));
    const auto primary = find_server(record.primary);
    if (!primary)
    {
        violation("there is no primary after the faults have ended");
        return;
    }
    for (const auto& user : sessions_)
    {
        const auto term = primary->state.status(network_.now()).term;
        check_read(
            user,
            primary->state.read(term, user->name, 0, {}, network_.now()).value);
    }
    outcome_.recovered = record.steady;
    const auto& log = primary->state.log();
    for (const auto& each : servers_)
    {
        if (each->state.position() != log.size())
            outcome_.recovered = false;
        if (each->state.status(network_.now()).term != record.term)
            outcome_.recovered = false;
    }
    if (!outcome_.recovered)
        violation("the group is not in step after the faults have ended");
}

void database_world::note(const std::string& line)
{
    if (!keeps_log_)
        return;
    const auto at = to_milliseconds(network_.now() - time_point(seconds(1000)));
    outcome_.log.push_back("+" + std::to_string(at) + " ms " + line);
}

void database_world::violation(const std::string& line)
{
    note("VIOLATION " + line);
    outcome_.violations.push_back(line);
}

std::shared_ptr<database_world::server>
database_world::find_server(const std::string& name) const
{
    for (const auto& each : servers_)
        if (each->machine->name == name)
            return each;
    return nullptr;
}

} // namespace fakes
