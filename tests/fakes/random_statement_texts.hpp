/// Draws texts of statements from the grammar of the session protocol.
#pragma once

#include <random>
#include <string>

namespace fakes
{

/// A statement that the protocol allows.
struct drawn_statement
{
    std::string text;
    bool writes = false;
    /// For EXECUTE, the text of the PREPARE that must precede it; else empty.
    std::string preparation;
    /// For EXECUTE, the text of `preparation` from READ or WRITE on.
    std::string prepared;
};

/// Draws fields of arbitrary bytes: keywords, blanks, control characters and
/// bytes above 127, empty last fields, and now and then long ones. No field
/// has a line end. Not thread-safe.
class random_statement_texts
{
public:
    explicit random_statement_texts(std::uint64_t seed) : random_(seed) {}

    /// Draws a READ or EXECUTE of a statement that reads, or also a WRITE or
    /// EXECUTE of a statement that writes.
    drawn_statement draw(bool may_write);
    /// Draws a text of one byte or more without blanks.
    std::string draw_word();
    /// Draws the last field of a line, which extends to the line's end.
    std::string draw_last_field();

private:
    std::string draw_bytes(std::size_t min_size, bool may_have_blanks);
    std::uint64_t random_below(std::uint64_t limit)
    {
        return random_() % limit;
    }

    std::mt19937_64 random_;
};

} // namespace fakes
