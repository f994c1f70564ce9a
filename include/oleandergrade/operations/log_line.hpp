/// Parses the structured log lines that VMs write.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleandergrade
{

/// One log line: the names and values of its fields, in the order of the line.
struct log_line
{
    std::vector<std::pair<std::string, std::string>> fields;

    /// Returns the value of a field; empty if the line has no such field.
    std::string_view value_of_field(std::string_view name) const;
    /// Time of the event in milliseconds since 1970-01-01 UTC; 0 if unknown.
    std::int64_t time_ms() const;

    bool operator==(const log_line&) const = default;
};

/// Parses a line of the form `name=value name="a value"`. Returns no value for
/// any other line and for lines without the fields `part` and `event`.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace oleandergrade
