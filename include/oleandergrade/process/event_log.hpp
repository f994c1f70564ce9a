/// Writes structured log lines to standard output, one for each decision.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace oleandergrade
{

enum class event_level : std::uint8_t
{
    info,
    warning,
    error
};

/// The name and value of one field of a log line.
struct event_field
{
    std::string_view name;
    std::string value;

    event_field(std::string_view field_name, std::string text)
        : name(field_name), value(std::move(text))
    {
    }
    event_field(std::string_view field_name, const char* text)
        : name(field_name), value(text)
    {
    }
    event_field(std::string_view field_name, std::uint64_t number)
        : name(field_name), value(std::to_string(number))
    {
    }
    event_field(std::string_view field_name, milliseconds time)
        : name(field_name), value(std::to_string(time.count()) + "ms")
    {
    }
};

/// Value of `part` in lines about single statements. These lines have a budget
/// of their own, so that a large number of them does not suppress lines about
/// changes of the process's state.
inline constexpr std::string_view statement_part = "statement";
/// Value of `part` in lines about the texts of statements, which have a budget
/// of their own as well.
inline constexpr std::string_view text_part = "text";

/// Maximum number of lines that are written per second, for single statements,
/// for the texts of statements, and for everything else. Further lines are left
/// out and, except for those about texts, counted.
struct event_log_budget
{
    std::uint32_t statement_lines = 20;
    std::uint32_t event_lines = 50;
    std::uint32_t text_lines = 5;
};

/// Starts to write lines of the form
/// `level=info at_ms=1700000000000 vm=edge-1 part=duty event=lost token=17`.
/// Lines that are logged before this call are dropped.
void start_event_log(const std::string& vm, event_log_budget budget);

/// Writes a line if the budget allows it and standard output accepts it without
/// blocking. The next line that is written has the field `left_out` with the
/// number of lines that exceeded the budget.
void log_event(event_level level, std::string_view part, std::string_view event,
               std::initializer_list<event_field> fields = {});

/// Returns the number of lines left out since the process started, because of
/// the budget or of blocked output.
std::uint64_t dropped_event_lines();

} // namespace oleandergrade
