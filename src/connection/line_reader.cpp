#include <oleandergrade/connection/line_reader.hpp>

#include <oleandergrade/connection/session_codec.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// Maximum number of bytes that one read from the socket returns.
constexpr std::size_t max_read_bytes = 4096;
/// A buffer without unread bytes keeps at most this much memory.
constexpr std::size_t max_idle_bytes = 4 * max_read_bytes;

} // namespace

asio::awaitable<std::optional<std::string_view>> line_reader::read_line()
{
    auto search_begin = unread_begin_;
    for (;;)
    {
        const auto end = buffer_.find(session_line_end, search_begin);
        if (end != std::string::npos)
        {
            const std::string_view line(buffer_.data() + unread_begin_,
                                        end - unread_begin_);
            line_too_long_ = line.size() > max_session_message_bytes;
            if (line_too_long_)
                co_return std::nullopt;
            unread_begin_ = end + session_line_end.size();
            co_return line;
        }
        buffer_.erase(0, unread_begin_);
        unread_begin_ = 0;
        if (buffer_.empty() && buffer_.capacity() > max_idle_bytes)
            std::string().swap(buffer_);
        const auto unread_bytes = buffer_.size();
        // The last byte may be the first of the two bytes of a line end.
        const std::size_t line_end_bytes =
            buffer_.ends_with(session_line_end.front()) ? 1 : 0;
        line_too_long_ =
            unread_bytes - line_end_bytes > max_session_message_bytes;
        if (line_too_long_)
            co_return std::nullopt;
        search_begin = unread_bytes > 0 ? unread_bytes - 1 : 0;
        buffer_.resize(unread_bytes + max_read_bytes);
        const auto received_bytes = co_await socket_.async_read_some(
            asio::buffer(buffer_.data() + unread_bytes, max_read_bytes),
            asio::redirect_error(asio::use_awaitable, connection_error_));
        buffer_.resize(unread_bytes + received_bytes);
        if (connection_error_)
            co_return std::nullopt;
    }
}

} // namespace oleandergrade
