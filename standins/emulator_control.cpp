#include "emulator_control.hpp"

#include "platform_emulator_servers.hpp"

#include <boost/json.hpp>

#include <charconv>

namespace standins
{
namespace asio = boost::asio;
using namespace oleandergrade;

emulator_control::emulator_control(asio::io_context& context,
                                   unsigned short port,
                                   platform_emulator& emulator)
    : emulator_(emulator),
      server_(context, loopback_endpoint(port), http_server_limits{},
              {[this](http_request request)
               { return serve(std::move(request)); },
               {},
               {}})
{
}

asio::awaitable<http_response> emulator_control::serve(http_request request)
{
    constexpr std::string_view log_path = "/log/";
    constexpr std::string_view received_path = "/received/";
    http_response response;
    response.content_type = "text/plain";
    if (request.path == "/fault")
    {
        const auto outcome = emulator_.apply_fault(request.body);
        response.status = succeeded(outcome) ? 200 : 400;
        if (!succeeded(outcome))
            response.body = to_string(error_of(outcome)) + "\n";
        co_return response;
    }
    if (request.path.starts_with(log_path))
    {
        response.body =
            emulator_.primary_log_text(request.path.substr(log_path.size()));
        co_return response;
    }
    if (request.path.starts_with(received_path))
    {
        std::uint64_t first = 0;
        const auto* end = request.path.data() + request.path.size();
        const auto parsed = std::from_chars(
            request.path.data() + received_path.size(), end, first);
        if (parsed.ec != std::errc() || parsed.ptr != end)
        {
            response.status = 400;
            co_return response;
        }
        emulator_.received().discard_before(first);
        response.body = emulator_.received().to_text(first, max_page_bytes);
        co_return response;
    }
    const auto& counters = emulator_.counters();
    response.content_type = "application/json";
    response.body = boost::json::serialize(boost::json::object{
        {"foreign_accounts", counters.foreign_accounts},
        {"statements", counters.statements},
        {"connections", counters.connections},
        {"refused_connections", counters.refused_connections},
        {"store_calls", counters.store_calls},
        {"next_received", emulator_.received().next_number()},
        {"configuration_version", emulator_.configuration_version()}});
    co_return response;
}

} // namespace standins
