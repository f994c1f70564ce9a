/// HTTP/1.1 messages, independent of the HTTP library.
#pragma once

#include <oleandergrade/clock.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleandergrade
{

/// An HTTP request. The body is JSON text or empty.
struct http_request
{
    std::string method = "POST";
    std::string path;
    std::string body;
    /// Value of the Oleander-Key header, the client account's key; empty if
    /// there is no such header.
    std::string account_key;
    /// Names and values of further headers to send. Empty in requests that a
    /// server has received.
    std::vector<std::pair<std::string, std::string>> headers;
    /// Identifies the connection on which a server received the request. Never
    /// used again by the same server; 0 in requests to send.
    std::uint64_t connection_id = 0;
};

/// An HTTP response.
struct http_response
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// The server closes the connection after this response.
    bool close_connection = false;
    /// Value of the Retry-After header; 0 if there is none. Servers send it in
    /// whole seconds, rounded up.
    milliseconds retry_after{0};
    /// Names and values of all headers that a client has received, or of
    /// further headers that a server is to send.
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Returns the value of the first header with this name, or null. Upper and
/// lower case letters are not distinguished.
const std::string* find_header(const http_response& response,
                               std::string_view name);

} // namespace oleandergrade
