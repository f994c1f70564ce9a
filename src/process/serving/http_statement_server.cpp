#include <oleandergrade/process/serving/http_statement_server.hpp>

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
constexpr unsigned status_not_found = 404;

http_statement_answer refusal(session_error code, const std::string& reason)
{
    http_statement_answer answer;
    answer.failure = code;
    answer.reason = reason;
    return answer;
}

// Makes identifiers of different processes distinct.
std::string make_request_id_prefix()
{
    std::random_device device;
    std::ostringstream text;
    text << "h" << std::hex << device() << "-";
    return text.str();
}

} // namespace

http_statement_server::http_statement_server(
    asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
    const session_codec& codec, statement_runner& runner,
    const active_configuration& configuration)
    : codec_(codec), runner_(runner), configuration_(configuration),
      server_(context, endpoint, http_server_limits{},
              {[this](http_request request)
               { return serve(std::move(request)); },
               {},
               {}}),
      request_id_prefix_(make_request_id_prefix()),
      timers_(context.get_executor())
{
}

void http_statement_server::start()
{
    timers_.subscribe(idle_check_interval,
                      [this](time_point now) { fail_idle_transactions(now); });
}

void http_statement_server::fail_transactions()
{
    for (const auto& [id, transaction] : transactions_)
        if (!transaction->statement_in_progress)
            runner_.fail_transaction(transaction->session);
}

asio::awaitable<http_response>
http_statement_server::serve(http_request request)
{
    const auto request_id =
        request_id_prefix_ + std::to_string(next_request_number_++);
    const caller_path* matched = nullptr;
    for (const auto& candidate : caller_paths)
        if (request.path == candidate.path && request.method == "POST")
            matched = &candidate;
    if (matched == nullptr)
    {
        auto response = to_http_response(
            refusal(session_error::malformed, "no such path"), request_id);
        response.status = status_not_found;
        co_return response;
    }
    const auto parsed =
        parse_http_statement(matched->verb, request.body, codec_);
    if (!succeeded(parsed))
        co_return to_http_response(
            refusal(session_error::malformed, error_of(parsed).message),
            request_id);
    const auto& statement = value_of(parsed);
    const bool needs_transaction =
        request.path.starts_with("/v1/transaction/") ||
        !statement.transaction_id.empty();
    http_statement_answer answer;
    if (configuration_.current() == nullptr)
        answer = refusal(session_error::busy, "no configuration yet");
    else if (needs_transaction)
        answer = co_await run_in_transaction(statement, request.account_key,
                                             request_id);
    else
        answer = co_await run_outside_transaction(
            statement, request.account_key, request_id);
    co_return to_http_response(answer, request_id);
}

asio::awaitable<http_statement_answer>
http_statement_server::run_outside_transaction(const http_statement& statement,
                                               const std::string& key,
                                               const std::string& request_id)
{
    const auto transaction = std::make_shared<open_transaction>();
    auto& session = transaction->session;
    session.database = statement.database;
    session.key = key;
    const auto opening_failure =
        runner_.check_opening({statement.database, key});
    if (opening_failure != session_error::none)
        co_return refusal(opening_failure,
                          "the database or the key is not known");
    if (!statement.session_token.empty())
    {
        const auto position =
            parse_session_token(statement.session_token, statement.database);
        if (!succeeded(position))
            co_return refusal(session_error::malformed,
                              error_of(position).message);
        session.caller_state.record_commit(value_of(position));
    }
    const bool begins = statement.call.verb == session_verb::begin;
    if (begins && transactions_.size() >= max_transactions)
        co_return refusal(session_error::busy, "too many open transactions");
    auto call = statement.call;
    call.id = request_id;
    auto answer = co_await run_in_session(session, std::move(call));
    if (begins && answer.failure == session_error::none)
    {
        transaction->last_used_at = current_time();
        transactions_[request_id] = transaction;
        answer.transaction_id = request_id;
    }
    co_return answer;
}

asio::awaitable<http_statement_answer>
http_statement_server::run_in_transaction(const http_statement& statement,
                                          const std::string& key,
                                          const std::string& request_id)
{
    const auto found = transactions_.find(statement.transaction_id);
    if (found == transactions_.end() ||
        found->second->session.database != statement.database ||
        found->second->session.key != key)
        co_return refusal(session_error::aborted,
                          "no such transaction is open at this VM");
    const auto transaction = found->second;
    if (transaction->statement_in_progress)
        co_return refusal(session_error::malformed,
                          "a statement of the transaction is under way");
    transaction->statement_in_progress = true;
    auto call = statement.call;
    call.id = request_id;
    auto answer =
        co_await run_in_session(transaction->session, std::move(call));
    transaction->statement_in_progress = false;
    transaction->last_used_at = current_time();
    if (transaction->session.caller_state.transaction() ==
        transaction_state::none)
        transactions_.erase(statement.transaction_id);
    else
        answer.transaction_id = statement.transaction_id;
    co_return answer;
}

asio::awaitable<http_statement_answer>
http_statement_server::run_in_session(served_session& session,
                                      session_statement call)
{
    const auto reply = co_await runner_.run(session, call);
    http_statement_answer answer;
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
            answer.value = codec_.row_data(*row);
    }
    if (const auto& position = session.caller_state.last_commit_position())
        answer.session_token =
            serialize_session_token(session.database, *position);
    co_return answer;
}

// An open transaction occupies a session at a target, so it may not stay idle
// for long.
void http_statement_server::fail_idle_transactions(time_point now)
{
    const auto& table = configuration_.current();
    if (table == nullptr)
        return;
    for (auto it = transactions_.begin(); it != transactions_.end();)
    {
        const auto transaction = it->second;
        if (transaction->statement_in_progress ||
            now - transaction->last_used_at < table->transaction_idle_timeout)
        {
            ++it;
            continue;
        }
        runner_.fail_transaction(transaction->session);
        it = transactions_.erase(it);
    }
}

} // namespace oleandergrade
