#include "received_statements.hpp"

#include <oleandergrade/operations/text_check.hpp>

#include <algorithm>
#include <utility>

namespace standins
{

std::string_view take_field(std::string_view& rest)
{
    const auto end = rest.find(' ');
    const auto field = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    return field;
}

std::string without_prepared_name(std::string_view text,
                                  std::string_view prepared)
{
    auto rest = text;
    if (take_field(rest) != "EXECUTE")
        return std::string(text);
    const auto name = take_field(rest);
    const auto verb_size = static_cast<std::size_t>(name.data() - text.data());
    std::string result(text.substr(0, verb_size));
    result.append("(").append(prepared).append(")");
    return result.append(text.substr(verb_size + name.size()));
}

void received_statements::add(received_statement statement)
{
    text_bytes_ += statement.text.size();
    statements_.push_back(std::move(statement));
    while (statements_.size() > max_count || text_bytes_ > max_text_bytes)
        discard_first();
}

void received_statements::discard_first()
{
    text_bytes_ -= statements_.front().text.size();
    statements_.pop_front();
    ++first_number_;
}

void received_statements::discard_before(std::uint64_t number)
{
    while (!statements_.empty() && first_number_ < number)
        discard_first();
}

std::string received_statements::to_text(std::uint64_t first,
                                         std::size_t max_bytes) const
{
    std::string text;
    for (auto number = std::max(first, first_number_);
         number < next_number() && text.size() <= max_bytes; ++number)
    {
        const auto& statement = statements_[number - first_number_];
        text += std::to_string(number) + " " +
                oleandergrade::escape_text(statement.id) + " " +
                statement.server + " " +
                oleandergrade::escape_text(statement.text) + "\n";
    }
    return text;
}

std::vector<received_statement>
received_statements::find(const std::string& id) const
{
    std::vector<received_statement> found;
    for (const auto& statement : statements_)
        if (statement.id == id)
            found.push_back(statement);
    return found;
}

} // namespace standins
