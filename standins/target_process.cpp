#include "target_process.hpp"

#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/connection/json_response.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace standins
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto pull_wait = milliseconds(50);
constexpr auto pull_timeout = milliseconds(500);
constexpr auto pull_retry_delay = milliseconds(20);
constexpr std::uint64_t max_progress_wait_ms = 1000;

http_response refuse(unsigned status, const char* code, std::uint64_t term)
{
    return json_response(status, {{"error", code}, {"term", term}});
}

std::vector<standins::cell_change> parse_changes(const json::object& statement)
{
    standins::cell_change change;
    change.key = text_field(statement, "key");
    change.append = statement.contains("append");
    change.value = text_field(statement, change.append ? "append" : "value");
    return {change};
}

json::object to_json(const standins::log_entry& entry)
{
    json::array changes;
    for (const auto& change : entry.changes)
        changes.push_back(json::object{{"key", change.key},
                                       {"value", change.value},
                                       {"append", change.append}});
    return {{"term", entry.term},
            {"request_id", entry.request_id},
            {"changes", std::move(changes)}};
}

standins::log_entry parse_log_entry(const json::object& object)
{
    standins::log_entry entry;
    entry.term = number_field(object, "term");
    entry.request_id = text_field(object, "request_id");
    for (const auto& item : object.at("changes").as_array())
    {
        const auto& change = item.as_object();
        entry.changes.push_back({text_field(change, "key"),
                                 text_field(change, "value"),
                                 flag_field(change, "append")});
    }
    return entry;
}

} // namespace

target_process::target_process(asio::io_context& context,
                               target_options options)
    : context_(context), options_(std::move(options)),
      database_(options_.address, options_.group_size)
{
    faults_.apply_delay_ms =
        static_cast<std::uint64_t>(options_.apply_delay.count());
    if (!restore())
        database_.bootstrap(options_.first_primary.empty(),
                            options_.first_primary);
    asio::co_spawn(context_, replicate(), asio::detached);
}

asio::awaitable<void> target_process::open_delay()
{
    return sleep(options_.connect_time);
}

const target_process::route target_process::routes[] = {
    {"/read", &target_process::serve_read, true},
    {"/write", &target_process::serve_write, true},
    {"/begin", &target_process::serve_begin, true},
    {"/commit", &target_process::serve_commit, true},
    {"/rollback", &target_process::serve_rollback, true},
    {"/status", &target_process::serve_status, false},
    {"/progress", &target_process::serve_progress, false},
    {"/fence", &target_process::serve_fence, false},
    {"/promote", &target_process::serve_promote, false},
    {"/follow", &target_process::serve_follow, false},
    {"/log", &target_process::serve_log, false},
    {"/fault", &target_process::serve_fault, false},
    {"/dump", &target_process::serve_dump, false},
};

asio::awaitable<http_response> target_process::serve(http_request request)
{
    const auto parsed = parse_json_object(request.body);
    if (!succeeded(parsed))
        co_return refuse(400, "bad_request", 0);
    for (const auto& route : routes)
    {
        if (request.path != route.path)
            continue;
        const bool is_fault = route.serve == &target_process::serve_fault;
        if (faults_.cut_off && !is_fault)
            co_await sleep(seconds(3600));
        if (route.is_session)
        {
            if (!sessions_.contains(request.connection) &&
                sessions_.size() >= options_.connections)
                co_return refuse(503, "too_many_connections", 0);
            sessions_.insert(request.connection);
        }
        if (faults_.slow_ms > 0 && !is_fault)
            co_await sleep(milliseconds(faults_.slow_ms));
        auto response =
            co_await (this->*route.serve)(request, value_of(parsed));
        if (route.is_session && faults_.lose_answers > 0)
        {
            --faults_.lose_answers;
            throw boost::system::system_error(asio::error::connection_aborted);
        }
        co_return response;
    }
    co_return refuse(404, "not_found", 0);
}

void target_process::connection_closed(std::uint64_t connection)
{
    sessions_.erase(connection);
    transactions_.erase(connection);
}

