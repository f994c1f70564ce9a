/// A connection between two daemons that carries many exchanges at once.
#pragma once

#include <oleandergrade/connection/peer_message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace oleandergrade
{

/// Answers one message. The body of the answer is sent back.
using peer_handler =
    std::function<boost::asio::awaitable<peer_body>(peer_body)>;

/// Frames messages with a length prefix, pairs answers with questions, and
/// lets the handler answer questions of the other side. All members run on
/// the executor of the connection.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /// Takes over an accepted connection.
    peer_link(boost::asio::ip::tcp::socket socket, peer_handler handler);
    /// Prepares a connection to `address`, which is opened by the first call.
    peer_link(const boost::asio::any_io_executor& executor,
              std::string address);
    ~peer_link();

    /// Reads messages until the connection ends.
    void start();

    /// Sends a message and waits for its answer. The error is "unreachable"
    /// only if the message was not sent.
    boost::asio::awaitable<result<peer_body>> call(peer_body body,
                                                   duration timeout);
    void close();

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace oleandergrade
