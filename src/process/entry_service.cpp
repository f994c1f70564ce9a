#include <oleandergrade/process/entry_service.hpp>

#include <oleandergrade/process/log.hpp>
#include <oleandergrade/version/key_check.hpp>

#include <algorithm>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

constexpr auto leadership_poll_interval = milliseconds(5);
constexpr auto no_primary_retry_after = milliseconds(500);
/// Waits shorter than this are left out of traces.
constexpr auto notable_wait = milliseconds(1);
constexpr auto freshness_wait = milliseconds(500);
constexpr auto freshness_poll_interval = milliseconds(10);
constexpr auto stale_retry_after = milliseconds(1000);
/// Requests that may wait for a primary at the same time.
constexpr std::size_t max_waiting_for_primary = 4096;
/// Added to a peer's budget, so that its own answer comes first.
constexpr auto answer_margin = milliseconds(30);

struct caller_path
{
    const char* path;
    statement_kind kind;
};

constexpr caller_path caller_paths[] = {
    {"/v1/read", statement_kind::read},
    {"/v1/write", statement_kind::write},
    {"/v1/begin", statement_kind::begin},
    {"/v1/transaction/read", statement_kind::transaction_read},
    {"/v1/transaction/write", statement_kind::transaction_write},
    {"/v1/commit", statement_kind::commit},
    {"/v1/rollback", statement_kind::rollback},
};

milliseconds time_left(time_point deadline)
{
    return std::chrono::duration_cast<milliseconds>(deadline - clock::now());
}

answer deadline_passed(const std::string& message)
{
    return refuse(refusal_code::deadline, "wait", "", message,
                  no_primary_retry_after);
}

} // namespace

entry_service::entry_service(process_context& context,
                             admission_service& admission, owner_service& owner,
                             peer_directory& peers)
    : context_(context), admission_(admission), owner_(owner), peers_(peers),
      random_(std::random_device()()),
      number_prefix_(context.own.node + "-" + std::to_string(random_()) + "-")
{
}

asio::awaitable<http_response> entry_service::serve(http_request request)
{
    http_response response;
    if (request.path == "/v1/health")
    {
        response.status = leaving_ ? 503 : 200;
        response.body =
            leaving_ ? R"({"state":"leaving"})" : R"({"state":"serving"})";
        co_return response;
    }
    if (request.path == "/metrics")
    {
        response.content_type = "text/plain";
        response.body = context_.measured.to_text();
        co_return response;
    }
    for (const auto& known : caller_paths)
        if (request.path == known.path && request.method == "POST")
            co_return co_await serve_statement(std::move(request), known.kind);
    const auto refusal =
        refuse(refusal_code::bad_request, "find path", "",
               "no such path; see the callers' page of the documentation");
    response = to_http_response(refusal, "", "");
    response.status = 404;
    co_return response;
}

asio::awaitable<http_response>
entry_service::serve_statement(http_request request, statement_kind kind)
{
    const auto started_at = clock::now();
    request_state state;
    state.number = number_prefix_ + std::to_string(next_number_++);
    auto parsed = parse_caller_request(kind, request.body);
    if (auto* refusal = std::get_if<answer>(&parsed))
    {
        context_.measured.count_answer(refusal->run, refusal->code);
        co_return to_http_response(*refusal, state.number, "");
    }
    auto& wanted = std::get<caller_request>(parsed);
    state.sent = std::move(wanted.wanted);
    state.sent.request_number = state.number;
    state.deadline = started_at + wanted.deadline;

    if (!request.key.empty())
        co_await await_freshness(state.deadline);
    auto refusal = identify(state, request.key);
    if (!refusal)
        refusal = take_in_session(state, wanted.session);
    if (!refusal)
        refusal = co_await admit(state);
    answer outcome;
    if (refusal)
        outcome = std::move(*refusal);
    else if (state.sent.transaction.empty())
        outcome = co_await run(state);
    else
        outcome = co_await run_in_transaction(state);

    if (outcome.run != run_status::ran)
        trace(state, std::string("answered ") + to_string(outcome.run) + " " +
                         to_string(outcome.code) + " at step " + outcome.step +
                         ": " + outcome.message);
    context_.measured.count_answer(outcome.run, outcome.code);
    context_.measured.observe(kind == statement_kind::read
                                  ? latency_kind::caller_read
                                  : latency_kind::caller_write,
                              clock::now() - started_at);
    co_return to_http_response(outcome, state.number,
                               session_after(state, outcome));
}

