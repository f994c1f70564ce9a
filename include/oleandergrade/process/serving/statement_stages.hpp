/// Where the time of a statement goes.
#pragma once

#include <oleandergrade/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace oleandergrade
{

enum class statement_stage : std::uint8_t
{
    /// Waiting for operations that another VM lends.
    limit,
    /// Waiting for a session at a target, or opening one.
    queue,
    /// Preparing the session: values, prepared statement, start of a
    /// transaction.
    preparing,
    /// Waiting for the answer of the VM that the statement was forwarded to.
    forwarding,
    /// Waiting for the target's answer.
    target
};

inline constexpr std::size_t statement_stage_count = 5;

/// Returns a short name for metrics and logs.
const char* to_string(statement_stage stage);

/// The time that a statement has spent in each stage. Attempts add up.
class stage_times
{
public:
    void add(statement_stage stage, duration length)
    {
        times_[static_cast<std::size_t>(stage)] += length;
    }
    milliseconds time_in(statement_stage stage) const
    {
        return std::chrono::duration_cast<milliseconds>(
            times_[static_cast<std::size_t>(stage)]);
    }
    /// The stage that has taken most of the time; the first of several.
    statement_stage longest() const;

private:
    std::array<duration, statement_stage_count> times_{};
};

/// Adds the time from its construction to its destruction to a stage.
class stage_stopwatch
{
public:
    stage_stopwatch(stage_times& times, statement_stage stage)
        : times_(times), stage_(stage), started_at_(current_time())
    {
    }
    ~stage_stopwatch() { times_.add(stage_, current_time() - started_at_); }
    stage_stopwatch(const stage_stopwatch&) = delete;
    stage_stopwatch& operator=(const stage_stopwatch&) = delete;

private:
    stage_times& times_;
    statement_stage stage_;
    time_point started_at_;
};

} // namespace oleandergrade
