#include "database_world_parts.hpp"

#include <algorithm>
#include <sstream>

namespace fakes
{

namespace
{

constexpr auto confirm_interval = milliseconds(10);
constexpr auto request_deadline = milliseconds(2000);
/// A caller gives up on an entry VM that does not answer at all.
constexpr auto caller_patience = milliseconds(500);
constexpr auto stated_age = milliseconds(200);
constexpr auto command_timeout = milliseconds(400);

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

} // namespace fakes