// A VM that was paused or has just started knows soon whether it is up to
// date; its callers wait that long.
asio::awaitable<void> entry_service::await_freshness(time_point deadline)
{
    const auto end = std::min(deadline, clock::now() + freshness_wait);
    while (!context_.view.freshness().may_serve && clock::now() < end)
        co_await sleep_for(freshness_poll_interval);
}

// Finds the account for which the request runs, or the refusal.
std::optional<answer> entry_service::identify(request_state& state,
                                              const std::string& key)
{
    auto& sent = state.sent;
    const auto configuration = context_.view.current_configuration();
    const auto* database = configuration->find_database(sent.database);
    const bool is_open = database != nullptr && database->open_reads &&
                         sent.kind == statement_kind::read;
    if (key.empty() && is_open &&
        configuration->find_account(open_account) != nullptr)
    {
        sent.account = open_account;
        return std::nullopt;
    }
    const auto freshness = context_.view.freshness();
    if (!freshness.may_serve)
        return refuse(refusal_code::stale_configuration, "check key",
                      context_.own.failure_domain,
                      "this failure domain cannot tell whether keys have been "
                      "withdrawn",
                      stale_retry_after);
    const auto decision = check_key(*configuration, key);
    if (decision.refusal != refusal_code::none)
        return refuse(decision.refusal, "check key", "",
                      key.empty() ? "the Oleander-Key header is missing"
                                  : "the key is not valid");
    sent.account = decision.account;
    sent.key_id = decision.key_id;
    if (database == nullptr)
        return refuse(refusal_code::unknown_database, "find database", "",
                      "the database is not configured");
    if (!configuration->accounts.at(sent.account).may_use(sent.database))
        return refuse(refusal_code::database_not_allowed, "find database", "",
                      "the account may not use this database");
    return std::nullopt;
}

std::optional<answer> entry_service::take_in_session(request_state& state,
                                                     const std::string& text)
{
    if (text.empty())
        return std::nullopt;
    const auto configuration = context_.view.current_configuration();
    const auto verified =
        verify_session_token(text, configuration->session_secret);
    if (!succeeded(verified))
        return refuse(refusal_code::bad_session, "verify session", "",
                      error_of(verified).message);
    const auto& token = value_of(verified);
    if (token.account != state.sent.account ||
        token.database != state.sent.database)
        return refuse(refusal_code::bad_session, "verify session", "",
                      "the token belongs to another account or database");
    state.session = token;
    return std::nullopt;
}

asio::awaitable<std::optional<answer>>
entry_service::admit(request_state& state)
{
    const auto started_at = clock::now();
    auto refusal =
        co_await admission_.admit(state.sent.account, state.deadline);
    const auto waited = clock::now() - started_at;
    if (waited >= notable_wait)
        trace(state, "waited " + std::to_string(to_milliseconds(waited)) +
                         " ms for a token of " + state.sent.account);
    co_return refusal;
}

asio::awaitable<answer> entry_service::run(request_state& state)
{
    budget_.count_request();
    for (;;)
    {
        route chosen;
        auto refusal = co_await choose_route(state, chosen);
        answer outcome;
        if (refusal)
        {
            outcome = std::move(*refusal);
        }
        else
        {
            outcome = co_await forward(state, chosen);
            learn(state, chosen, outcome);
            const bool goes_on = co_await prepare_retry(state, outcome);
            if (goes_on)
                continue;
        }
        // What an earlier attempt may have done cannot be denied by a later
        // one that did not run.
        if (state.may_have_run && outcome.run == run_status::not_run)
            outcome.run = run_status::outcome_unknown;
        co_return outcome;
    }
}

