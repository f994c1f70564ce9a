#include "database_world.hpp"

#include <algorithm>
#include <sstream>

namespace fakes
{

namespace
{

constexpr auto tick_interval = milliseconds(20);
constexpr auto record_watch_interval = milliseconds(1000);
constexpr auto pull_interval = milliseconds(5);
constexpr auto command_timeout = milliseconds(400);
constexpr auto platform_timeout = milliseconds(1000);
constexpr auto stated_age = milliseconds(200);
constexpr auto confirm_interval = milliseconds(10);
constexpr auto request_deadline = milliseconds(2000);
/// A caller gives up on an entry VM that does not answer at all.
constexpr auto caller_patience = milliseconds(500);
constexpr auto fault_interval = milliseconds(400);
constexpr auto settling_time = seconds(15);
constexpr std::size_t node_count = 6;
constexpr std::size_t session_count = 6;
const std::vector<std::string> domains{"X", "Y", "Z"};

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

answer to_answer(const standins::statement_reply& reply,
                 const std::string& target)
{
    using standins::statement_status;
    answer converted;
    switch (reply.status)
    {
    case statement_status::done:
        converted.run = run_status::ran;
        converted.value = reply.value;
        converted.position = {reply.term, reply.position};
        return converted;
    case statement_status::behind:
        return refuse(refusal_code::behind, "read", target, "");
    case statement_status::wrong_term:
    case statement_status::not_primary:
        return refuse(refusal_code::wrong_term, "execute", target, "");
    }
    return converted;
}

} // namespace

struct database_world::server
{
    std::shared_ptr<host> machine;
    standins::database_server state;
    duration apply_delay{0};
    bool receives = true;
};

struct database_world::node
{
    std::shared_ptr<host> machine;
    std::size_t rank = 0;
    std::unique_ptr<failover_coordinator> coordinator;
    std::unique_ptr<router> routes;

