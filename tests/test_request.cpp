/// Tests of tokens, keys, routes and retries.
#include <oleandergrade/connection/peer_message.hpp>
#include <oleandergrade/connection/session_token.hpp>
#include <oleandergrade/process/fair_queue.hpp>
#include <oleandergrade/request/caller_request.hpp>
#include <oleandergrade/request/retry_policy.hpp>
#include <oleandergrade/request/router.hpp>
#include <oleandergrade/version/key_check.hpp>

#include <criterion/criterion.h>

using namespace oleandergrade;

namespace
{

configuration three_servers()
{
    std::vector<ini_problem> problems;
    auto value = parse_configuration("test", R"([fleet]
failure_domains = X, Y, Z
[account crew]
rate = 10
[database d]
[target d-a]
database = d
address = 127.0.0.1:1001
failure_domain = X
[target d-b]
database = d
address = 127.0.0.1:1002
failure_domain = Y
[target d-c]
database = d
address = 127.0.0.1:1003
failure_domain = Z
)",
                                     problems);
    cr_assert(problems.empty());
    return value;
}

router make_router()
{
    router routes("Y");
    routes.use_configuration(three_servers());
    routes.learn_group({"d", 3, "d-a", true, ""});
    return routes;
}

route_request read_with(std::optional<session_token> session)
{
    return {statement_kind::read, "d", std::move(session), milliseconds(0), {}};
}

const time_point start{seconds(100)};

} // namespace

Test(session_token, survives_signing)
{
    const session_token token{"crew", "d", {3, 17}, true};
    const auto text = sign_session_token(token, "secret");
    const auto verified = verify_session_token(text, "secret");
    cr_assert(succeeded(verified));
    cr_assert(value_of(verified) == token);
}

Test(session_token, rejects_any_changed_digit)
{
    const auto text = sign_session_token({"crew", "d", {3, 17}, false}, "s");
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto forged = text;
        forged[i] = forged[i] == '0' ? '1' : '0';
        cr_assert(!succeeded(verify_session_token(forged, "s")));
    }
    cr_assert(!succeeded(verify_session_token(text, "other secret")));
    cr_assert(!succeeded(verify_session_token("", "s")));
}

Test(session_token, forgets_an_unknown_write_only_in_a_later_term)
{
    session_token token{"crew", "d", {3, 17}, false};
    token = token.with_unknown_write(3);
    cr_assert(token.advanced_to({3, 20}).unsettled);
    cr_assert(!token.advanced_to({4, 1}).unsettled);
    cr_assert(token.advanced_to({4, 1}).position == log_position({4, 17}));
}

Test(key_check, accepts_only_the_issued_key)
{
    auto value = three_servers();
    const auto issued = issue_key("crew");
    value.keys[issued.record.id] = issued.record;
    const auto accepted = check_key(value, issued.clear_text);
    cr_assert(accepted.refusal == refusal_code::none);
    cr_assert(accepted.account == "crew");
    auto wrong = issued.clear_text;
    wrong.back() = wrong.back() == '0' ? '1' : '0';
    cr_assert(check_key(value, wrong).refusal == refusal_code::unknown_key);
    cr_assert(check_key(value, "").refusal == refusal_code::unknown_key);
    value.keys[issued.record.id].withdrawn = true;
    cr_assert(check_key(value, issued.clear_text).refusal ==
              refusal_code::key_withdrawn);
    cr_assert(is_key_withdrawn(value, issued.record.id));
}

// Found by scripts/demo.sh: an owner that had not yet heard of a new key
// refused its requests as withdrawn.
Test(key_check, takes_an_unknown_key_for_a_new_one)
{
    auto value = three_servers();
    cr_assert(!is_key_withdrawn(value, "issued-later"));
    value.keys["old"] = {"old", "removed account", "", "", false};
    cr_assert(is_key_withdrawn(value, "old"));
}

Test(key_check, keeps_no_clear_text)
{
    auto value = three_servers();
    const auto issued = issue_key("crew");
    value.keys[issued.record.id] = issued.record;
    const auto secret =
        issued.clear_text.substr(issued.clear_text.find('.') + 1);
    cr_assert(serialize_configuration(value).find(secret) == std::string::npos);
}

Test(router, sends_reads_without_a_session_to_the_primary)
{
    auto routes = make_router();
    const auto decision = routes.decide(read_with(std::nullopt), start);
    cr_assert(std::get<route>(decision).target == "d-a");
}

Test(router, prefers_the_replica_of_the_own_domain)
{
    auto routes = make_router();
    const session_token token{"crew", "d", {3, 5}, false};
    const auto decision = routes.decide(read_with(token), start);
    const auto& chosen = std::get<route>(decision);
    cr_assert(chosen.target == "d-b");
    cr_assert(chosen.min_position == 5);
}

Test(router, sends_a_session_with_an_unknown_write_to_the_primary)
{
    auto routes = make_router();
    const session_token token{"crew", "d", {3, 5}, true};
    const auto decision = routes.decide(read_with(token), start);
    cr_assert(std::get<route>(decision).is_primary);
}

Test(router, waits_when_the_session_has_seen_a_later_term)
{
    auto routes = make_router();
    const session_token token{"crew", "d", {4, 5}, false};
    const auto decision = routes.decide(read_with(token), start);
    cr_assert(std::holds_alternative<no_route>(decision));
}

Test(router, passes_over_a_replica_that_was_behind)
{
    auto routes = make_router();
    const session_token token{"crew", "d", {3, 5}, false};
    routes.learn_behind("d-b", start);
    auto decision = routes.decide(read_with(token), start);
    cr_assert(std::get<route>(decision).target == "d-c");
    routes.learn_position("d-b", {3, 5}, start);
    decision = routes.decide(read_with(token), start);
    cr_assert(std::get<route>(decision).target == "d-b");
}

