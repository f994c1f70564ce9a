/// A connection between two VMs that carries many calls at once.
#pragma once

#include <oleandergrade/connection/peer_message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace oleandergrade
{

/// Handles one request of the other VM and returns the body of the reply.
using peer_request_handler =
    std::function<boost::asio::awaitable<peer_body>(peer_body)>;

/// Sends and receives messages, each with a length prefix, matches replies with
/// the calls that wait for them, and passes requests of the other VM to the
/// handler. All members run on the executor of the connection.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /// Serves an accepted connection; `handler` answers its requests.
    peer_link(boost::asio::ip::tcp::socket socket,
              peer_request_handler handler);
    static constexpr milliseconds default_connect_timeout{500};

    /// Prepares a connection to `address`, which is opened by the first call.
    /// It is for outgoing calls only: requests of the other VM are ignored.
    peer_link(const boost::asio::any_io_executor& executor, std::string address,
              milliseconds connect_timeout = default_connect_timeout);
    ~peer_link();

    /// Begins to read messages from an accepted connection, until it closes.
    void start();

    /// Calls `handler` each time that the connection is closed.
    void on_closed(std::function<void()> handler);

    /// The longest wait for a reply that arrives in parts.
    static constexpr seconds max_reply_duration{20};

    /// Sends a request and waits for its reply, for at most `timeout`; opening
    /// the connection has a limit of its own, the connect timeout. If
    /// `part_timeout` is not 0, the wait goes on, up to `max_reply_duration`,
    /// while something arrives at least this often. The request was not sent
    /// if the error is of kind `unreachable` or `too_large`.
    boost::asio::awaitable<result<peer_body>>
    call(peer_body body, duration timeout, duration part_timeout = duration(0));
    /// Closes the connection. Calls that wait for a reply fail.
    void close();
    bool is_open() const;
    /// When the last message arrived; the epoch if none has.
    time_point last_received_at() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace oleandergrade
