/// Reads the messages of a session, which are lines, from a socket.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace oleandergrade
{

/// Splits the bytes that a socket receives into lines. Bytes after the last
/// line are kept for the next call. The socket must outlive the reader.
class line_reader
{
public:
    explicit line_reader(boost::asio::ip::tcp::socket& socket) : socket_(socket)
    {
    }

    /// Returns the next line without its line end; the view is valid until the
    /// next call. Returns nothing if the connection ended, or if more
    /// than `max_session_message_bytes` bytes arrived without a line end.
    boost::asio::awaitable<std::optional<std::string_view>> read();

    /// Whether the last call failed because the line was too long.
    bool is_too_long() const { return too_long_; }
    /// The error with which the connection ended; success if it has not.
    const boost::system::error_code& failure() const { return failure_; }

private:
    boost::asio::ip::tcp::socket& socket_;
    std::string buffer_;
    /// Index in the buffer of the first byte after the lines already returned.
    std::size_t begin_ = 0;
    bool too_long_ = false;
    boost::system::error_code failure_;
};

} // namespace oleandergrade
