#include <oleandergrade/connection/target_session.hpp>

#include <oleandergrade/connection/socket_options.hpp>
#include <oleandergrade/invariant.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cerrno>
#include <sys/socket.h>

namespace oleandergrade
{
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

/// Maximum number of bytes of values that an idle session remembers.
constexpr std::size_t max_idle_value_bytes = 64 * 1024;
/// Maximum number of names that an idle session remembers.
constexpr std::size_t max_idle_prepared_names = 1024;

} // namespace

target_session::target_session(const asio::any_io_executor& executor,
                               const session_codec& codec,
                               target_session_key key)
    : codec_(codec), key_(std::move(key)), socket_(executor),
      exchange_timer_(executor), reader_(socket_)
{
}

target_session::~target_session() = default;

void target_session::forget_large_state()
{
    std::size_t bytes = 0;
    for (const auto& [name, value] : session_values)
        bytes += name.size() + value.size();
    if (bytes <= max_idle_value_bytes &&
        prepared_names.size() <= max_idle_prepared_names)
        return;
    session_values.clear();
    prepared_names.clear();
    needs_reset = true;
}

error target_session::make_error(const char* step,
                                 const std::string& message) const
{
    return {has_timed_out_ ? error_kind::timeout : error_kind::broken, step,
            key_.target, message};
}

// The timer runs during the whole of an exchange. When it expires, it closes
// the socket, so that the pending read or write of the exchange fails.
void target_session::start_exchange_timer(milliseconds timeout)
{
    has_timed_out_ = false;
    is_exchanging_ = true;
    exchange_timer_.expires_after(timeout);
    exchange_timer_.async_wait(
        [weak = weak_from_this()](error_code wait_error)
        {
            const auto self = weak.lock();
            // The handler of an expired wait may run only after the timer was
            // started again or stopped; the expiry time then lies ahead.
            if (wait_error || !self ||
                self->exchange_timer_.expiry() >
                    asio::steady_timer::clock_type::now())
                return;
            self->has_timed_out_ = true;
            self->close();
        });
}

void target_session::stop_exchange_timer()
{
    is_exchanging_ = false;
    exchange_timer_.expires_at(asio::steady_timer::time_point::max());
}

void target_session::close()
{
    is_open_ = false;
    error_code ignored;
    socket_.close(ignored);
}

bool target_session::is_connection_usable()
{
    if (!is_open_)
        return false;
    char byte = 0;
    const auto received =
        ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::awaitable<result<bool>>
target_session::open(const tcp::endpoint& endpoint, milliseconds timeout)
{
    const auto self = shared_from_this();
    start_exchange_timer(timeout);
    error_code failure;
    co_await socket_.async_connect(
        endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        stop_exchange_timer();
        close();
        co_return error{error_kind::unreachable, "connect", key_.target,
                        has_timed_out_ ? "no answer" : failure.message()};
    }
    enable_dead_peer_detection(socket_);
    is_open_ = true;
    std::string opening;
    codec_.append_opening(opening, key_.group, key_.account, key_.target);
    co_await asio::async_write(
        socket_, asio::buffer(opening),
        asio::redirect_error(asio::use_awaitable, failure));
    auto answer = co_await read_answer();
    stop_exchange_timer();
    if (!succeeded(answer))
    {
        close();
        co_return error{error_kind::unreachable, "greet", key_.target,
                        error_of(answer).message};
    }
    const auto refusal = value_of(answer).failure;
    is_accepted_ = refusal == session_error::none;
    if (is_accepted_)
        co_return true;
    close();
    co_return error{error_kind::refused, "greet", key_.target,
                    to_string(refusal)};
}

asio::awaitable<result<std::vector<target_answer>>>
target_session::exchange(std::string statements, std::size_t count,
                         milliseconds timeout)
{
    const auto self = shared_from_this();
    if (!is_open_)
        co_return make_error("exchange", "the session is closed");
    check_invariant(!is_exchanging_, "a session has one exchange at a time",
                    key_.target);
    if (is_exchanging_)
        co_return make_error("exchange", "another exchange is in progress");
    start_exchange_timer(timeout);
    error_code failure;
    co_await asio::async_write(
        socket_, asio::buffer(statements),
        asio::redirect_error(asio::use_awaitable, failure));
    std::vector<target_answer> answers;
    answers.reserve(count);
    while (!failure && answers.size() < count)
    {
        auto answer = co_await read_answer();
        if (!succeeded(answer))
        {
            stop_exchange_timer();
            close();
            co_return make_error("exchange", error_of(answer).message);
        }
        answers.push_back(std::move(value_of(answer)));
    }
    stop_exchange_timer();
    if (failure)
    {
        close();
        co_return make_error("send", failure.message());
    }
    // Whatever follows the last answer would be taken for the next one.
    if (reader_.has_unread())
        close();
    co_return answers;
}

asio::awaitable<result<target_answer>> target_session::read_answer()
{
    target_answer answer;
    for (;;)
    {
        const auto line = co_await reader_.read_line();
        if (!line)
            co_return make_error("read line",
                                 reader_.is_line_too_long()
                                     ? "the line is too long"
                                     : reader_.connection_error().message());
        auto parsed = codec_.parse_target_message(*line);
        if (!succeeded(parsed))
            co_return error_of(parsed);
        auto& message = value_of(parsed);
        if (auto* row = std::get_if<target_row>(&message))
        {
            answer.rows.append(row->line).append(session_line_end);
            // Limits the memory that one answer can occupy.
            if (answer.rows.size() > max_session_message_bytes * 4)
                co_return make_error("read answer", "the answer is too long");
        }
        else if (auto* completion = std::get_if<target_completion>(&message))
        {
            answer.execution_proof = std::move(completion->execution_proof);
        }
        else if (auto* target_error = std::get_if<target_failure>(&message))
        {
            answer.failure = target_error->code;
            answer.failure_line = std::move(target_error->line);
            // A target that refuses a session closes it after this message,
            // without the usual message that ends an answer.
            if (!is_accepted_)
                co_return answer;
        }
        else
        {
            const auto& readiness = std::get<target_readiness>(message);
            answer.transaction = readiness.transaction;
            answer.position = readiness.position;
            transaction_ = readiness.transaction;
            co_return answer;
        }
    }
}

} // namespace oleandergrade
