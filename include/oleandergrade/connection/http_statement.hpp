/// Converts statements that callers send as JSON over HTTP/1.1, and the answers
/// to them.
#pragma once

#include <oleandergrade/connection/http_message.hpp>
#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/connection/session_message.hpp>

#include <string>

namespace oleandergrade
{

/// A statement that a caller sent over HTTP. Its form is valid; whether the
/// database, the session and the transaction exist has not been checked.
struct http_statement
{
    std::string database;
    /// The session token of an earlier answer, with which the caller reads its
    /// own writes; empty if it sent none.
    std::string session_token;
    /// Identifier of the transaction that the statement belongs to; empty if it
    /// belongs to none.
    std::string transaction_id;
    session_statement call;

    bool operator==(const http_statement&) const = default;
};

/// The outcome of a statement, from which the response to the caller is built.
struct http_statement_answer
{
    session_error failure = session_error::none;
    /// Explanation of the failure, for people.
    std::string reason;
    /// The data that a read returned.
    std::string value;
    /// Identifier of the target that ran the statement, or the last one that
    /// was tried; empty if there is none.
    std::string target;
    /// Token that the caller may send with later requests; empty if no
    /// commit of the session is known.
    std::string session_token;
    /// Identifier of the transaction that is open after the statement; empty if
    /// none is.
    std::string transaction_id;
    /// How long the caller should wait before it tries again; zero if unknown.
    milliseconds retry_after{0};
};

/// Parses the body of a request. The verb follows from the request's path;
/// `codec` encodes the text of the statement for targets. Fails with step
/// "parse request" and a message that names the invalid field.
result<http_statement> parse_http_statement(session_verb verb,
                                            const std::string& body,
                                            const session_codec& codec);

/// Builds the HTTP response. `request_id` is the identifier of the request,
/// which the caller receives for use in questions to the operator.
http_response to_http_response(const http_statement_answer& answer,
                               const std::string& request_id);

/// Returns a session token: the position of the session's latest commit in a
/// database, as text. The caller sends it with its next request, so that it
/// reads its own writes, and does not interpret it.
std::string serialize_session_token(const std::string& database,
                                    const log_position& position);
/// Parses a session token. Fails with step "parse session" if it is malformed
/// or belongs to another database.
result<log_position> parse_session_token(const std::string& token,
                                         const std::string& database);

} // namespace oleandergrade
