#include <oleandergrade/operations/text_check.hpp>

#include <oleandergrade/connection/json_fields.hpp>

#include <algorithm>
#include <sstream>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

constexpr auto page_timeout = seconds(3);
/// Longer texts and identifiers are shortened in messages.
constexpr std::size_t max_quoted_size = 160;
constexpr std::size_t max_id_size = 60;

std::string shorten_id(const std::string& id)
{
    return id.size() <= max_id_size ? id : id.substr(0, max_id_size) + "...";
}

/// Returns an escaped text for a message; of a long text the part around the
/// position.
std::string quote(const std::string& text, std::size_t position = 0)
{
    if (text.size() <= max_quoted_size)
        return "\"" + text + "\"";
    const auto begin = position - std::min(position, max_quoted_size / 2);
    return "\"" + text.substr(begin, max_quoted_size) + "\" (from " +
           std::to_string(begin) + " of " + std::to_string(text.size()) +
           " characters)";
}

} // namespace

std::string escape_text(std::string_view text)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string escaped = text.empty() ? "%" : "";
    for (const char c : text)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (c > ' ' && c < 0x7f && c != '%')
        {
            escaped += c;
            continue;
        }
        escaped += '%';
        escaped += digits[byte >> 4];
        escaped += digits[byte & 15];
    }
    return escaped;
}

void text_check::add_sent(const std::string& id,
                          const caller_statement& statement)
{
    sent_statement sent;
    sent.text = escape_text(statement.text_at_target.value_or(statement.text));
    sent.must_be_received = statement.text_at_target.has_value();
    sent_[escape_text(id)] = std::move(sent);
}

void text_check::add_answer(const std::string& id, session_error failure)
{
    const auto escaped_id = escape_text(id);
    auto& sent = sent_[escaped_id];
    sent.has_succeeded = failure == session_error::none;
    if (failure == session_error::malformed ||
        failure == session_error::unknown_prepared)
        refused_.add(shorten_id(escaped_id) + ": " + quote(sent.text) +
                     " is valid, but was refused: " + to_string(failure));
}

asio::awaitable<result<std::string>> text_check::read(http_client& control,
                                                      std::string path)
{
    http_request request;
    request.method = "GET";
    request.path = std::move(path);
    auto answer = co_await control.exchange(std::move(request), page_timeout);
    if (!succeeded(answer))
        co_return error_of(answer);
    if (value_of(answer).status != 200)
        co_return error{error_kind::refused, "read received statements",
                        control.address(),
                        "status " + std::to_string(value_of(answer).status)};
    co_return std::move(value_of(answer).body);
}

asio::awaitable<result<bool>> text_check::collect(http_client& control)
{
    while (true)
    {
        const auto page =
            co_await read(control, "/received/" + std::to_string(next_number_));
        if (!succeeded(page))
            co_return error_of(page);
        if (add_received(value_of(page)) == 0)
            co_return true;
    }
}

asio::awaitable<result<bool>> text_check::skip(http_client& control)
{
    const auto counters = co_await read(control, "/findings");
    if (!succeeded(counters))
        co_return error_of(counters);
    const auto parsed = parse_json_object(value_of(counters));
    if (!succeeded(parsed))
        co_return error_of(parsed);
    next_number_ = unsigned_field(value_of(parsed), "next_received");
    co_return true;
}

std::size_t text_check::add_received(const std::string& page)
{
    std::istringstream lines(page);
    std::uint64_t number = 0;
    std::string id;
    std::string server;
    std::string text;
    std::size_t count = 0;
    while (lines >> number >> id >> server >> text)
    {
        missing_ += number - std::min(number, next_number_);
        next_number_ = number + 1;
        compare(id, server, text);
        ++count;
    }
    return count;
}

void text_check::compare(const std::string& id, const std::string& server,
                         const std::string& text)
{
    ++compared_;
    const auto found = sent_.find(id);
    if (found == sent_.end())
        return unknown_.add(server + " received " + shorten_id(id) + " " +
                            quote(text) + ", which no caller sent");
    auto& sent = found->second;
    sent.is_received = true;
    if (sent.text == text)
        return;
    const auto difference = static_cast<std::size_t>(
        std::mismatch(text.begin(), text.end(), sent.text.begin(),
                      sent.text.end())
            .first -
        text.begin());
    changed_.add(shorten_id(id) + ": sent " + quote(sent.text, difference) +
                 ", but " + server + " received " + quote(text, difference));
}

void text_check::violation_list::add(const std::string& message)
{
    if (++count <= max_messages)
        messages.push_back(message);
}

void text_check::violation_list::append_to(std::vector<std::string>& all,
                                           const char* kind) const
{
    all.insert(all.end(), messages.begin(), messages.end());
    if (count > messages.size())
        all.push_back(std::to_string(count - messages.size()) + " more " +
                      kind);
}

std::vector<std::string> text_check::violations() const
{
    violation_list not_received;
    for (const auto& [id, sent] : sent_)
        if (sent.must_be_received && sent.has_succeeded && !sent.is_received)
            not_received.add(shorten_id(id) + ": " + quote(sent.text) +
                             " was answered with success, but no server "
                             "received it");
    std::vector<std::string> all;
    changed_.append_to(all, "texts were changed");
    unknown_.append_to(all, "statements were received that no caller sent");
    not_received.append_to(all, "statements were not received");
    refused_.append_to(all, "valid statements were refused");
    if (missing_ > 0)
        all.push_back(
            "the emulator's record has lost " + std::to_string(missing_) +
            " statements, so that texts could not be compared and may be "
            "reported as not received");
    return all;
}

} // namespace oleandergrade
