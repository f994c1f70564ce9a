/// The statements of callers as the emulated database servers received them.
#pragma once

#include <cstddef>
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

/// Keeps the latest statements up to a limit. Not thread-safe.
class received_statements
{
public:
    /// Limits of what is kept: number of statements, and bytes of their texts.
    static constexpr std::size_t max_count = 100'000;
    static constexpr std::size_t max_text_bytes = 64 * 1024 * 1024;

    void add(received_statement statement);
    /// Returns the statements with this identifier, the earliest first.
    std::vector<received_statement> find(const std::string& id) const;
    const std::deque<received_statement>& all() const { return statements_; }

private:
    std::deque<received_statement> statements_;
    std::size_t text_bytes_ = 0;
};

} // namespace standins
