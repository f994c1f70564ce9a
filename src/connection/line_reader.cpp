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
    auto scanned = begin_;
    for (;;)
    {
        const auto end = buffer_.find(session_line_end, scanned);
        if (end != std::string::npos)
        {
            const std::string_view line(buffer_.data() + begin_, end - begin_);
            begin_ = end + session_line_end.size();
            co_return line;
        }
        buffer_.erase(0, begin_);
        begin_ = 0;
        const auto kept = buffer_.size();
        too_long_ = kept > max_session_message_bytes;
        if (too_long_)
            co_return std::nullopt;
        // The last byte may be the first of the two bytes of a line end.
        scanned = kept > 0 ? kept - 1 : 0;
        buffer_.resize(kept + read_bytes);
        const auto size = co_await socket_.async_read_some(
            asio::buffer(buffer_.data() + kept, read_bytes),
            asio::redirect_error(asio::use_awaitable, failure_));
        buffer_.resize(kept + size);
        if (failure_)
            co_return std::nullopt;
    }
}

} // namespace oleandergrade
