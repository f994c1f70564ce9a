/// Structured log lines on standard output: one line for each decision.
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

/// One name and value of a line.
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

/// The part whose lines tell of single statements. They have a budget of their
/// own, so that a storm of them hides no change of what the process believes.
inline constexpr std::string_view statement_part = "statement";

/// Lines per second that are written; more are counted and left out.
struct event_log_budget
{
    std::uint32_t statement_lines = 20;
    std::uint32_t event_lines = 50;
};

/// Starts to write lines of the form
/// `level=info part=duty event="taken over" vm=edge-1 token=17`. Lines before
/// the start are dropped.
void start_event_log(const std::string& vm, event_log_budget budget);

/// Writes a line if the budget allows it and the output takes it at once. The
/// number of lines left out since is written with the next one.
void log_event(event_level level, std::string_view part, std::string_view event,
               std::initializer_list<event_field> fields = {});

/// Lines left out since the start.
std::uint64_t dropped_event_lines();

} // namespace oleandergrade