Test(router, gives_a_leaving_target_no_reads)
{
    auto value = three_servers();
    value.targets["d-b"].leaving = true;
    router routes("Y");
    routes.use_configuration(value);
    routes.learn_group({"d", 3, "d-a", true, ""});
    const session_token token{"crew", "d", {3, 5}, false};
    const auto decision = routes.decide(read_with(token), start);
    cr_assert(std::get<route>(decision).target == "d-c");
}

Test(router, never_goes_back_to_an_older_term)
{
    auto routes = make_router();
    cr_assert(routes.learn_group({"d", 4, "d-c", true, ""}));
    cr_assert(!routes.learn_group({"d", 3, "d-b", true, ""}));
    cr_assert(routes.find_group("d")->primary == "d-c");
}

Test(retry_policy, sends_a_write_of_unknown_outcome_again_only_with_an_id)
{
    statement sent;
    sent.kind = statement_kind::write;
    const auto lost =
        unknown_outcome(refusal_code::connection_lost, "", "", "");
    cr_assert(action_after(lost, sent) == retry_action::give_up);
    sent.request_id = "id";
    cr_assert(action_after(lost, sent) == retry_action::back_off);
}

Test(retry_policy, gives_final_refusals_at_once)
{
    statement sent;
    sent.kind = statement_kind::read;
    for (const auto code :
         {refusal_code::deadline, refusal_code::overloaded,
          refusal_code::over_rate, refusal_code::key_withdrawn})
        cr_assert(action_after(refuse(code, "", "", ""), sent) ==
                  retry_action::give_up);
}

Test(retry_policy, bounds_retries_to_a_share_of_the_requests)
{
    retry_budget budget;
    unsigned retries = 0;
    for (unsigned i = 0; i < 10000; ++i)
    {
        budget.count_request();
        retries += budget.spend() ? 1 : 0;
    }
    cr_assert(retries <= 10000 / 5 + 100);
}

Test(caller_request, names_what_is_wrong)
{
    const auto parse = [](const char* body)
    {
        const auto outcome = parse_caller_request(statement_kind::write, body);
        const auto* refusal = std::get_if<answer>(&outcome);
        return refusal == nullptr ? std::string() : refusal->message;
    };
    cr_assert(parse("{").find("not a JSON object") != std::string::npos);
    cr_assert(parse("[]").find("JSON object") != std::string::npos);
    cr_assert(parse("{}").find("'database'") != std::string::npos);
    cr_assert(parse(R"({"database":1})").find("'database'") !=
              std::string::npos);
    cr_assert(parse(R"({"database":"d"})").find("'statement'") !=
              std::string::npos);
    cr_assert(parse(R"({"database":"d","statement":{},"deadline_ms":0})")
                  .find("'deadline_ms'") != std::string::npos);
    cr_assert(parse(R"({"database":"d","statement":{}})").empty());
}

Test(peer_message, survives_encoding)
{
    statement sent;
    sent.account = "crew";
    sent.database = "d";
    sent.kind = statement_kind::commit;
    sent.text = "{\"key\":1}";
    sent.budget = milliseconds(7);
    heartbeat state;
    state.node = "n";
    state.leads = {{"X", "x-1"}};
    state.held = {1, 2, 3};
    state.groups = {{"d", 3, "d-a", true, ""}};
    state.epoch = 9;
    const token_request wish{"n", "crew", 5, {{1, 2, 3}}};
    for (const peer_message& message :
         {peer_message{1, sent}, peer_message{2, state}, peer_message{3, wish},
          peer_message{4, configuration_reply{2, "text"}}})
    {
        const auto decoded = decode_peer_message(encode_peer_message(message));
        cr_assert(succeeded(decoded));
        cr_assert(value_of(decoded) == message);
    }
}

Test(peer_message, refuses_frames_that_are_no_messages)
{
    cr_assert(!succeeded(decode_peer_message("")));
    cr_assert(!succeeded(decode_peer_message("\x01")));
    cr_assert(!succeeded(decode_peer_message(std::string(64, '\xff'))));
}

Test(fair_queue, shares_turns_by_weight)
{
    fair_queue queue;
    for (std::uint64_t ticket = 0; ticket < 300; ++ticket)
        cr_assert(queue.push(ticket, "noisy", 1));
    for (std::uint64_t ticket = 1000; ticket < 1030; ++ticket)
        cr_assert(queue.push(ticket, "large", 2));
    unsigned large = 0;
    for (int turn = 0; turn < 45; ++turn)
        large += *queue.pop() >= 1000 ? 1 : 0;
    cr_assert(large == 30);
    cr_assert(queue.size() == 285);
}

Test(fair_queue, forgets_removed_statements_and_keeps_its_limits)
{
    fair_queue queue({3, 2});
    cr_assert(queue.push(1, "a", 1));
    cr_assert(queue.push(2, "a", 1));
    cr_assert(!queue.push(3, "a", 1));
    cr_assert(queue.push(4, "b", 1));
    cr_assert(!queue.push(5, "c", 1));
    cr_assert(queue.remove(1));
    cr_assert(queue.remove(2));
    cr_assert(!queue.remove(2));
    cr_assert(queue.push(6, "a", 1));
    cr_assert(queue.size() == 2);
    cr_assert(queue.pop().has_value() && queue.pop().has_value());
    cr_assert(!queue.pop().has_value());
}