asio::awaitable<void> target_process::sleep(duration delay)
{
    if (delay <= duration::zero())
        co_return;
    asio::steady_timer timer(context_, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> target_process::take_slot()
{
    if (slots_taken_ < options_.slots)
    {
        ++slots_taken_;
        co_return;
    }
    auto waiter = std::make_shared<asio::steady_timer>(
        context_, asio::steady_timer::time_point::max());
    slot_waiters_.push_back(waiter);
    boost::system::error_code ignored;
    co_await waiter->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

void target_process::release_slot()
{
    if (slot_waiters_.empty())
    {
        --slots_taken_;
        return;
    }
    slot_waiters_.front()->cancel();
    slot_waiters_.pop_front();
}

http_response
target_process::reply(const standins::statement_reply& outcome) const
{
    switch (outcome.status)
    {
    case statement_status::wrong_term:
        return refuse(409, "wrong_term", outcome.term);
    case statement_status::not_primary:
        return refuse(409, "not_primary", outcome.term);
    case statement_status::behind:
        return refuse(409, "behind", outcome.term);
    case statement_status::done:
        break;
    }
    return json_response(200, {{"term", outcome.term},
                               {"position", outcome.position},
                               {"value", outcome.value},
                               {"repeated", outcome.repeated}});
}

asio::awaitable<http_response>
target_process::serve_read(const http_request& request,
                           const json::object& body)
{
    co_await take_slot();
    co_await sleep(options_.service_time);
    const auto statement = parse_json_object(text_field(body, "statement"));
    std::string key;
    if (succeeded(statement))
        key = text_field(value_of(statement), "key");
    auto outcome = database_.read(
        number_field(body, "term"), key, number_field(body, "min_position"),
        milliseconds(number_field(body, "max_age_ms")), clock::now());
    const auto open = transactions_.find(request.connection);
    if (open != transactions_.end())
        for (const auto& change : open->second.changes)
            if (change.key == key)
                outcome.value =
                    change.append ? outcome.value + change.value : change.value;
    ++statements_;
    release_slot();
    co_return reply(outcome);
}

asio::awaitable<http_response>
target_process::serve_write(const http_request& request,
                            const json::object& body)
{
    const auto statement = parse_json_object(text_field(body, "statement"));
    if (!succeeded(statement))
        co_return refuse(400, "bad_statement", 0);
    auto changes = parse_changes(value_of(statement));
    const auto open = transactions_.find(request.connection);
    co_await take_slot();
    co_await sleep(options_.service_time);
    ++statements_;
    release_slot();
    if (open != transactions_.end())
    {
        const auto term = number_field(body, "term");
        if (term != database_.status(clock::now()).term)
            co_return refuse(409, "wrong_term",
                             database_.status(clock::now()).term);
        open->second.changes.push_back(changes.front());
        co_return json_response(200, {{"term", term}, {"value", ""}});
    }
    const auto outcome =
        database_.write(number_field(body, "term"), std::move(changes),
                        text_field(body, "request_id"));
    notify_change();
    co_return reply(outcome);
}

asio::awaitable<http_response>
target_process::serve_begin(const http_request& request,
                            const json::object& body)
{
    const auto status = database_.status(clock::now());
    if (status.term != number_field(body, "term"))
        co_return refuse(409, "wrong_term", status.term);
    if (!status.primary)
        co_return refuse(409, "not_primary", status.term);
    if (transactions_.contains(request.connection))
        co_return refuse(409, "transaction_open", status.term);
    transactions_[request.connection] = {};
    co_return json_response(200, {{"term", status.term}});
}

asio::awaitable<http_response>
target_process::serve_commit(const http_request& request,
                             const json::object& body)
{
    const auto open = transactions_.find(request.connection);
    if (open == transactions_.end())
        co_return refuse(409, "no_transaction", 0);
    auto changes = std::move(open->second.changes);
    transactions_.erase(open);
    const auto outcome =
        database_.write(number_field(body, "term"), std::move(changes),
                        text_field(body, "request_id"));
    notify_change();
    co_return reply(outcome);
}

asio::awaitable<http_response>
target_process::serve_rollback(const http_request& request, const json::object&)
{
    transactions_.erase(request.connection);
    co_return json_response(200, {});
}

json::object target_process::status_object() const
{
    const auto status = database_.status(clock::now());
    json::object object{{"term", status.term},
                        {"primary", status.primary},
                        {"following", status.following},
                        {"position", status.position},
                        {"last_log_term", status.last_log_term},
                        {"applied", status.applied},
                        {"confirmed", status.confirmed}};
    if (status.primary_contact_age)
        object["primary_contact_age_ms"] =
            to_milliseconds(*status.primary_contact_age);
    return object;
}

asio::awaitable<http_response> target_process::serve_status(const http_request&,
                                                            const json::object&)
{
    co_return json_response(200, status_object());
}

// Answers once the confirmed position, the term or the role has changed, or
// after the wait that the client asked for.
asio::awaitable<http_response>
target_process::serve_progress(const http_request&, const json::object& body)
{
    const auto wait =
        std::min(number_field(body, "wait_ms"), max_progress_wait_ms);
    const auto deadline = clock::now() + milliseconds(wait);
    const auto known = number_field(body, "confirmed");
    const auto term = number_field(body, "term");
    while (clock::now() < deadline)
    {
        const auto status = database_.status(clock::now());
        if (status.term != term || !status.primary || status.confirmed > known)
            break;
        co_await wait_for_change(deadline - clock::now());
    }
    co_return json_response(200, status_object());
}

http_response target_process::command_reply(bool granted)
{
    notify_change();
    auto answer = status_object();
    answer["granted"] = granted;
    return json_response(200, answer);
}

asio::awaitable<http_response>
target_process::serve_fence(const http_request&, const json::object& body)
{
    const bool held = database_.fence(number_field(body, "term"),
                                      text_field(body, "coordinator"));
    co_return command_reply(held);
}

asio::awaitable<http_response>
target_process::serve_promote(const http_request&, const json::object& body)
{
    const bool done = database_.promote(number_field(body, "term"),
                                        text_field(body, "coordinator"));
    co_return command_reply(done);
}

asio::awaitable<http_response>
target_process::serve_follow(const http_request&, const json::object& body)
{
    const bool done = database_.follow(number_field(body, "term"),
                                       text_field(body, "primary"));
    co_return command_reply(done);
}

asio::awaitable<http_response>
target_process::serve_log(const http_request&, const json::object& body)
{
    const standins::pull_request request{
        text_field(body, "replica"), number_field(body, "term"),
        number_field(body, "after"), number_field(body, "after_term")};
    const auto before = database_.status(clock::now()).confirmed;
    auto reply = database_.serve_pull(request);
    if (database_.status(clock::now()).confirmed != before)
        notify_change();
    if (reply.accepted && !reply.mismatch && reply.entries.empty())
    {
        const auto deadline = clock::now() + pull_wait;
        while (database_.position() == request.after && clock::now() < deadline)
            co_await wait_for_change(deadline - clock::now());
        reply = database_.serve_pull(request);
    }
    json::array entries;
    for (const auto& entry : reply.entries)
        entries.push_back(to_json(entry));
    co_return json_response(200, {{"accepted", reply.accepted},
                                  {"term", reply.term},
                                  {"mismatch", reply.mismatch},
                                  {"first_position", reply.first_position},
                                  {"primary_position", reply.primary_position},
                                  {"entries", std::move(entries)}});
}

asio::awaitable<http_response>
target_process::serve_fault(const http_request&, const json::object& body)
{
    faults_.apply_delay_ms =
        number_field(body, "apply_delay_ms", faults_.apply_delay_ms);
    faults_.slow_ms = number_field(body, "slow_ms", faults_.slow_ms);
    faults_.lose_answers =
        number_field(body, "lose_answers", faults_.lose_answers);
    faults_.replication_paused =
        flag_field(body, "replication_paused", faults_.replication_paused);
    faults_.cut_off = flag_field(body, "cut_off", faults_.cut_off);
    co_return json_response(200, {});
}

asio::awaitable<http_response> target_process::serve_dump(const http_request&,
                                                          const json::object&)
{
    json::object faults{{"apply_delay_ms", faults_.apply_delay_ms},
                        {"slow_ms", faults_.slow_ms},
                        {"lose_answers", faults_.lose_answers},
                        {"replication_paused", faults_.replication_paused},
                        {"cut_off", faults_.cut_off}};
    co_return json_response(200, {{"status", status_object()},
                                  {"faults", std::move(faults)},
                                  {"sessions", sessions_.size()},
                                  {"transactions", transactions_.size()},
                                  {"slots_taken", slots_taken_},
                                  {"statements", statements_}});
}

asio::awaitable<void> target_process::replicate()
{
    for (;;)
    {
        bool pulled = false;
        if (!faults_.replication_paused && !faults_.cut_off)
            pulled = co_await pull_once();
        if (!pulled)
            co_await sleep(pull_retry_delay);
    }
}

asio::awaitable<bool> target_process::pull_once()
{
    const auto pull = database_.make_pull();
    if (!pull)
        co_return false;
    const auto sent_at = clock::now();
    const auto primary = database_.status(sent_at).following;
    if (!upstream_ || upstream_->address() != primary)
        upstream_ =
            std::make_unique<http_client>(context_.get_executor(), primary);
    http_request request;
    request.path = "/log";
    request.body =
        json::serialize(json::object{{"replica", pull->replica},
                                     {"term", pull->term},
                                     {"after", pull->after},
                                     {"after_term", pull->after_term}});
    auto answer =
        co_await upstream_->exchange(std::move(request), pull_timeout);
    if (!succeeded(answer) || value_of(answer).status != 200)
        co_return false;
    const auto parsed = parse_json_object(value_of(answer).body);
    if (!succeeded(parsed) || faults_.replication_paused)
        co_return false;
    const auto& body = value_of(parsed);
    standins::pull_reply reply;
    reply.accepted = flag_field(body, "accepted");
    reply.term = number_field(body, "term");
    reply.mismatch = flag_field(body, "mismatch");
    reply.first_position = number_field(body, "first_position");
    reply.primary_position = number_field(body, "primary_position");
    for (const auto& entry : body.at("entries").as_array())
        reply.entries.push_back(parse_log_entry(entry.as_object()));
    database_.accept_pull(reply, sent_at, clock::now());
    persist();
    apply_later();
    co_return reply.accepted;
}

void target_process::apply_later()
{
    const auto position = database_.position();
    if (faults_.apply_delay_ms == 0)
    {
        database_.apply_up_to(position);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        context_, milliseconds(faults_.apply_delay_ms));
    timer->async_wait([this, timer, position](boost::system::error_code)
                      { database_.apply_up_to(position); });
}

asio::awaitable<void> target_process::wait_for_change(duration limit)
{
    auto waiter = std::make_shared<asio::steady_timer>(context_, limit);
    change_waiters_.push_back(waiter);
    boost::system::error_code ignored;
    co_await waiter->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    std::erase(change_waiters_, waiter);
}

bool target_process::restore()
{
    std::ifstream file(options_.state_file);
    std::string text;
    standins::saved_role role;
    std::vector<standins::log_entry> log;
    while (std::getline(file, text))
    {
        const auto parsed = parse_json_object(text);
        if (!succeeded(parsed))
            break;
        const auto& line = value_of(parsed);
        if (line.contains("changes"))
        {
            log.push_back(parse_log_entry(line));
            continue;
        }
        role = {number_field(line, "term"), flag_field(line, "primary"),
                text_field(line, "following"), text_field(line, "coordinator"),
                number_field(line, "first_of_term")};
    }
    if (role.term == 0)
        return false;
    database_.restore(role, std::move(log));
    return true;
}

void target_process::persist()
{
    if (options_.state_file.empty())
        return;
    const auto& log = database_.log();
    const bool is_truncated =
        log.size() < persisted_ ||
        (persisted_ > 0 && log[persisted_ - 1].term != persisted_last_term_);
    if (is_truncated || !state_file_.is_open())
    {
        state_file_ = std::ofstream(options_.state_file, std::ios::trunc);
        persisted_ = 0;
        persisted_role_.reset();
    }
    const auto role = database_.role();
    if (persisted_role_ != role)
        write_state_line({{"term", role.term},
                          {"primary", role.primary},
                          {"following", role.following},
                          {"coordinator", role.coordinator},
                          {"first_of_term", role.first_of_term}});
    persisted_role_ = role;
    for (; persisted_ < log.size(); ++persisted_)
        write_state_line(to_json(log[persisted_]));
    if (persisted_ > 0)
        persisted_last_term_ = log[persisted_ - 1].term;
    state_file_.flush();
}

void target_process::write_state_line(const json::object& line)
{
    state_file_ << json::serialize(line) << "\n";
}

void target_process::notify_change()
{
    persist();
    for (const auto& waiter : change_waiters_)
        waiter->cancel();
}

} // namespace standins
