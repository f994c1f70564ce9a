/// An HTTP/1.1 client connection, implemented with Boost.Beast.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/endpoint.hpp>
#include <oleandergrade/connection/http_message.hpp>
#include <oleandergrade/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace oleandergrade
{

/// A persistent connection to one server, which carries one exchange at a time.
/// Call all members on the executor given to the constructor.
class http_client
{
public:
    /// The longest time for receiving a body that arrives in parts.
    static constexpr seconds max_body_duration{20};

    /// Does not connect yet. `address` is an IP address with a port.
    http_client(const boost::asio::any_io_executor& executor,
                std::string address);
    ~http_client();

    /// Sends a request and reads the response; connects first if the connection
    /// is not open. `timeout` covers all of this, or, if `part_timeout` is not
    /// 0, all up to the header of the response: each part of the body must then
    /// follow within `part_timeout`, and the whole body within
    /// `max_body_duration`. The error is of kind `unreachable` only if nothing
    /// was sent; after `broken` and `timeout` the server may have processed the
    /// request. After any error the connection is closed.
    boost::asio::awaitable<result<http_response>>
    exchange(http_request request, duration timeout,
             duration part_timeout = duration(0));

    /// Opens a new connection, after closing the current one, and sends
    /// nothing.
    boost::asio::awaitable<result<bool>> connect(duration timeout);

    /// Whether the connection was opened and not closed by this side. The peer
    /// may have closed it; see is_reusable().
    bool is_open() const;
    /// Whether the connection can carry another exchange: it is open, and the
    /// peer has neither closed it nor sent anything. Checks the socket, and
    /// closes the connection if the answer is no.
    bool is_reusable();
    void close();
    /// Closes the connection, or gives up opening it, without sending what has
    /// not been sent yet.
    void abort();
    const std::string& address() const { return address_; }

private:
    struct state;
    std::string address_;
    std::unique_ptr<state> state_;
};

} // namespace oleandergrade
