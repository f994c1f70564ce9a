/// The statements of callers as the emulated database servers received them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standins
{

/// Returns the field at the beginning of `rest` and removes it and the blank
/// that follows it. Fields are separated by single blanks, so a field is empty
/// if `rest` begins with a blank.
std::string_view take_field(std::string_view& rest);

/// Returns the text of an EXECUTE with the name of the prepared statement
/// replaced by what the name stands for, and any other text as it is. Texts
/// that are equal in this form mean the same, whatever the names. `prepared`
/// has the text of the PREPARE from READ or WRITE on.
std::string without_prepared_name(std::string_view text,
                                  std::string_view prepared);

/// A statement of a caller at a server.
struct received_statement
{
    std::string id;
    std::string server;
    /// The text byte for byte as received, but without a preceding position,
    /// and without the name of a prepared statement.
    std::string text;
};

/// Keeps the latest statements up to a limit, numbered from 0 in the order in
/// which they were received. Not thread-safe.
class received_statements
{
public:
    /// Limits of what is kept: number of statements, and bytes of their texts.
    static constexpr std::size_t max_count = 100'000;
    static constexpr std::size_t max_text_bytes = 64 * 1024 * 1024;

    void add(received_statement statement);
    /// Returns the statements with this identifier, the earliest first.
    std::vector<received_statement> find(const std::string& id) const;
    /// Returns the statements from a number on, as one line "NUMBER ID SERVER
    /// TEXT" each, with identifier and text escaped by escape_text(). Ends with
    /// the first line with which the text is longer than `max_bytes`. The first
    /// number is higher if the statement is no longer kept.
    std::string to_text(std::uint64_t first, std::size_t max_bytes) const;
    /// The number of the statement that is received next.
    std::uint64_t next_number() const
    {
        return first_number_ + statements_.size();
    }
    /// Discards the statements with lower numbers.
    void discard_before(std::uint64_t number);

private:
    void discard_first();

    std::deque<received_statement> statements_;
    /// Number of the earliest statement that is kept.
    std::uint64_t first_number_ = 0;
    std::size_t text_bytes_ = 0;
};

} // namespace standins
