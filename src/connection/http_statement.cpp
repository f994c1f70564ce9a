#include <oleandergrade/connection/http_statement.hpp>

#include <oleandergrade/connection/json_fields.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace oleandergrade
{
namespace json = boost::json;

namespace
{

/// Maximum length of the fields database, session and transaction.
constexpr std::size_t max_text_field_bytes = 256;
/// Maximum timeout that a caller may request.
constexpr std::uint64_t max_timeout_ms = 30'000;
/// Begins every session token and contains the version of its format.
constexpr std::string_view session_token_prefix = "s1.";

/// Returns the error for a request whose body is invalid.
error invalid_request(const std::string& message)
{
    return {error_kind::invalid, "parse request", "", message};
}

/// Whether the text is one word without blanks and control characters, because
/// the session protocol separates the fields of a line by blanks.
bool is_word_without_blanks(const std::string& text)
{
    return !text.empty() &&
           std::none_of(text.begin(), text.end(),
                        [](unsigned char c) { return c <= ' ' || c == 0x7f; });
}

/// Whether the text can be the last field of a line, which extends to the
/// line's end and may be empty.
bool is_last_field(const std::string& text)
{
    return text.find_first_of(session_line_end) == std::string::npos;
}

/// The HTTP status with which an error is answered.
struct status_mapping
{
    session_error code;
    unsigned status;
};

constexpr std::array status_mappings{
    status_mapping{session_error::none, 200},
    status_mapping{session_error::malformed, 400},
    status_mapping{session_error::unauthorized, 401},
    status_mapping{session_error::unknown_database, 404},
    status_mapping{session_error::aborted, 409},
    status_mapping{session_error::failed, 500},
    status_mapping{session_error::in_doubt, 502},
    status_mapping{session_error::timeout, 504},
};
/// Status of all errors that are not in the table.
constexpr unsigned default_error_status = 503;

unsigned http_status_of(session_error code)
{
    for (const auto& mapping : status_mappings)
        if (mapping.code == code)
            return mapping.status;
    return default_error_status;
}

/// Returns the value of the field "run" of an answer, which tells the caller
/// whether its statement was executed.
const char* execution_status_of(session_error code)
{
    switch (code)
    {
    case session_error::none:
    case session_error::failed:
        return "ran";
    case session_error::in_doubt:
    case session_error::timeout:
    case session_error::other:
        return "outcome_unknown";
    default:
        return "not_run";
    }
}

/// Parses a whole number that makes up all of `text`. Returns whether `text` is
/// such a number that fits into `number`.
bool parse_number(std::string_view text, std::uint64_t& number)
{
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
}

/// Copies the item of a read or a write, and the data of a write, into
/// `statement`. Returns the problem if one is invalid, and an empty text
/// otherwise.
std::string parse_item_and_data(const json::object& fields,
                                session_statement& statement)
{
    const auto* statement_fields = fields.if_contains("statement");
    if (statement_fields == nullptr || !statement_fields->is_object())
        return "'statement' must be a JSON object";
    const auto& object = statement_fields->as_object();
    const bool writes = statement.verb == session_verb::write;
    for (const char* name : {"key", "value"})
    {
        const auto* value = object.if_contains(name);
        const bool is_needed = writes || std::string_view(name) == "key";
        if (is_needed && (value == nullptr || !value->is_string()))
            return std::string("'statement.") + name + "' must be a string";
    }
    statement.item_or_shape = string_field(object, "key");
    if (!writes)
        return is_last_field(statement.item_or_shape)
                   ? ""
                   : "'statement.key' must not contain a line break";
    if (!is_word_without_blanks(statement.item_or_shape))
        return "'statement.key' must be a word without blanks";
    statement.data = string_field(object, "value");
    return is_last_field(statement.data)
               ? ""
               : "'statement.value' must not contain a line break";
}

/// Returns the text of the statement for targets.
std::string encode_statement_text(const session_statement& statement,
                                  const session_codec& codec)
{
    switch (statement.verb)
    {
    case session_verb::read:
        return codec.encode_read(statement.item_or_shape);
    case session_verb::write:
        return codec.encode_write(statement.item_or_shape, statement.data);
    case session_verb::begin:
        return codec.encode_begin(false);
    case session_verb::commit:
        return codec.encode_commit();
    default:
        return codec.encode_rollback();
    }
}

} // namespace

result<http_statement> parse_http_statement(session_verb verb,
                                            const std::string& body,
                                            const session_codec& codec)
{
    const auto parsed = parse_json_object(body);
    if (!succeeded(parsed))
        return invalid_request("the body is not a JSON object: " +
                               error_of(parsed).message);
    const auto& fields = value_of(parsed);
    for (const char* name : {"database", "session", "transaction"})
    {
        const auto* value = fields.if_contains(name);
        if (value != nullptr && !value->is_string())
            return invalid_request(std::string("'") + name +
                                   "' must be a string");
        if (string_field(fields, name).size() > max_text_field_bytes)
            return invalid_request(std::string("'") + name +
                                   "' is longer than 256 bytes");
    }
    // Targets do not store the identifiers of requests, so a repeated request
    // could be executed twice.
    if (fields.contains("request_id"))
        return invalid_request("'request_id' is not supported by the targets");
    http_statement request;
    request.database = string_field(fields, "database");
    request.session_token = string_field(fields, "session");
    request.transaction_id = string_field(fields, "transaction");
    if (!is_word_without_blanks(request.database))
        return invalid_request("'database' is missing");
    // The default is too large, so that a field of another type is refused
    // below.
    const auto timeout_ms =
        unsigned_field(fields, "deadline_ms", max_timeout_ms + 1);
    if (fields.contains("deadline_ms"))
    {
        if (timeout_ms < 1 || timeout_ms > max_timeout_ms)
            return invalid_request(
                "'deadline_ms' must be a whole number from 1 to 30000");
        request.call.caller_timeout = milliseconds(timeout_ms);
    }
    request.call.verb = verb;
    if (verb == session_verb::read || verb == session_verb::write)
    {
        const auto problem = parse_item_and_data(fields, request.call);
        if (!problem.empty())
            return invalid_request(problem);
    }
    if ((verb == session_verb::commit || verb == session_verb::rollback) &&
        request.transaction_id.empty())
        return invalid_request("'transaction' is missing");
    request.call.text = encode_statement_text(request.call, codec);
    return request;
}

http_response to_http_response(const http_statement_answer& answer,
                               const std::string& request_id)
{
    json::object body{{"run", execution_status_of(answer.failure)},
                      {"request", request_id}};
    if (!answer.session_token.empty())
        body["session"] = answer.session_token;
    if (!answer.transaction_id.empty())
        body["transaction"] = answer.transaction_id;
    if (answer.failure == session_error::none)
    {
        body["value"] = answer.value;
        body["served_by"] = answer.target;
    }
    else
    {
        body["code"] = to_string(answer.failure);
        body["message"] = answer.reason;
        if (!answer.target.empty())
            body["target"] = answer.target;
        if (answer.retry_after.count() > 0)
            body["retry_after_ms"] = answer.retry_after.count();
    }
    http_response response;
    response.status = http_status_of(answer.failure);
    response.body = json::serialize(body);
    return response;
}

std::string serialize_session_token(const std::string& database,
                                    const log_position& position)
{
    return std::string(session_token_prefix) + std::to_string(position.term) +
           "." + std::to_string(position.index) + "." + database;
}

result<log_position> parse_session_token(const std::string& token,
                                         const std::string& database)
{
    const error invalid_token{
        error_kind::invalid, "parse session", "",
        "the session is malformed or of another database"};
    std::string_view rest = token;
    if (!rest.starts_with(session_token_prefix))
        return invalid_token;
    rest.remove_prefix(session_token_prefix.size());
    const auto first_dot = rest.find('.');
    const auto second_dot = rest.find('.', first_dot + 1);
    if (first_dot == std::string_view::npos ||
        second_dot == std::string_view::npos ||
        rest.substr(second_dot + 1) != database)
        return invalid_token;
    log_position position;
    if (!parse_number(rest.substr(0, first_dot), position.term) ||
        !parse_number(rest.substr(first_dot + 1, second_dot - first_dot - 1),
                      position.index))
        return invalid_token;
    return position;
}

} // namespace oleandergrade
