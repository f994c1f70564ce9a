#include <oleandergrade/operations/log_line.hpp>

#include <charconv>

namespace oleandergrade
{

std::string_view log_line::value_of_field(std::string_view name) const
{
    for (const auto& [field_name, value] : fields)
        if (field_name == name)
            return value;
    return {};
}

std::int64_t log_line::time_ms() const
{
    const auto text = value_of_field("at_ms");
    std::int64_t parsed_ms = 0;
    std::from_chars(text.data(), text.data() + text.size(), parsed_ms);
    return parsed_ms;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    log_line line;
    while (!text.empty())
    {
        if (text.front() == ' ')
        {
            text.remove_prefix(1);
            continue;
        }
        const auto equals = text.find('=');
        if (equals == std::string_view::npos || equals == 0)
            return std::nullopt;
        std::string name(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        std::string value;
        const bool is_quoted = !text.empty() && text.front() == '"';
        if (is_quoted)
            text.remove_prefix(1);
        while (!text.empty() && text.front() != (is_quoted ? '"' : ' '))
        {
            if (is_quoted && text.front() == '\\' && text.size() > 1)
                text.remove_prefix(1);
            value += text.front();
            text.remove_prefix(1);
        }
        if (is_quoted && !text.empty())
            text.remove_prefix(1);
        line.fields.emplace_back(std::move(name), std::move(value));
    }
    if (line.value_of_field("part").empty() ||
        line.value_of_field("event").empty())
        return std::nullopt;
    return line;
}

} // namespace oleandergrade
