#include <oleandergrade/connection/peer_link.hpp>

#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/socket_options.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <map>
#include <optional>
#include <utility>

namespace oleandergrade
{
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::size_t length_prefix_bytes = 4;

/// A call that waits for its reply. Cancelling the timer ends the wait.
struct pending_call
{
    explicit pending_call(const asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    asio::steady_timer timer;
    std::optional<peer_body> reply;
    /// The connection was closed before the reply arrived.
    bool connection_closed = false;
};

/// Whether this type of message is a reply; all others are requests.
bool is_reply(const peer_body& body)
{
    return std::holds_alternative<fleet_grant>(body) ||
           std::holds_alternative<borrow_reply>(body) ||
           std::holds_alternative<notice_receipt>(body) ||
           std::holds_alternative<fleet_snapshot>(body) ||
           std::holds_alternative<relayed_grants>(body) ||
           std::holds_alternative<forwarded_answer>(body) ||
           std::holds_alternative<liveness_reply>(body);
}

} // namespace

struct peer_link::state : std::enable_shared_from_this<peer_link::state>
{
    state(const asio::any_io_executor& executor, std::string peer_address,
          milliseconds timeout)
        : executor(executor), address(std::move(peer_address)),
          connect_timeout(timeout)
    {
    }

    explicit state(tcp::socket accepted)
        : executor(accepted.get_executor()),
          socket(std::make_shared<tcp::socket>(std::move(accepted)))
    {
    }

    /// Opens the connection unless it is open. Concurrent callers share one
    /// attempt.
    asio::awaitable<result<bool>> open();
    /// Like all coroutines that are spawned, it takes what it needs as
    /// parameters: the object and the connection may have changed before it
    /// starts.
    asio::awaitable<void> read_loop(std::shared_ptr<state> self,
                                    std::shared_ptr<tcp::socket> connection,
                                    std::uint64_t own_connection_number);
    /// Returns false if the connection failed or the frame is too large.
    asio::awaitable<bool> read_frame(tcp::socket& connection,
                                     std::string& frame);
    asio::awaitable<void> handle_request(std::shared_ptr<state> self,
                                         peer_message message,
                                         std::uint64_t own_connection_number);
    asio::awaitable<void> write_loop(std::shared_ptr<state> self,
                                     std::shared_ptr<tcp::socket> connection,
                                     std::uint64_t own_connection_number);
    /// Queues an encoded message for the write loop.
    void send(const std::string& frame);
    /// Passes a reply to the call that waits for it. A late reply, whose call
    /// has timed out, is discarded.
    void deliver(peer_message message);
    /// Closes the connection and fails all calls that wait for a reply.
    void disconnect();

