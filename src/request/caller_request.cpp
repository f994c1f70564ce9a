#include <oleandergrade/request/caller_request.hpp>

#include <oleandergrade/connection/json_fields.hpp>

#include <array>

namespace oleandergrade
{
namespace json = boost::json;

namespace
{

constexpr std::uint64_t default_deadline_ms = 2000;
constexpr std::uint64_t max_deadline_ms = 30'000;
constexpr std::uint64_t max_age_limit_ms = 3'600'000;
constexpr std::size_t max_name_bytes = 256;

answer bad_request(const std::string& message)
{
    return refuse(refusal_code::bad_request, "parse", "", message);
}

/// Checks that a field, if present, is a whole number in a range.
bool is_number_in_range(const json::object& body, const char* name,
                        std::uint64_t lowest, std::uint64_t highest)
{
    if (!body.contains(name))
        return true;
    const auto value = number_field(body, name, highest + 1);
    return value >= lowest && value <= highest;
}

bool is_text_if_present(const json::object& body, const char* name)
{
    const auto* value = body.if_contains(name);
    return value == nullptr || value->is_string();
}

/// Finds what is wrong with the types of a body; empty if nothing is.
std::string find_problem(const json::object& body)
{
    for (const char* name :
         {"database", "session", "request_id", "transaction"})
        if (!is_text_if_present(body, name))
            return std::string("'") + name + "' must be a string";
    for (const char* name : {"database", "request_id", "transaction"})
        if (text_field(body, name).size() > max_name_bytes)
            return std::string("'") + name + "' is longer than 256 bytes";
    if (!is_number_in_range(body, "deadline_ms", 1, max_deadline_ms))
        return "'deadline_ms' must be a whole number from 1 to 30000";
    if (!is_number_in_range(body, "max_age_ms", 0, max_age_limit_ms))
        return "'max_age_ms' must be a whole number from 0 to 3600000";
    return "";
}

bool needs_statement(statement_kind kind)
{
    return kind == statement_kind::read || kind == statement_kind::write ||
           kind == statement_kind::transaction_read ||
           kind == statement_kind::transaction_write;
}

bool needs_transaction(statement_kind kind)
{
    return kind == statement_kind::transaction_read ||
           kind == statement_kind::transaction_write ||
           kind == statement_kind::commit || kind == statement_kind::rollback;
}

struct status_rule
{
    refusal_code code;
    unsigned status;
};

constexpr std::array status_rules{
    status_rule{refusal_code::bad_request, 400},
    status_rule{refusal_code::bad_session, 400},
    status_rule{refusal_code::unknown_key, 401},
    status_rule{refusal_code::key_withdrawn, 401},
    status_rule{refusal_code::database_not_allowed, 403},
    status_rule{refusal_code::unknown_database, 404},
    status_rule{refusal_code::unknown_transaction, 404},
    status_rule{refusal_code::transaction_lost, 409},
    status_rule{refusal_code::over_rate, 429},
    status_rule{refusal_code::deadline, 504},
};

constexpr unsigned unavailable_status = 503;
constexpr unsigned unknown_outcome_status = 502;

} // namespace

std::variant<caller_request, answer>
parse_caller_request(statement_kind kind, const std::string& body)
{
    const auto parsed = parse_json_object(body);
    if (!succeeded(parsed))
        return bad_request("the body is not a JSON object: " +
                           error_of(parsed).message);
    const auto& fields = value_of(parsed);
    const auto problem = find_problem(fields);
    if (!problem.empty())
        return bad_request(problem);
    caller_request request;
    request.session = text_field(fields, "session");
    request.deadline =
        milliseconds(number_field(fields, "deadline_ms", default_deadline_ms));
    auto& wanted = request.wanted;
    wanted.kind = kind;
    wanted.database = text_field(fields, "database");
    wanted.request_id = text_field(fields, "request_id");
    wanted.transaction = text_field(fields, "transaction");
    wanted.max_age = milliseconds(number_field(fields, "max_age_ms"));
    if (wanted.database.empty())
        return bad_request("'database' is missing");
    if (needs_transaction(kind) && wanted.transaction.empty())
        return bad_request("'transaction' is missing");
    const auto* statement = fields.if_contains("statement");
    if (needs_statement(kind) &&
        (statement == nullptr || !statement->is_object()))
        return bad_request("'statement' must be a JSON object");
    if (statement != nullptr)
        wanted.text = json::serialize(*statement);
    return request;
}

unsigned http_status_of(const answer& outcome)
{
    if (outcome.run == run_status::ran)
        return 200;
    if (outcome.run == run_status::outcome_unknown)
        return unknown_outcome_status;
    for (const auto& rule : status_rules)
        if (rule.code == outcome.code)
            return rule.status;
    return unavailable_status;
}

http_response to_http_response(const answer& outcome,
                               const std::string& request_number,
                               const std::string& session)
{
    json::object body{{"run", to_string(outcome.run)},
                      {"request", request_number}};
    if (!session.empty())
        body["session"] = session;
    if (outcome.run == run_status::ran)
    {
        body["value"] = outcome.value;
        body["served_by"] = outcome.served_by;
        if (outcome.repeated)
            body["repeated"] = true;
        if (!outcome.transaction.empty())
            body["transaction"] = outcome.transaction;
    }
    else
    {
        body["code"] = to_string(outcome.code);
        body["step"] = outcome.step;
        body["peer"] = outcome.peer;
        body["message"] = outcome.message;
        if (outcome.retry_after.count() > 0)
            body["retry_after_ms"] = outcome.retry_after.count();
    }
    http_response response;
    response.status = http_status_of(outcome);
    response.body = json::serialize(body);
    return response;
}

} // namespace oleandergrade
