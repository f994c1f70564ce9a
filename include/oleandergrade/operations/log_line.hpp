/// Reads the structured log lines that VMs write.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleandergrade
{

/// One line: names and values in their order.
struct log_line
{
    std::vector<std::pair<std::string, std::string>> fields;

    /// Empty if the line has no such field.
    std::string_view find(std::string_view name) const;
    /// Milliseconds since 1970.
    std::int64_t at_ms() const;

    bool operator==(const log_line&) const = default;
};

/// Lines that are not of the form `name=value name="a value"` give nothing.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace oleandergrade
