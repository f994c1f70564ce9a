#include <oleandergrade/process/serving/session_server.hpp>

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/line_reader.hpp>
#include <oleandergrade/connection/listener.hpp>
#include <oleandergrade/connection/socket_options.hpp>
#include <oleandergrade/process/event_log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <optional>
#include <vector>

namespace oleandergrade
{
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

/// Maximum time for which input of a session that is being closed is still
/// read.
constexpr auto drain_timeout = milliseconds(500);
/// Interval of checks for the first configuration, and delay after a failed
/// accept.
constexpr auto poll_interval = milliseconds(25);
/// An operation may begin with statements that set values or prepare. Its
/// caller sends the next of them within this time.
constexpr auto max_gap_within_operation = milliseconds(500);

/// Whether an operation ends with this statement, if it does not belong to a
/// transaction that goes on. Otherwise further statements of the operation are
/// expected.
bool can_end_operation(session_verb verb)
{
    return verb == session_verb::read || verb == session_verb::write ||
           verb == session_verb::execute || verb == session_verb::commit ||
           verb == session_verb::rollback;
}

} // namespace

struct session_server::live_session : std::enable_shared_from_this<live_session>
{
    explicit live_session(tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()),
          reader(socket)
    {
    }

    /// Closes the connection after `delay`, unless the timer is stopped or set
    /// again before.
    void close_after(milliseconds delay)
    {
        timer.expires_after(delay);
        timer.async_wait(
            [weak = weak_from_this()](error_code cancelled)
            {
                const auto self = weak.lock();
                if (!cancelled && self && self->has_timer_expired())
                    self->close();
            });
    }
    void stop_timer() { timer.expires_at(time_point::max()); }
    /// The handler of an expired wait may run only after the timer was stopped
    /// or set again; the expiry time then lies ahead.
    bool has_timer_expired() const
    {
        return timer.expiry() <= asio::steady_timer::clock_type::now();
    }
    void close()
    {
        error_code ignored;
        socket.close(ignored);
    }

    tcp::socket socket;
    /// Limits the time for opening the session, the idle time inside a
    /// transaction and the time for closing.
    asio::steady_timer timer;
    served_session session;
    line_reader reader;
    /// Whether the caller is likely to send the next statement of an operation.
    bool expects_statement(time_point now) const
    {
        return operation_begun_at &&
               now < *operation_begun_at + max_gap_within_operation;
    }

    /// A statement of the session is under way.
    bool busy = false;
    /// When the session was opened, or the last statement answered that may be
    /// part of an operation; empty after the end of an operation.
    std::optional<time_point> operation_begun_at;
    /// Version of the configuration under which the key was last accepted.
    std::uint64_t checked_configuration_version = 0;
};

session_server::session_server(asio::io_context& context,
                               const tcp::endpoint& endpoint,
                               const session_codec& codec,
                               statement_runner& runner,
                               const active_configuration& configuration,
                               session_limits limits)
    : acceptor_(context), codec_(codec), runner_(runner),
      configuration_(configuration), limits_(limits)
{
    listen_with_port_reuse(acceptor_, endpoint);
}

session_server::~session_server() = default;

void session_server::start()
{
    configuration_deadline_ = current_time() + limits_.configuration_timeout;
    asio::co_spawn(acceptor_.get_executor(), accept_loop(), asio::detached);
}

asio::awaitable<void> session_server::accept_loop()
{
    for (;;)
    {
        error_code failure;
        auto socket = co_await acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure)
        {
            // The process is out of file descriptors; connections that are
            // closed meanwhile free some.
            co_await sleep_for(poll_interval);
            continue;
        }
        if (sessions_.size() >= limits_.max_sessions)
        {
            log_event(event_level::warning, "sessions", "too many sessions",
                      {{"open", sessions_.size()}});
            continue;
        }
        enable_dead_peer_detection(socket);
        auto live = std::make_shared<live_session>(std::move(socket));
        sessions_.insert(live);
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(live)),
                       asio::detached);
    }
}

asio::awaitable<void> session_server::serve(std::shared_ptr<live_session> live)
{
    bool keep_open = co_await open_session(*live);
    while (keep_open)
    {
        start_idle_transaction_timer(live);
        keep_open = co_await serve_next_statement(*live);
    }
    live->stop_timer();
    co_await runner_.abandon_transaction(live->session);
    co_await drain_input(*live);
    live->close();
    sessions_.erase(live);
}

