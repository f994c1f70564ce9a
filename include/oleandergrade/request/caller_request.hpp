/// Callers' requests and answers as JSON over HTTP/1.1.
#pragma once

#include <oleandergrade/connection/http_message.hpp>
#include <oleandergrade/request/statement.hpp>

#include <string>
#include <variant>

namespace oleandergrade
{

/// A caller's request, checked for its form only.
struct caller_request
{
    /// Kind, database, text, request identifier, age and transaction.
    statement wanted;
    /// The session token as text; empty if there is none.
    std::string session;
    milliseconds deadline{0};
};

/// Parses the body of a request, or returns the refusal for the caller.
std::variant<caller_request, answer>
parse_caller_request(statement_kind kind, const std::string& body);

/// Builds the HTTP answer. `session` is the new session token, or empty.
http_response to_http_response(const answer& outcome,
                               const std::string& request_number,
                               const std::string& session);

/// The HTTP status that goes with a refusal.
unsigned http_status_of(const answer& outcome);

} // namespace oleandergrade