asio::awaitable<std::optional<answer>>
entry_service::choose_route(request_state& state, route& chosen)
{
    route_request request{state.sent.kind, state.sent.database, state.session,
                          state.sent.max_age, state.excluded};
    bool waited = false;
    for (;;)
    {
        const auto decision = context_.view.decide(request);
        if (const auto* found = std::get_if<route>(&decision))
        {
            chosen = *found;
            if (waited)
                trace(state, "a primary is known again");
            co_return std::nullopt;
        }
        const auto& none = std::get<no_route>(decision);
        if (none.code == refusal_code::unknown_database)
            co_return refuse(none.code, "choose route", "", none.message);
        if (clock::now() + leadership_poll_interval >= state.deadline)
            co_return refuse(refusal_code::no_primary, "choose route",
                             state.sent.database, none.message,
                             no_primary_retry_after);
        if (waiting_for_primary_ >= max_waiting_for_primary)
            co_return refuse(
                refusal_code::overloaded, "choose route", state.sent.database,
                "too many requests wait for a primary", no_primary_retry_after);
        if (!waited)
            trace(state, "waits: " + none.message);
        waited = true;
        ++waiting_for_primary_;
        co_await sleep_for(leadership_poll_interval);
        --waiting_for_primary_;
    }
}

asio::awaitable<answer> entry_service::forward(request_state& state,
                                               const route& chosen)
{
    state.sent.target = chosen.target;
    state.sent.term = chosen.term;
    state.sent.min_position = chosen.min_position;
    ++state.attempts;
    const auto vms = context_.view.vms();
    auto owners = ranked_owners(*vms, chosen.target, chosen.failure_domain);
    owners.resize(std::min(owners.size(), owners_per_target));
    std::stable_partition(owners.begin(), owners.end(),
                          [&](const vm& owner)
                          { return !peers_.is_suspect(owner.id); });
    answer outcome =
        refuse(refusal_code::target_unreachable, "find owner",
               chosen.failure_domain, "no VM of the failure domain is live");
    for (const auto& owner : owners)
    {
        state.sent.budget = time_left(state.deadline);
        if (state.sent.budget <= milliseconds(0))
            co_return deadline_passed("no time is left to send the request");
        trace(state, "sends to " + chosen.target + " through " + owner.id);
        outcome = co_await call_owner(owner, state.sent);
        const bool is_unreachable =
            outcome.run == run_status::not_run &&
            (outcome.code == refusal_code::not_owner ||
             (outcome.code == refusal_code::target_unreachable &&
              outcome.peer == owner.id));
        if (!is_unreachable)
            break;
    }
    co_return outcome;
}

asio::awaitable<answer> entry_service::call_owner(const vm& owner,
                                                  statement sent)
{
    if (owner.id == context_.own.node)
        co_return co_await owner_.execute(std::move(sent));
    const auto id = owner.id;
    const auto timeout = sent.budget + answer_margin;
    peer_body body = std::move(sent);
    auto outcome = co_await peers_.call(owner, std::move(body), timeout);
    context_.measured.count(counter::peer_calls);
    if (!succeeded(outcome))
    {
        const auto& failure = error_of(outcome);
        if (failure.kind == error_kind::unreachable)
            co_return refuse(refusal_code::target_unreachable, "call owner", id,
                             failure.message);
        co_return unknown_outcome(refusal_code::connection_lost, "call owner",
                                  id, failure.message);
    }
    if (auto* reply = std::get_if<answer>(&value_of(outcome)))
        co_return std::move(*reply);
    co_return unknown_outcome(refusal_code::connection_lost, "call owner", id,
                              "unexpected kind of answer");
}