asio::awaitable<bool> session_server::open_session(live_session& live)
{
    live.close_after(limits_.opening_timeout);
    const auto line = co_await live.reader.read_line();
    live.stop_timer();
    if (!line)
        co_return false;
    const auto message = codec_.parse_caller_message(*line);
    const auto* opening = succeeded(message)
                              ? std::get_if<session_opening>(&value_of(message))
                              : nullptr;
    if (opening == nullptr)
    {
        co_await refuse(live, session_error::malformed,
                        "the first message must open a session");
        co_return false;
    }
    while (configuration_.current() == nullptr &&
           current_time() < configuration_deadline_)
        co_await sleep_for(poll_interval);
    const auto failure = runner_.check_opening(*opening);
    if (failure != session_error::none)
    {
        co_await refuse(live, failure, "the session was not opened");
        co_return false;
    }
    live.session.database = opening->database;
    live.session.key = opening->account_key;
    live.checked_configuration_version = configuration_.version();
    std::string reply;
    codec_.append_readiness(reply, transaction_state::none);
    live.operation_begun_at = current_time();
    co_return co_await write(live, std::move(reply));
}

asio::awaitable<bool> session_server::serve_next_statement(live_session& live)
{
    const auto line = co_await live.reader.read_line();
    if (!line)
    {
        if (live.reader.is_line_too_long())
            co_await refuse(live, session_error::malformed,
                            "the message is too long");
        co_return false;
    }
    const auto message = codec_.parse_caller_message(*line);
    if (!succeeded(message) ||
        std::holds_alternative<session_opening>(value_of(message)))
    {
        co_await refuse(live, session_error::malformed,
                        "the message is not understood");
        co_return false;
    }
    const auto* statement = std::get_if<session_statement>(&value_of(message));
    if (statement == nullptr)
        co_return false;
    live.busy = true;
    const bool may_end_operation = can_end_operation(statement->verb);
    auto reply = co_await runner_.run(live.session, *statement);
    const bool failed = reply.outcome.failure != session_error::none;
    live.operation_begun_at.reset();
    if (!may_end_operation && !failed)
        live.operation_begun_at = current_time();
    const bool written = co_await write(live, std::move(reply.bytes));
    live.busy = false;
    if (!written)
        co_return false;
    if (live.session.caller_state.transaction() != transaction_state::none)
        co_return true;
    if (live.checked_configuration_version != configuration_.version())
    {
        live.checked_configuration_version = configuration_.version();
        const session_opening opening{live.session.database, live.session.key};
        if (runner_.check_opening(opening) == session_error::unauthorized)
            co_return false;
    }
    co_return !close_after_answer_ || live.operation_begun_at.has_value();
}

asio::awaitable<bool> session_server::write(live_session& live,
                                            std::string bytes)
{
    error_code failure;
    co_await asio::async_write(
        live.socket, asio::buffer(bytes),
        asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

asio::awaitable<void>
session_server::refuse(live_session& live, session_error code, const char* text)
{
    std::string reply;
    codec_.append_failure(reply, code, text);
    log_event(event_level::warning, "sessions", "refused",
              {{"outcome", to_string(code)},
               {"reason", text},
               {"configuration", configuration_.version()}});
    co_await write(live, std::move(reply));
}

// Closing a socket with unread input resets the connection, and the caller
// might lose the last answer. Therefore input is read and discarded until the
// caller closes the connection or the timeout expires.
asio::awaitable<void> session_server::drain_input(live_session& live)
{
    error_code failure;
    live.socket.shutdown(tcp::socket::shutdown_send, failure);
    if (failure)
        co_return;
    live.close_after(drain_timeout);
    std::array<char, 512> discarded{};
    while (!failure)
        co_await live.socket.async_read_some(
            asio::buffer(discarded),
            asio::redirect_error(asio::use_awaitable, failure));
    live.stop_timer();
}

// An open transaction occupies a session at a target. If it stays idle for
// longer than the configured limit, it is rolled back so that the session
// becomes free.
void session_server::start_idle_transaction_timer(
    const std::shared_ptr<live_session>& live)
{
    live->stop_timer();
    if (!live->session.occupies_target())
        return;
    live->timer.expires_after(
        configuration_.current()->transaction_idle_timeout);
    live->timer.async_wait(
        [this, weak = std::weak_ptr(live)](error_code cancelled)
        {
            const auto self = weak.lock();
            if (!cancelled && self && !self->busy && self->has_timer_expired())
                runner_.fail_transaction(self->session);
        });
}

void session_server::stop_accepting()
{
    error_code ignored;
    acceptor_.close(ignored);
}

// A session whose next statement has arrived or is likely to arrive stays open,
// so that the statement is answered.
void session_server::close_idle_sessions()
{
    for (const auto& live : sessions_)
    {
        error_code failure;
        const bool has_input = live->socket.available(failure) > 0;
        if (!live->busy && !has_input &&
            !live->expects_statement(current_time()) &&
            live->session.caller_state.transaction() == transaction_state::none)
            live->socket.cancel();
    }
}

void session_server::fail_transactions()
{
    for (const auto& live : sessions_)
        if (!live->busy)
            runner_.fail_transaction(live->session);
}

} // namespace oleandergrade
