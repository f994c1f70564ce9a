#include <oleandergrade/process/serving/http_entry.hpp>

#include <random>
#include <sstream>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// A request path and the statement that it stands for.
struct caller_path
{
    const char* path;
    session_verb verb;
};

constexpr caller_path caller_paths[] = {
    {"/v1/read", session_verb::read},
    {"/v1/write", session_verb::write},
    {"/v1/begin", session_verb::begin},
    {"/v1/transaction/read", session_verb::read},
    {"/v1/transaction/write", session_verb::write},
    {"/v1/commit", session_verb::commit},
    {"/v1/rollback", session_verb::rollback},
};

/// HTTP status "Not Found".
constexpr unsigned no_such_path = 404;

http_answer refusal(session_error code, const std::string& reason)
{
    http_answer answer;
    answer.failure = code;
    answer.reason = reason;
    return answer;
}

// Makes identifiers of different processes distinct.
std::string random_prefix()
{
    std::random_device device;
    std::ostringstream text;
    text << "h" << std::hex << device() << "-";
    return text.str();
}

} // namespace

http_entry::http_entry(asio::io_context& context,
                       const asio::ip::tcp::endpoint& endpoint,
                       const session_codec& codec, statement_runner& runner,
                       const configuration_holder& configuration)
    : codec_(codec), runner_(runner), configuration_(configuration),
      server_(context, endpoint, http_limits{},
              {[this](http_request request)
               { return serve(std::move(request)); },
               {},
               {}}),
      number_prefix_(random_prefix()), timers_(context.get_executor())
{
}

void http_entry::start()
{
    timers_.subscribe(sweep_interval, [this](time_point now)
                      { end_resting_transactions(now); });
}

void http_entry::drain()
{
    server_.drain();
    for (const auto& [id, open] : transactions_)
        if (!open->busy)
            runner_.fail_transaction(open->session);
}

asio::awaitable<http_response> http_entry::serve(http_request request)
{
    const auto number = number_prefix_ + std::to_string(next_number_++);
    const caller_path* found = nullptr;
    for (const auto& known : caller_paths)
        if (request.path == known.path && request.method == "POST")
            found = &known;
    if (found == nullptr)
    {
        auto response = to_http_response(
            refusal(session_error::malformed, "no such path"), number);
        response.status = no_such_path;
        co_return response;
    }
    const auto parsed = parse_http_statement(found->verb, request.body, codec_);
    if (!succeeded(parsed))
        co_return to_http_response(
            refusal(session_error::malformed, error_of(parsed).message),
            number);
    const auto& wanted = value_of(parsed);
    const bool needs_transaction =
        request.path.starts_with("/v1/transaction/") ||
        !wanted.transaction.empty();
    http_answer answer;
    if (configuration_.current() == nullptr)
        answer = refusal(session_error::busy, "no configuration yet");
    else if (needs_transaction)
        answer = co_await run_in_transaction(wanted, request.key, number);
    else
        answer = co_await run(wanted, request.key, number);
    co_return to_http_response(answer, number);
}

asio::awaitable<http_answer> http_entry::run(const http_statement& wanted,
                                             const std::string& key,
                                             const std::string& number)
{
    const auto begun = std::make_shared<open_transaction>();
    auto& session = begun->session;
    session.database = wanted.database;
    session.key = key;
    const auto opened = runner_.check_opening({wanted.database, key});
    if (opened != session_error::none)
        co_return refusal(opened, "the database or the key is not known");
    if (!wanted.session.empty())
    {
        const auto position =
            parse_session_position(wanted.session, wanted.database);
        if (!succeeded(position))
            co_return refusal(session_error::malformed,
                              error_of(position).message);
        session.agreed.on_commit(value_of(position));
    }
    const bool begins = wanted.call.verb == session_verb::begin;
    if (begins && transactions_.size() >= most_transactions)
        co_return refusal(session_error::busy, "too many open transactions");
    auto call = wanted.call;
    call.id = number;
    auto answer = co_await run_in(session, std::move(call));
    if (begins && answer.failure == session_error::none)
    {
        begun->used_at = current_time();
        transactions_[number] = begun;
        answer.transaction = number;
    }
    co_return answer;
}

asio::awaitable<http_answer>
http_entry::run_in_transaction(const http_statement& wanted,
                               const std::string& key,
                               const std::string& number)
{
    const auto found = transactions_.find(wanted.transaction);
    if (found == transactions_.end() ||
        found->second->session.database != wanted.database ||
        found->second->session.key != key)
        co_return refusal(session_error::aborted,
                          "no such transaction is open at this VM");
    const auto open = found->second;
    if (open->busy)
        co_return refusal(session_error::malformed,
                          "a statement of the transaction is under way");
    open->busy = true;
    auto call = wanted.call;
    call.id = number;
    auto answer = co_await run_in(open->session, std::move(call));
    open->busy = false;
    open->used_at = current_time();
    if (open->session.agreed.state() == transaction_state::none)
        transactions_.erase(wanted.transaction);
    else
        answer.transaction = wanted.transaction;
    co_return answer;
}

asio::awaitable<http_answer> http_entry::run_in(served_session& session,
                                                session_statement call)
{
    const auto reply = co_await runner_.run(session, call);
    http_answer answer;
    answer.failure = reply.outcome.failure;
    answer.reason = reply.outcome.reason;
    answer.target = reply.outcome.target;
    answer.retry_after = reply.outcome.retry_after;
    std::string_view rest = reply.bytes;
    for (auto end = rest.find(session_line_end); end != std::string_view::npos;
         end = rest.find(session_line_end))
    {
        const auto message = codec_.parse_target_message(rest.substr(0, end));
        rest.remove_prefix(end + session_line_end.size());
        if (!succeeded(message))
            continue;
        if (const auto* row = std::get_if<target_row>(&value_of(message)))
            answer.value = codec_.row_text(*row);
    }
    if (const auto& position = session.agreed.position())
        answer.session =
            serialize_session_position(session.database, *position);
    co_return answer;
}

// An open transaction occupies a session at a target, so it may not stay idle
// for long.
void http_entry::end_resting_transactions(time_point now)
{
    const auto& table = configuration_.current();
    if (table == nullptr)
        return;
    for (auto it = transactions_.begin(); it != transactions_.end();)
    {
        const auto open = it->second;
        if (open->busy || now - open->used_at < table->transaction_idle)
        {
            ++it;
            continue;
        }
        runner_.fail_transaction(open->session);
        it = transactions_.erase(it);
    }
}

} // namespace oleandergrade