    std::string identity() const
    {
        return machine->name + "#" + std::to_string(machine->run);
    }
};

struct database_world::session
{
    std::string name;
    std::shared_ptr<node> entry;
    std::optional<session_token> token;
    statement sent;
    time_point deadline;
    std::vector<std::string> excluded;
    bool may_have_run = false;
    unsigned attempts = 0;
    unsigned number = 0;
    std::set<unsigned> acknowledged;
    std::map<unsigned, time_point> acknowledged_at;
    std::set<unsigned> unknown;
    time_point started_at;
    /// The read states an age and brings no session.
    bool browses = false;
    /// Number of the operation under way; what belongs to an earlier one is
    /// ignored.
    std::uint64_t operation = 0;
};

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

void database_world::next_operation(const std::shared_ptr<session>& user)
{
    if (!faulty_)
        return;
    const auto operation = ++user->operation;
    user->entry = nodes_[network_.below(nodes_.size())];
    user->deadline = network_.now() + request_deadline;
    user->excluded.clear();
    user->may_have_run = false;
    user->attempts = 0;
    user->sent = {};
    user->sent.database = "d";
    user->sent.account = "a";
    user->started_at = network_.now();
    user->browses = false;
    const bool writes = network_.share() < 0.5;
    user->sent.kind = writes ? statement_kind::write : statement_kind::read;
    if (!writes && network_.share() < 0.3)
    {
        user->browses = true;
        user->sent.max_age = stated_age;
    }
    if (writes)
    {
        ++user->number;
        user->sent.text = std::to_string(user->number) + ";";
        if (network_.share() < 0.5)
            user->sent.request_id =
                user->name + "#" + std::to_string(user->number);
    }
    network_.at(user->deadline + caller_patience,
                [this, user, operation]
                {
                    if (user->operation == operation)
                        finish(user,
                               unknown_outcome(refusal_code::connection_lost,
                                               "wait", "entry VM", ""));
                });
    attempt(user);
}

// Follows the steps of entry_service::run over the same decision logic.
void database_world::attempt(const std::shared_ptr<session>& user)
{
    if (network_.now() >= user->deadline)
    {
        finish(user, refuse(refusal_code::no_primary, "wait", "", ""));
        return;
    }
    const auto decision = user->entry->routes->decide(
        {user->sent.kind, "d", user->browses ? std::nullopt : user->token,
         user->sent.max_age, user->excluded},
        network_.now());
    if (std::holds_alternative<no_route>(decision))
    {
        retry_after(user, milliseconds(5));
        return;
    }
    execute(user, std::get<route>(decision));
}

void database_world::retry_after(const std::shared_ptr<session>& user,
                                 duration delay)
{
    network_.after(delay,
                   [this, user, operation = user->operation]
                   {
                       if (user->operation == operation)
                           attempt(user);
                   });
}

void database_world::execute(const std::shared_ptr<session>& user,
                             const route& chosen)
{
    ++user->attempts;
    user->sent.target = chosen.target;
    user->sent.term = chosen.term;
    const auto where = find_server(chosen.target);
    const auto sent = user->sent;
    const auto min_position =
        bug_ == planted_bug::forgotten_position ? 0 : chosen.min_position;
    const auto max_age =
        bug_ == planted_bug::forgotten_age ? milliseconds(0) : sent.max_age;
    const auto left =
        std::max<duration>(user->deadline - network_.now(), milliseconds(1));
    network_.call<standins::statement_reply>(
        user->entry->machine, where->machine, left,
        [this, where, sent, min_position, max_age, key = user->name]
        {
            return sent.kind == statement_kind::read
                       ? where->state.read(sent.term, key, min_position,
                                           max_age, network_.now())
                       : where->state.write(sent.term, {{key, sent.text, true}},
                                            sent.request_id);
        },
        [this, user, chosen, operation = user->operation](
            const result<standins::statement_reply>& outcome)
        {
            if (user->operation != operation)
                return;
            answer reply;
            if (succeeded(outcome))
                reply = to_answer(value_of(outcome), chosen.target);
            else if (bug_ == planted_bug::false_denial)
                reply = refuse(refusal_code::deadline, "", "", "");
            else
                reply = unknown_outcome(refusal_code::connection_lost,
                                        "execute", chosen.target, "");
            const bool must_confirm =
                reply.run == run_status::ran && changes_data(user->sent.kind) &&
                bug_ != planted_bug::early_acknowledgement;
            if (must_confirm)
                confirm(user, reply, chosen);
            else
                finish(user, reply);
        },
        delivery::at_most_once);
}

// Follows target_gateway::confirm.
void database_world::confirm(const std::shared_ptr<session>& user, answer done,
                             const route& chosen)
{
    const auto where = find_server(chosen.target);
    network_.call<target_status>(
        user->entry->machine, where->machine, command_timeout,
        [this, where]
        { return to_target_status(where->state.status(network_.now())); },
        [this, user, done, chosen,
         operation = user->operation](const result<target_status>& outcome)
        {
            if (user->operation != operation)
                return;
            if (succeeded(outcome) &&
                confirms(value_of(outcome), done.position))
            {
                finish(user, done);
                return;
            }
            const bool is_settled =
                succeeded(outcome) &&
                value_of(outcome).term != done.position.term;
            if (is_settled || network_.now() >= user->deadline)
            {
                finish(user, unknown_outcome(refusal_code::unconfirmed,
                                             "confirm", chosen.target, ""));
                return;
            }
            network_.after(confirm_interval,
                           [this, user, done, chosen, operation]
                           {
                               if (user->operation == operation)
                                   confirm(user, done, chosen);
                           });
        });
}

void database_world::finish(const std::shared_ptr<session>& user,
                            answer outcome)
{
    auto& sent = user->sent;
    auto action = action_after(outcome, sent);
    if (bug_ == planted_bug::blind_retry &&
        outcome.run == run_status::outcome_unknown)
        action = retry_action::back_off;
    const bool writes = changes_data(sent.kind);
    if (outcome.run == run_status::outcome_unknown && writes)
        user->may_have_run = true;
    const bool retries = outcome.run != run_status::ran &&
                         action != retry_action::give_up &&
                         network_.now() + milliseconds(50) < user->deadline;
    if (outcome.code == refusal_code::behind)
        user->entry->routes->learn_behind(sent.target, network_.now());
    if (retries)
    {
        user->excluded.push_back(sent.target);
        const auto delay =
            action == retry_action::reroute
                ? milliseconds(0)
                : back_off_delay(user->attempts, network_.share());
        retry_after(user, delay);
        return;
    }
    if (user->may_have_run && outcome.run == run_status::not_run)
        outcome.run = run_status::outcome_unknown;
    note_answer(*user, outcome);
    auto token = user->token.value_or(session_token{"a", "d", {}, false});
    if (outcome.run == run_status::ran && !user->browses)
    {
        user->entry->routes->learn_position(sent.target, outcome.position,
                                            network_.now());
        user->token = token.advanced_to(outcome.position);
    }
    if (writes && outcome.run == run_status::ran)
    {
        ++outcome_.acknowledged;
        user->acknowledged.insert(user->number);
        user->acknowledged_at[user->number] = network_.now();
    }
    else if (writes && outcome.run == run_status::outcome_unknown)
    {
        ++outcome_.unknown;
        user->unknown.insert(user->number);
        user->token = token.with_unknown_write(sent.term);
    }
    else if (outcome.run == run_status::ran)
    {
        ++outcome_.reads;
        const auto* record = user->entry->routes->find_group("d");
        if (record != nullptr && record->primary != sent.target)
            ++outcome_.replica_reads;
        if (user->browses)
            check_age(user, outcome.value);
        else
            check_read(user, outcome.value);
    }
    else
    {
        ++outcome_.not_run;
    }
    ++user->operation;
    network_.after(milliseconds(5 + network_.below(40)),
                   [this, user] { next_operation(user); });
}

void database_world::check_read(const std::shared_ptr<session>& user,
                                const std::string& value)
{
    std::map<unsigned, unsigned> seen;
    std::istringstream numbers(value);
    std::string item;
    while (std::getline(numbers, item, ';'))
        ++seen[static_cast<unsigned>(std::stoul(item))];
    for (const auto number : user->acknowledged)
        if (!seen.contains(number))
            violation(user->name + " does not see its acknowledged write " +
                      std::to_string(number));
    for (const auto& [number, count] : seen)
    {
        if (count > 1)
            violation(user->name + " sees write " + std::to_string(number) +
                      " " + std::to_string(count) + " times");
        if (!user->acknowledged.contains(number) &&
            !user->unknown.contains(number))
            violation(user->name + " sees write " + std::to_string(number) +
                      ", which was refused as not run");
    }
}

// A read that states an age sees all that was acknowledged before.
void database_world::check_age(const std::shared_ptr<session>& user,
                               const std::string& value)
{
    const auto text = ";" + value;
    for (const auto& [number, at] : user->acknowledged_at)
        if (at + stated_age < user->started_at &&
            text.find(";" + std::to_string(number) + ";") == std::string::npos)
            violation(user->name + " reads data older than it accepts: " +
                      std::to_string(number) + " is missing");
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

void database_world::note_answer(const session& user, const answer& outcome)
{
    const auto& sent = user.sent;
    auto line = user.name + " " + to_string(sent.kind);
    if (changes_data(sent.kind))
        line += " " + std::to_string(user.number);
    if (!sent.request_id.empty())
        line += " with an identifier";
    if (user.browses)
        line += " of a stated age";
    line +=
        " through " + user.entry->machine->name + ": " + to_string(outcome.run);
    if (outcome.run == run_status::ran)
        line += " at " + sent.target + ", term " +
                std::to_string(outcome.position.term) + " position " +
                std::to_string(outcome.position.position);
    else
        line += std::string(", ") + to_string(outcome.code);
    if (user.attempts > 1)
        line += ", " + std::to_string(user.attempts) + " attempts";
    note(line);
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
