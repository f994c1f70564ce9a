#include <oleandergrade/connection/http_server.hpp>

#include <oleandergrade/connection/listener.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>

namespace oleandergrade
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

constexpr auto account_key_header = "Oleander-Key";
/// A connection that is being closed may go on sending for this long, and at
/// most `max_discarded_bytes`.
constexpr auto discard_timeout = seconds(2);
constexpr std::size_t max_discarded_bytes = 4 * 1024 * 1024;

/// An accepted connection that has not been closed.
struct live_connection
{
    beast::tcp_stream stream;
    /// A request has been received and not been answered yet.
    bool has_unanswered_request = false;
};

http_request from_beast(http::request<http::string_body>& beast_request,
                        std::uint64_t connection_id)
{
    http_request request;
    request.method = std::string(beast_request.method_string());
    request.path = std::string(beast_request.target());
    request.body = std::move(beast_request.body());
    request.account_key = std::string(beast_request[account_key_header]);
    request.connection_id = connection_id;
    return request;
}

http::response<http::string_body> to_beast(http_response response,
                                           unsigned version, bool keep_alive)
{
    http::response<http::string_body> beast_response(
        static_cast<http::status>(response.status), version);
    beast_response.set(http::field::content_type, response.content_type);
    if (response.retry_after.count() > 0)
        beast_response.set(
            http::field::retry_after,
            std::to_string(
                std::chrono::ceil<seconds>(response.retry_after).count()));
    for (const auto& [name, value] : response.headers)
        beast_response.set(name, value);
    beast_response.keep_alive(keep_alive);
    beast_response.body() = std::move(response.body);
    beast_response.prepare_payload();
    return beast_response;
}

/// Returns the response to a request that is not valid HTTP or is too large.
http_response make_parse_failure_response(const error_code& failure)
{
    http_response response;
    response.close_connection = true;
    const bool body_too_large = failure == http::error::body_limit;
    const bool header_too_large = failure == http::error::header_limit;
    response.status = body_too_large ? 413 : header_too_large ? 431 : 400;
    const char* reason = body_too_large ? "the body is too large"
                         : header_too_large
                             ? "the header is too large"
                             : "the request is not valid HTTP/1.1";
    response.body = std::string(R"({"run":"not_run","step":"parse","peer":"",)"
                                R"("code":"bad_request","message":")") +
                    reason + "\"}";
    return response;
}

/// Whether reading failed because the request is invalid. Otherwise the
/// connection failed or ended, and there is nobody to answer.
bool is_parse_failure(const error_code& failure)
{
    return failure.category() ==
               http::make_error_code(http::error::bad_method).category() &&
           failure != http::error::end_of_stream &&
           failure != http::error::partial_message;
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(asio::io_context& context, http_server_limits server_limits,
          http_server_handlers server_handlers)
        : acceptor(context), limits(server_limits),
          handlers(std::move(server_handlers))
    {
    }

    /// Accepts connections until the server is stopped.
    asio::awaitable<void> accept_loop();
    /// Serves a connection until it is closed.
    asio::awaitable<void>
    serve_connection(std::shared_ptr<live_connection> connection,
                     std::uint64_t connection_id);
    /// Reads and answers one request. Returns whether the connection stays
    /// open.
    asio::awaitable<bool> serve_request(live_connection& connection,
                                        beast::flat_buffer& buffer,
                                        std::uint64_t connection_id);
    /// Discards what the peer still sends, before the connection is closed.
    asio::awaitable<void> discard_input(beast::tcp_stream& stream);
    /// Closes the connections that are not busy.
    void close_idle_connections();

    tcp::acceptor acceptor;
    http_server_limits limits;
    http_server_handlers handlers;
    std::map<std::uint64_t, std::weak_ptr<live_connection>> connections;
    std::uint64_t next_connection_id = 1;
    /// Each connection is closed after its next response.
    bool close_after_response = false;
    bool is_stopping = false;
    std::atomic<std::size_t> open_connection_count{0};
};

