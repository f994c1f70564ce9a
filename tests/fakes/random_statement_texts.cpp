#include "random_statement_texts.hpp"

#include <array>
#include <string_view>

namespace fakes
{

namespace
{

/// Words that mean something elsewhere in a line, and fields that only differ
/// in blanks.
constexpr std::array<std::string_view, 9> special_fields{
    "AFTER", "READ", "-", "3.17", "a ", " a", "a  b", "BEGIN READ ", "tail\r"};
constexpr std::size_t max_short_size = 12;
/// Longer than what a VM reads from a socket at once.
constexpr std::size_t max_long_size = 9000;

} // namespace

std::string random_statement_texts::draw_bytes(std::size_t min_size,
                                               bool may_have_blanks)
{
    constexpr std::string_view common = "abc19 \t.-\\\"";
    const auto limit = random_below(20) == 0 ? max_long_size : max_short_size;
    std::string bytes(min_size + random_below(limit), 'x');
    const bool is_arbitrary = random_below(2) == 0;
    for (auto& c : bytes)
    {
        c = is_arbitrary ? static_cast<char>(random_below(256))
                         : common[random_below(common.size())];
        if (c == ' ' && !may_have_blanks)
            c = '_';
    }
    // Only the two bytes together end a line.
    for (auto end = bytes.find("\r\n"); end != std::string::npos;
         end = bytes.find("\r\n"))
        bytes[end] = '\n';
    return bytes;
}

std::string random_statement_texts::draw_word()
{
    return draw_bytes(1, false);
}

std::string random_statement_texts::draw_last_field()
{
    if (random_below(4) == 0)
        return std::string(special_fields[random_below(special_fields.size())]);
    return draw_bytes(0, true);
}

drawn_statement random_statement_texts::draw(bool may_write)
{
    drawn_statement drawn;
    drawn.writes = may_write && random_below(2) == 0;
    const bool is_prepared = random_below(2) == 0;
    const std::string kind = drawn.writes ? "WRITE " : "READ ";
    if (is_prepared)
    {
        const auto name = draw_word();
        drawn.prepared = kind + draw_last_field();
        drawn.preparation = "PREPARE " + name + " " + drawn.prepared;
        drawn.text = "EXECUTE " + name + " ";
    }
    else
    {
        drawn.text = kind;
    }
    if (drawn.writes)
        drawn.text += draw_word() + " ";
    drawn.text += draw_last_field();
    return drawn;
}

} // namespace fakes
