/// Callers' statements and their answers as JSON over HTTP/1.1.
#pragma once

#include <oleandergrade/connection/http_message.hpp>
#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/connection/session_message.hpp>

#include <string>

namespace oleandergrade
{

/// A caller's request, checked for its form only.
struct http_statement
{
    std::string database;
    /// What earlier answers gave; empty if there is none.
    std::string session;
    /// Identifier of an open transaction; empty outside one.
    std::string transaction;
    session_statement call;

    bool operator==(const http_statement&) const = default;
};

/// What is told to the caller.
struct http_answer
{
    session_error failure = session_error::none;
    std::string reason;
    std::string value;
    std::string target;
    std::string session;
    std::string transaction;
    milliseconds retry_after{0};
};

/// Parses the body of a request for one verb. The codec writes the statement's
/// text. Errors: step "parse request", with the field.
result<http_statement> parse_http_statement(session_verb verb,
                                            const std::string& body,
                                            const session_codec& codec);

/// Builds the HTTP answer to the request with this number.
http_response to_http_response(const http_answer& answer,
                               const std::string& request);

/// What a session may carry from request to request: the end of its own
/// commits in a database. Opaque to callers.
std::string serialize_session_position(const std::string& database,
                                       const log_position& position);
/// Errors: step "parse session", if the text is malformed or of another
/// database.
result<log_position> parse_session_position(const std::string& text,
                                            const std::string& database);

} // namespace oleandergrade