asio::awaitable<void> http_server::state::accept_loop()
{
    const auto self = shared_from_this();
    while (!is_stopping)
    {
        error_code failure;
        auto socket = co_await acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted || is_stopping)
            co_return;
        if (failure || connections.size() >= limits.max_connections)
            continue;
        socket.set_option(tcp::no_delay(true), failure);
        auto connection = std::make_shared<live_connection>(
            live_connection{beast::tcp_stream(std::move(socket))});
        const auto connection_id = next_connection_id++;
        connections[connection_id] = connection;
        ++open_connection_count;
        asio::co_spawn(acceptor.get_executor(),
                       serve_connection(std::move(connection), connection_id),
                       asio::detached);
    }
}

asio::awaitable<void> http_server::state::serve_connection(
    std::shared_ptr<live_connection> connection, std::uint64_t connection_id)
{
    const auto self = shared_from_this();
    try
    {
        if (handlers.on_open)
            co_await handlers.on_open();
        beast::flat_buffer buffer;
        while (co_await serve_request(*connection, buffer, connection_id))
        {
        }
    }
    catch (const boost::system::system_error&)
    {
        // The response could not be written because the peer has closed the
        // connection or was too slow. Nobody is left to answer.
    }
    connections.erase(connection_id);
    --open_connection_count;
    if (handlers.on_close)
        handlers.on_close(connection_id);
}

asio::awaitable<bool>
http_server::state::serve_request(live_connection& connection,
                                  beast::flat_buffer& buffer,
                                  std::uint64_t connection_id)
{
    auto& stream = connection.stream;
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits.max_body_bytes);
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
    stream.expires_after(limits.idle_timeout);
    error_code failure;
    co_await http::async_read(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure && !is_parse_failure(failure))
        co_return false;

    connection.has_unanswered_request = true;
    stream.expires_never();
    http_response response;
    if (failure)
        response = make_parse_failure_response(failure);
    else
        response =
            co_await handlers.serve(from_beast(parser.get(), connection_id));

    const bool keeps_open = !failure && parser.get().keep_alive() &&
                            !response.close_connection && !close_after_response;
    auto beast_response =
        to_beast(std::move(response), parser.get().version(), keeps_open);
    stream.expires_after(limits.write_timeout);
    co_await http::async_write(stream, beast_response, asio::use_awaitable);
    connection.has_unanswered_request = false;
    if (!keeps_open)
        co_await discard_input(stream);
    co_return keeps_open;
}

// If a socket is closed while received bytes are unread, the kernel resets the
// connection, and the peer may lose the last response before it has read it.
// Therefore the remaining input is read before the socket is closed.
asio::awaitable<void>
http_server::state::discard_input(beast::tcp_stream& stream)
{
    error_code failure;
    stream.socket().shutdown(tcp::socket::shutdown_send, failure);
    stream.expires_after(discard_timeout);
    std::array<char, 4096> discarded{};
    std::size_t discarded_bytes = 0;
    while (!failure && discarded_bytes < max_discarded_bytes)
    {
        discarded_bytes += co_await stream.async_read_some(
            asio::buffer(discarded),
            asio::redirect_error(asio::use_awaitable, failure));
    }
}

void http_server::state::close_idle_connections()
{
    for (auto& [connection_id, weak] : connections)
    {
        const auto connection = weak.lock();
        if (connection && !connection->has_unanswered_request)
            connection->stream.cancel();
    }
}

http_server::http_server(asio::io_context& context,
                         const tcp::endpoint& endpoint,
                         http_server_limits limits,
                         http_server_handlers handlers)
    : state_(std::make_shared<state>(context, limits, std::move(handlers)))
{
    listen_with_port_reuse(state_->acceptor, endpoint);
    asio::co_spawn(context, state_->accept_loop(), asio::detached);
}

http_server::~http_server()
{
    stop();
}

void http_server::drain()
{
    asio::post(state_->acceptor.get_executor(),
               [state = state_] { state->close_after_response = true; });
}

void http_server::stop()
{
    asio::post(state_->acceptor.get_executor(),
               [state = state_]
               {
                   if (state->is_stopping)
                       return;
                   state->close_after_response = true;
                   state->is_stopping = true;
                   error_code ignored;
                   state->acceptor.close(ignored);
                   state->close_idle_connections();
               });
}

std::size_t http_server::unanswered_count() const
{
    return static_cast<std::size_t>(std::count_if(
        state_->connections.begin(), state_->connections.end(),
        [](const auto& entry)
        {
            const auto connection = entry.second.lock();
            return connection && connection->has_unanswered_request;
        }));
}

} // namespace oleandergrade
