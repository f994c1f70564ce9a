#include "rewritten_statement.hpp"

#include <optional>

using namespace oleandergrade;

namespace fakes
{

namespace
{

const std::string target_name = "name-at-target";
constexpr log_position minimum{3, 17};
const std::string position_prefix = "AFTER 3.17 ";

std::optional<session_statement> parse_statement(const session_codec& codec,
                                                 const std::string& line)
{
    const auto parsed = codec.parse_caller_message(line);
    if (!succeeded(parsed))
        return std::nullopt;
    const auto* statement = std::get_if<session_statement>(&value_of(parsed));
    if (statement == nullptr || statement->verb == session_verb::unknown)
        return std::nullopt;
    return *statement;
}

std::string changed(const std::string& expected, const std::string& found)
{
    return "'" + expected + "' became '" + found + "'";
}

/// Returns the text of a caller's EXECUTE under the name at the target, cut
/// together from the received bytes.
std::string renamed_execute(const std::string& text)
{
    const auto name_begin = text.find(' ') + 1;
    return text.substr(0, name_begin) + target_name +
           text.substr(text.find(' ', name_begin));
}

/// Returns the text of a statement that is written from its parsed operands, if
/// the protocol has an encoding for it.
std::optional<std::string> written_from_operands(const session_codec& codec,
                                                 const session_statement& call)
{
    switch (call.verb)
    {
    case session_verb::read:
        return codec.encode_read(call.item_or_shape);
    case session_verb::write:
        return codec.encode_write(call.item_or_shape, call.data);
    case session_verb::set_value:
        return codec.encode_set(call.name, call.data);
    case session_verb::prepare:
        return codec.encode_prepare(call.name, call.prepares_write,
                                    call.item_or_shape);
    default:
        return std::nullopt;
    }
}

} // namespace

std::string find_changed_statement(const session_codec& codec,
                                   const std::string& line)
{
    const auto statement = parse_statement(codec, line);
    if (!statement)
        return "";
    const std::string received = "QUERY " + statement->id + " ";
    if (line != received + statement->text)
        return changed(line, received + statement->text);
    const auto operands_text = written_from_operands(codec, *statement);
    if (operands_text && *operands_text != statement->text)
        return changed(statement->text, *operands_text);

    const bool is_execute = statement->verb == session_verb::execute;
    const auto expected_text =
        is_execute ? renamed_execute(statement->text) : statement->text;
    const auto sent_text =
        is_execute ? codec.rename_prepared(statement->text, target_name)
                   : statement->text;
    std::string sent;
    codec.append_statement(sent, statement->id, sent_text, minimum);
    const auto expected =
        received + position_prefix + expected_text + std::string("\r\n");
    if (sent != expected)
        return changed(expected, sent);

    auto expected_statement = *statement;
    expected_statement.text = expected_text;
    if (is_execute)
        expected_statement.name = target_name;
    const auto parsed_again = parse_statement(codec, received + sent_text);
    if (!parsed_again || !(*parsed_again == expected_statement))
        return "'" + line + "' has other operands after it was written";
    return "";
}

} // namespace fakes