asio::awaitable<answer> entry_service::run_in_transaction(request_state& state)
{
    const auto node =
        state.sent.transaction.substr(0, state.sent.transaction.find('~'));
    const auto rest = state.sent.transaction.substr(
        std::min(node.size() + 1, state.sent.transaction.size()));
    state.sent.target = rest.substr(0, rest.find('~'));
    const auto configuration = context_.view.current_configuration();
    const auto* held_at = configuration->find_target(state.sent.target);
    if (held_at == nullptr || held_at->database != state.sent.database)
        co_return refuse(refusal_code::unknown_transaction, "find transaction",
                         context_.own.node,
                         "no such transaction is open on this database");
    const auto vms = context_.view.vms();
    const auto* owner = vms->find(node);
    const bool is_commit = state.sent.kind == statement_kind::commit;
    if (owner == nullptr && node != context_.own.node)
    {
        auto lost = refuse(refusal_code::transaction_lost, "find owner", node,
                           "the VM that held the transaction is gone");
        if (is_commit)
            lost.run = run_status::outcome_unknown;
        co_return lost;
    }
    state.sent.budget = time_left(state.deadline);
    vm self;
    self.id = context_.own.node;
    trace(state, "sends to the transaction's owner " + node);
    auto outcome =
        co_await call_owner(owner == nullptr ? self : *owner, state.sent);
    // Nothing of a transaction lasts without its commit.
    if (outcome.run == run_status::outcome_unknown && !is_commit)
        outcome.run = run_status::not_run;
    if (outcome.code == refusal_code::not_owner)
        outcome.code = refusal_code::unknown_transaction;
    co_return outcome;
}

void entry_service::learn(const request_state& state, const route& chosen,
                          const answer& outcome)
{
    const auto& database = state.sent.database;
    if (outcome.run == run_status::ran)
    {
        context_.view.learn_position(database, chosen.target, outcome.position);
        if (state.sent.kind == statement_kind::read)
            context_.measured.count(chosen.is_primary ? counter::primary_reads
                                                      : counter::replica_reads);
        return;
    }
    trace(state, std::string("refused ") + to_string(outcome.code) + " by " +
                     outcome.peer + ": " + outcome.message);
    if (outcome.code == refusal_code::behind)
        context_.view.learn_behind(database, chosen.target);
    const bool is_unreachable =
        outcome.code == refusal_code::target_unreachable ||
        outcome.code == refusal_code::connection_lost;
    if (is_unreachable && !chosen.is_primary)
        context_.view.learn_unreachable(database, chosen.target);
}

// Waits as the retry table says; returns whether another attempt follows.
asio::awaitable<bool> entry_service::prepare_retry(request_state& state,
                                                   const answer& refusal)
{
    const auto action = action_after(refusal, state.sent);
    if (refusal.run == run_status::outcome_unknown &&
        changes_data(state.sent.kind))
        state.may_have_run = true;
    if (action == retry_action::give_up)
        co_return false;
    state.excluded.push_back(state.sent.target);
    if (action != retry_action::reroute)
    {
        std::uniform_real_distribution<double> share(0, 1);
        const auto delay = back_off_delay(state.attempts, share(random_));
        if (clock::now() + delay >= state.deadline)
            co_return false;
        co_await sleep_unless_led_anew(state.sent, delay);
    }
    if (!budget_.spend())
    {
        trace(state, "the retry budget is used up");
        co_return false;
    }
    context_.measured.count(counter::retries);
    co_return true;
}

// Ends early when a new primary is known, so that no caller sleeps into the
// new term.
asio::awaitable<void>
entry_service::sleep_unless_led_anew(const statement& sent, duration delay)
{
    const auto end = clock::now() + delay;
    while (clock::now() < end)
    {
        const auto group = context_.view.group(sent.database);
        if (group.steady && group.term > sent.term)
            co_return;
        co_await sleep_for(
            std::min<duration>(leadership_poll_interval, end - clock::now()));
    }
}

std::string entry_service::session_after(const request_state& state,
                                         const answer& outcome) const
{
    const auto& sent = state.sent;
    const bool is_unsettled =
        outcome.run == run_status::outcome_unknown && changes_data(sent.kind);
    const bool has_position =
        outcome.run == run_status::ran && outcome.position.position > 0;
    if (sent.account.empty() || (!is_unsettled && !has_position))
        return "";
    auto token = state.session.value_or(
        session_token{sent.account, sent.database, {}, false});
    token = is_unsettled ? token.with_unknown_write(sent.term)
                         : token.advanced_to(outcome.position);
    const auto configuration = context_.view.current_configuration();
    return sign_session_token(token, configuration->session_secret);
}

void entry_service::trace(const request_state& state, std::string text)
{
    context_.traces.record(state.number, std::move(text));
}

} // namespace oleandergrade
