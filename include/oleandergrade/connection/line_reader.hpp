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
    /// next call. Returns nothing if the connection ended, or if more than
    /// `max_session_message_bytes` bytes arrived without a line end.
    boost::asio::awaitable<std::optional<std::string_view>> read_line();

    /// Whether bytes have been received that no call has returned.
    bool has_unread() const { return unread_begin_ < buffer_.size(); }
    /// Whether the last call failed because the line was too long.
    bool is_line_too_long() const { return line_too_long_; }
    /// The error with which the connection ended; success if it has not.
    const boost::system::error_code& connection_error() const
    {
        return connection_error_;
    }

private:
    boost::asio::ip::tcp::socket& socket_;
    std::string buffer_;
    /// Index in the buffer of the first byte after the lines already returned.
    std::size_t unread_begin_ = 0;
    bool line_too_long_ = false;
    boost::system::error_code connection_error_;
};

} // namespace oleandergrade
