/// One HTTP/1.1 client connection, built on Boost.Beast.
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

/// A keep-alive connection that carries one exchange at a time. All members
/// must run on the executor given to the constructor.
class http_client
{
public:
    http_client(const boost::asio::any_io_executor& executor,
                std::string address);
    ~http_client();

    /// Sends one request and reads its answer, connecting first if needed.
    /// The error is "unreachable" only if nothing was sent. After any error
    /// the connection is closed.
    boost::asio::awaitable<result<http_response>> exchange(http_request request,
                                                           duration timeout);

    /// Connects without sending anything.
    boost::asio::awaitable<result<bool>> connect(duration timeout);

    bool is_open() const;
    /// Whether the connection is open and the peer has not closed it; asks the
    /// operating system.
    bool is_reusable();
    void close();
    const std::string& address() const { return address_; }

private:
    struct state;
    std::string address_;
    std::unique_ptr<state> state_;
};

} // namespace oleandergrade
