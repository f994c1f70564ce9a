#include <oleandergrade/connection/http_server.hpp>

#include <oleandergrade/connection/listener.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

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

constexpr auto key_header = "Oleander-Key";
/// A connection that is being closed may go on sending for this long, and at
/// most `drain_bytes`.
constexpr auto drain_timeout = seconds(2);
constexpr std::size_t drain_bytes = 4 * 1024 * 1024;

/// An accepted connection that has not been closed.
struct live_connection
{
    beast::tcp_stream stream;
    /// A request has been received and not been answered yet.
    bool busy = false;
};

http_request from_beast(http::request<http::string_body>& message,
                        std::uint64_t connection)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    request.body = std::move(message.body());
    request.key = std::string(message[key_header]);
    request.connection = connection;
    return request;
}

http::response<http::string_body> to_beast(http_response response,
                                           unsigned version, bool keep_alive)
{
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), version);
    message.set(http::field::content_type, response.content_type);
    message.keep_alive(keep_alive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

/// Returns the response to a request that is not valid HTTP or is too large.
http_response parse_failure(const error_code& failure)
{
    http_response response;
    response.close = true;
    const bool too_large = failure == http::error::body_limit;
    const bool long_header = failure == http::error::header_limit;
    response.status = too_large ? 413 : long_header ? 431 : 400;
    const char* reason = too_large     ? "the body is too large"
                         : long_header ? "the header is too large"
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
    state(asio::io_context& context, http_limits bounds,
          http_handlers behaviour)
        : acceptor(context), limits(bounds), handlers(std::move(behaviour))
    {
    }

    /// Accepts connections until the server is stopped.
    asio::awaitable<void> accept_loop();
    /// Serves a connection until it is closed.
    asio::awaitable<void> serve(std::shared_ptr<live_connection> connection,
                                std::uint64_t number);
    /// Reads and answers one request. Returns whether the connection stays
    /// open.
    asio::awaitable<bool> serve_one(live_connection& connection,
                                    beast::flat_buffer& buffer,
                                    std::uint64_t number);
    /// Discards what the peer still sends, before the connection is closed.
    asio::awaitable<void> drain(beast::tcp_stream& stream);
    /// Closes the connections that are not busy.
    void close_idle();

    tcp::acceptor acceptor;
    http_limits limits;
    http_handlers handlers;
    std::map<std::uint64_t, std::weak_ptr<live_connection>> connections;
    std::uint64_t next_number = 1;
    /// Each connection is closed after its next response.
    bool draining = false;
    bool stopping = false;
    std::atomic<std::size_t> open_count{0};
};

asio::awaitable<void> http_server::state::accept_loop()
{
    const auto self = shared_from_this();
    while (!stopping)
    {
        error_code failure;
        auto socket = co_await acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted || stopping)
            co_return;
        if (failure || connections.size() >= limits.connections)
            continue;
        socket.set_option(tcp::no_delay(true), failure);
        auto connection = std::make_shared<live_connection>(
            live_connection{beast::tcp_stream(std::move(socket))});
        const auto number = next_number++;
        connections[number] = connection;
        ++open_count;
        asio::co_spawn(acceptor.get_executor(),
                       serve(std::move(connection), number), asio::detached);
    }
}

asio::awaitable<void>
http_server::state::serve(std::shared_ptr<live_connection> connection,
                          std::uint64_t number)
{
    const auto self = shared_from_this();
    try
    {
        if (handlers.on_open)
            co_await handlers.on_open();
        beast::flat_buffer buffer;
        while (co_await serve_one(*connection, buffer, number))
        {
        }
    }
    catch (const boost::system::system_error&)
    {
        // The response could not be written because the peer has closed the
        // connection or was too slow. Nobody is left to answer.
    }
    connections.erase(number);
    --open_count;
    if (handlers.on_close)
        handlers.on_close(number);
}

asio::awaitable<bool> http_server::state::serve_one(live_connection& connection,
                                                    beast::flat_buffer& buffer,
                                                    std::uint64_t number)
{
    auto& stream = connection.stream;
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits.body_bytes);
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    stream.expires_after(limits.idle_timeout);
    error_code failure;
    co_await http::async_read(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure && !is_parse_failure(failure))
        co_return false;

    connection.busy = true;
    stream.expires_never();
    http_response response;
    if (failure)
        response = parse_failure(failure);
    else
        response = co_await handlers.serve(from_beast(parser.get(), number));

    const bool keep =
        !failure && parser.get().keep_alive() && !response.close && !draining;
    auto message = to_beast(std::move(response), parser.get().version(), keep);
    stream.expires_after(limits.write_timeout);
    co_await http::async_write(stream, message, asio::use_awaitable);
    connection.busy = false;
    if (!keep)
        co_await drain(stream);
    co_return keep;
}

// If a socket is closed while received bytes are unread, the kernel resets the
// connection, and the peer may lose the last response before it has read it.
// Hence what the peer is still sending is read first.
asio::awaitable<void> http_server::state::drain(beast::tcp_stream& stream)
{
    error_code failure;
    stream.socket().shutdown(tcp::socket::shutdown_send, failure);
    stream.expires_after(drain_timeout);
    std::array<char, 4096> scratch{};
    std::size_t total = 0;
    while (!failure && total < drain_bytes)
    {
        total += co_await stream.async_read_some(
            asio::buffer(scratch),
            asio::redirect_error(asio::use_awaitable, failure));
    }
}

void http_server::state::close_idle()
{
    for (auto& [number, weak] : connections)
    {
        const auto connection = weak.lock();
        if (connection && !connection->busy)
            connection->stream.cancel();
    }
}

http_server::http_server(asio::io_context& context,
                         const tcp::endpoint& endpoint, http_limits limits,
                         http_handlers handlers)
    : state_(std::make_shared<state>(context, limits, std::move(handlers)))
{
    listen_shared(state_->acceptor, endpoint);
    asio::co_spawn(context, state_->accept_loop(), asio::detached);
}

http_server::~http_server()
{
    stop();
}

void http_server::drain()
{
    asio::post(state_->acceptor.get_executor(),
               [state = state_] { state->draining = true; });
}

void http_server::stop()
{
    asio::post(state_->acceptor.get_executor(),
               [state = state_]
               {
                   if (state->stopping)
                       return;
                   state->draining = true;
                   state->stopping = true;
                   error_code ignored;
                   state->acceptor.close(ignored);
                   state->close_idle();
               });
}

} // namespace oleandergrade
