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
constexpr std::size_t read_bytes = 4096;

} // namespace

asio::awaitable<std::optional<std::string_view>> line_reader::read()
{
    auto search_begin = begin_;
    for (;;)
    {
        const auto end = buffer_.find(session_line_end, search_begin);
        if (end != std::string::npos)
        {
            const std::string_view line(buffer_.data() + begin_, end - begin_);
            begin_ = end + session_line_end.size();
            co_return line;
        }
        buffer_.erase(0, begin_);
        begin_ = 0;
        const auto unread_bytes = buffer_.size();
        too_long_ = unread_bytes > max_session_message_bytes;
        if (too_long_)
            co_return std::nullopt;
        // The last byte may be the first of the two bytes of a line end.
        search_begin = unread_bytes > 0 ? unread_bytes - 1 : 0;
        buffer_.resize(unread_bytes + read_bytes);
        const auto received_bytes = co_await socket_.async_read_some(
            asio::buffer(buffer_.data() + unread_bytes, read_bytes),
            asio::redirect_error(asio::use_awaitable, failure_));
        buffer_.resize(unread_bytes + received_bytes);
        if (failure_)
            co_return std::nullopt;
    }
}

} // namespace oleandergrade