    asio::any_io_executor executor;
    /// Each connection has a socket of its own, which the loops of the
    /// connection share: what they read or write never reaches a later one.
    std::shared_ptr<tcp::socket> socket;
    /// Address of the other VM; empty for an accepted connection.
    std::string address;
    milliseconds connect_timeout{0};
    peer_request_handler handler;
    std::function<void()> closed_handler;
    /// When the last message arrived.
    time_point last_received_at;
    /// When the last part of a message arrived, a time of `clock`.
    time_point last_part_at;
    bool is_open = false;
    bool is_connecting = false;
    /// The write loop is running.
    bool is_writing = false;
    /// Number of the connection; changes when it is opened or closed, so that
    /// the loops of an earlier connection end.
    std::uint64_t connection_number = 0;
    std::uint64_t next_message_id = 1;
    /// Encoded frames that have not been passed to the socket.
    std::string unsent_frames;
    /// Calls that wait for a reply, by message number.
    std::map<std::uint64_t, std::shared_ptr<pending_call>> pending_calls;
    /// Calls that wait for the connection attempt of another call.
    std::vector<std::shared_ptr<asio::steady_timer>> connect_waiters;
};

asio::awaitable<result<bool>> peer_link::state::open()
{
    const auto self = shared_from_this();
    if (is_open)
        co_return true;
    const auto endpoint = parse_endpoint(address);
    if (!succeeded(endpoint))
        co_return error_of(endpoint);
    error_code failure;
    if (is_connecting)
    {
        auto waiter =
            std::make_shared<asio::steady_timer>(executor, connect_timeout);
        connect_waiters.push_back(waiter);
        co_await waiter->async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
        if (is_open)
            co_return true;
        co_return error{
            error_kind::unreachable, "connect", address,
            "the connection attempt that another call began has failed"};
    }
    is_connecting = true;
    const auto connection = std::make_shared<tcp::socket>(executor);
    socket = connection;
    asio::steady_timer timer(executor, connect_timeout);
    timer.async_wait(
        [self, connection](error_code timer_error)
        {
            if (!timer_error && self->is_connecting &&
                self->socket == connection)
            {
                error_code ignored;
                connection->close(ignored);
            }
        });
    co_await connection->async_connect(
        value_of(endpoint), asio::redirect_error(asio::use_awaitable, failure));
    is_connecting = false;
    // The connection may have been closed after it was established.
    if (!failure && !connection->is_open())
        failure = asio::error::operation_aborted;
    if (!failure)
    {
        is_open = true;
        ++connection_number;
        enable_dead_peer_detection(*socket);
        asio::co_spawn(executor, read_loop(self, socket, connection_number),
                       asio::detached);
    }
    for (const auto& waiter : std::exchange(connect_waiters, {}))
        waiter->cancel();
    if (!is_open)
        co_return error{error_kind::unreachable, "connect", address,
                        failure.message()};
    co_return true;
}

asio::awaitable<bool> peer_link::state::read_frame(tcp::socket& connection,
                                                   std::string& frame)
{
    std::array<unsigned char, length_prefix_bytes> prefix{};
    error_code failure;
    co_await asio::async_read(
        connection, asio::buffer(prefix),
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return false;
    const auto size = boost::endian::load_little_u32(prefix.data());
    if (size > max_peer_frame_bytes)
        co_return false;
    frame.resize(size);
    for (std::size_t received = 0; received < size && !failure;)
    {
        received += co_await connection.async_read_some(
            asio::buffer(frame) + received,
            asio::redirect_error(asio::use_awaitable, failure));
        last_part_at = clock::now();
    }
    co_return !failure;
}

asio::awaitable<void>
peer_link::state::read_loop(std::shared_ptr<state> self,
                            std::shared_ptr<tcp::socket> connection,
                            std::uint64_t own_connection_number)
{
    std::string frame;
    while (co_await read_frame(*connection, frame))
    {
        if (connection_number != own_connection_number)
            co_return;
        auto message = decode_peer_message(frame);
        if (!succeeded(message))
            break;
        last_received_at = current_time();
        if (is_reply(value_of(message).body))
            deliver(std::move(value_of(message)));
        else if (handler)
            asio::co_spawn(executor,
                           handle_request(self, std::move(value_of(message)),
                                          own_connection_number),
                           asio::detached);
    }
    if (connection_number == own_connection_number)
        disconnect();
}

asio::awaitable<void>
peer_link::state::handle_request([[maybe_unused]] std::shared_ptr<state> self,
                                 peer_message message,
                                 std::uint64_t own_connection_number)
{
    peer_message reply;
    reply.id = message.id;
    reply.body = co_await handler(std::move(message.body));
    if (is_open && connection_number == own_connection_number)
        send(encode_peer_message(reply));
}

void peer_link::state::send(const std::string& frame)
{
    std::array<unsigned char, length_prefix_bytes> prefix{};
    boost::endian::store_little_u32(prefix.data(),
                                    static_cast<std::uint32_t>(frame.size()));
    unsent_frames.append(reinterpret_cast<const char*>(prefix.data()),
                         length_prefix_bytes);
    unsent_frames.append(frame);
    if (is_writing)
        return;
    is_writing = true;
    asio::co_spawn(executor,
                   write_loop(shared_from_this(), socket, connection_number),
                   asio::detached);
}

// Writes all frames that have been queued meanwhile with one system call.
asio::awaitable<void>
peer_link::state::write_loop([[maybe_unused]] std::shared_ptr<state> self,
                             std::shared_ptr<tcp::socket> connection,
                             std::uint64_t own_connection_number)
{
    while (!unsent_frames.empty() && connection_number == own_connection_number)
    {
        const auto batch = std::exchange(unsent_frames, {});
        error_code failure;
        co_await asio::async_write(
            *connection, asio::buffer(batch),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            if (connection_number == own_connection_number)
                disconnect();
            co_return;
        }
    }
    if (connection_number == own_connection_number)
        is_writing = false;
}

void peer_link::state::deliver(peer_message message)
{
    const auto found = pending_calls.find(message.id);
    if (found == pending_calls.end())
        return;
    found->second->reply = std::move(message.body);
    found->second->timer.cancel();
    pending_calls.erase(found);
}

void peer_link::state::disconnect()
{
    const bool was_open = std::exchange(is_open, false);
    is_writing = false;
    ++connection_number;
    unsent_frames.clear();
    error_code ignored;
    if (socket != nullptr)
        socket->close(ignored);
    for (const auto& [id, call] : std::exchange(pending_calls, {}))
    {
        call->connection_closed = true;
        call->timer.cancel();
    }
    if (was_open && closed_handler)
        closed_handler();
}

peer_link::peer_link(tcp::socket socket, peer_request_handler handler)
    : state_(std::make_shared<state>(std::move(socket)))
{
    state_->handler = std::move(handler);
    state_->is_open = true;
}

peer_link::peer_link(const asio::any_io_executor& executor, std::string address,
                     milliseconds connect_timeout)
    : state_(std::make_shared<state>(executor, std::move(address),
                                     connect_timeout))
{
}

peer_link::~peer_link() = default;

void peer_link::start()
{
    asio::co_spawn(
        state_->executor,
        state_->read_loop(state_, state_->socket, state_->connection_number),
        asio::detached);
}

asio::awaitable<result<peer_body>>
peer_link::call(peer_body body, duration timeout, duration part_timeout)
{
    const auto state = state_;
    const auto started_at = clock::now();
    const auto opened = co_await state->open();
    if (!succeeded(opened))
        co_return error_of(opened);
    const auto id = state->next_message_id++;
    const auto frame = encode_peer_message({id, std::move(body)});
    // The other VM would close the connection, which other calls use.
    if (frame.size() > max_peer_frame_bytes)
        co_return error{error_kind::too_large, "call", state->address,
                        "the message has " + std::to_string(frame.size()) +
                            " bytes, at most " +
                            std::to_string(max_peer_frame_bytes) +
                            " are allowed"};
    auto pending = std::make_shared<pending_call>(state->executor);
    state->pending_calls[id] = pending;
    state->send(frame);
    const auto latest_deadline = started_at + max_reply_duration;
    auto deadline = started_at + timeout;
    while (!pending->reply && !pending->connection_closed &&
           clock::now() < deadline)
    {
        pending->timer.expires_at(deadline);
        error_code ignored;
        co_await pending->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        if (part_timeout > duration(0))
            deadline =
                std::max(deadline, std::min(state->last_part_at + part_timeout,
                                            latest_deadline));
    }
    if (pending->reply)
        co_return std::move(*pending->reply);
    state->pending_calls.erase(id);
    if (pending->connection_closed)
        co_return error{error_kind::broken, "call", state->address,
                        "the connection was closed before the reply arrived"};
    co_return error{error_kind::timeout, "call", state->address,
                    "no reply within the timeout of the call"};
}

void peer_link::on_closed(std::function<void()> handler)
{
    state_->closed_handler = std::move(handler);
}

void peer_link::close()
{
    state_->disconnect();
}

bool peer_link::is_open() const
{
    return state_->is_open;
}

time_point peer_link::last_received_at() const
{
    return state_->last_received_at;
}

} // namespace oleandergrade
