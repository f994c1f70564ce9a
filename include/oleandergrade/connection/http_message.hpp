/// HTTP/1.1 messages as the rest of the program sees them.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace oleandergrade
{

/// One request. The body is JSON text, or empty.
struct http_request
{
    std::string method = "POST";
    std::string path;
    std::string body;
    /// Value of the Oleander-Key header; empty if absent.
    std::string key;
    /// Further headers to send; not filled in for received requests.
    std::vector<std::pair<std::string, std::string>> headers;
    /// Number of the connection the request came on, unique per server.
    std::uint64_t connection = 0;
};

/// One answer.
struct http_response
{
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// Closes the connection after this answer.
    bool close = false;
};

} // namespace oleandergrade
