#include <oleandergrade/connection/http_client.hpp>

#include <oleandergrade/connection/socket_options.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <string_view>
#include <sys/socket.h>

namespace oleandergrade
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

/// Longest time that a Retry-After header can ask for; longer ones count as
/// this, so that a faulty server cannot stop its clients for good.
constexpr seconds max_retry_after{60};

/// Returns the time that a Retry-After header asks for; 0 if the value is not a
/// number of seconds.
milliseconds parse_retry_after(std::string_view value)
{
    unsigned count = 0;
    const auto* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, count);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return milliseconds(0);
    return std::min<milliseconds>(seconds(count), max_retry_after);
}

/// Maximum size of a response body; the exchange fails if it is larger.
constexpr std::size_t max_response_body_bytes = 64 * 1024 * 1024;

/// Returns the kind of error to report for a failed exchange.
error_kind error_kind_of(const error_code& failure)
{
    return failure == beast::error::timeout ? error_kind::timeout
                                            : error_kind::broken;
}

} // namespace

struct http_client::state
{
    explicit state(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    /// Received bytes that belong to no response read so far.
    beast::flat_buffer buffer;
    bool is_open = false;
};

/// Reads one response. The header must arrive before the stream's timeout, and
/// the body as well if `part_timeout` is 0.
static asio::awaitable<error_code>
read_response(beast::tcp_stream& stream, beast::flat_buffer& buffer,
              http::response_parser<http::string_body>& parser,
              duration part_timeout)
{
    error_code failure;
    co_await http::async_read_header(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    const auto deadline = clock::now() + http_client::max_body_duration;
    while (!failure && !parser.is_done())
    {
        if (part_timeout > duration(0))
            stream.expires_at(std::min(deadline, clock::now() + part_timeout));
        co_await http::async_read_some(
            stream, buffer, parser,
            asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return failure;
}

http_client::http_client(const asio::any_io_executor& executor,
                         std::string address)
    : address_(std::move(address)), state_(std::make_unique<state>(executor))
{
}

http_client::~http_client() = default;

bool http_client::is_open() const
{
    return state_->is_open;
}

bool http_client::is_reusable()
{
    if (!state_->is_open)
        return false;
    char byte = 0;
    const auto received = ::recv(state_->stream.socket().native_handle(), &byte,
                                 1, MSG_PEEK | MSG_DONTWAIT);
    const bool has_no_input =
        received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (!has_no_input)
        close();
    return has_no_input;
}

void http_client::close()
{
    state_->is_open = false;
    state_->buffer.clear();
    state_->stream.close();
}

void http_client::abort()
{
    error_code ignored;
    state_->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                       ignored);
    close();
}

asio::awaitable<result<bool>> http_client::connect(duration timeout)
{
    const auto endpoint = parse_endpoint(address_);
    if (!succeeded(endpoint))
        co_return error_of(endpoint);
    close();
    auto& stream = state_->stream;
    stream.expires_after(timeout);
    error_code failure;
    co_await stream.async_connect(
        value_of(endpoint), asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return error{error_kind::unreachable, "connect", address_,
                        failure.message()};
    enable_dead_peer_detection(stream.socket());
    state_->is_open = true;
    co_return true;
}

asio::awaitable<result<http_response>>
http_client::exchange(http_request request, duration timeout,
                      duration part_timeout)
{
    const auto deadline = clock::now() + timeout;
    if (!state_->is_open)
    {
        auto connected = co_await connect(timeout);
        if (!succeeded(connected))
            co_return error_of(connected);
    }
    http::request<http::string_body> beast_request(
        http::string_to_verb(request.method), request.path, 11);
    beast_request.set(http::field::host, address_);
    beast_request.set(http::field::content_type, "application/json");
    if (!request.account_key.empty())
        beast_request.set("Oleander-Key", request.account_key);
    for (const auto& [name, value] : request.headers)
        beast_request.set(name, value);
    beast_request.body() = std::move(request.body);
    beast_request.prepare_payload();

    auto& stream = state_->stream;
    stream.expires_at(deadline);
    error_code failure;
    co_await http::async_write(
        stream, beast_request,
        asio::redirect_error(asio::use_awaitable, failure));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_body_bytes);
    if (!failure)
        failure = co_await read_response(stream, state_->buffer, parser,
                                         part_timeout);
    if (failure)
    {
        close();
        co_return error{error_kind_of(failure), "exchange", address_,
                        failure.message()};
    }
    auto& beast_response = parser.get();
    if (!beast_response.keep_alive())
        close();
    http_response response;
    response.status = beast_response.result_int();
    response.body = std::move(beast_response.body());
    response.content_type =
        std::string(beast_response[http::field::content_type]);
    response.retry_after =
        parse_retry_after(beast_response[http::field::retry_after]);
    for (const auto& field : beast_response)
        response.headers.emplace_back(field.name_string(), field.value());
    co_return response;
}

const std::string* find_header(const http_response& response,
                               std::string_view name)
{
    for (const auto& [known_name, value] : response.headers)
        if (beast::iequals(known_name, name))
            return &value;
    return nullptr;
}

} // namespace oleandergrade
