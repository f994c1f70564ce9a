/// Reads a session's messages line by line.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace oleandergrade
{

/// Keeps what was received beyond the last line. The socket must outlive it.
class line_reader
{
public:
    explicit line_reader(boost::asio::ip::tcp::socket& socket) : socket_(socket)
    {
    }

    /// The next line without its ending; valid until the next call. None if
    /// the connection ended or the line is too long.
    boost::asio::awaitable<std::optional<std::string_view>> read();

    /// The last line was longer than a message may be.
    bool is_too_long() const { return too_long_; }
    /// Why the connection ended.
    const boost::system::error_code& failure() const { return failure_; }

private:
    boost::asio::ip::tcp::socket& socket_;
    std::string buffer_;
    /// Start of the bytes that are not read yet.
    std::size_t begin_ = 0;
    bool too_long_ = false;
    boost::system::error_code failure_;
};

} // namespace oleandergrade
