/// The phases of a VM's planned stop. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>

namespace oleandergrade
{

/// Decides what a stopping VM still accepts, so that everything that it accepts
/// gets an answer before the process ends.
///
/// Callers are still served after the signal to stop, because the platform
/// routes new sessions to this VM for a while. Then, in this order: no
/// transaction is begun any more and open ones end, no connection or statement
/// is accepted any more, statements under way are answered, and the process
/// ends.
class stop_schedule
{
public:
    /// Fractions of the stop timeout at which the phases end.
    static constexpr double transactions_fraction = 0.5;
    static constexpr double statements_fraction = 0.75;
    static constexpr double answers_fraction = 0.92;
    static constexpr double process_fraction = 0.95;

    stop_schedule(time_point started_at, milliseconds stop_timeout);

    /// From this time on no transaction is begun, and idle ones are ended.
    time_point transactions_end_at() const { return transactions_end_at_; }
    /// From this time on no connection and no statement is accepted.
    time_point statements_end_at() const { return statements_end_at_; }
    /// Statements that are still under way at this time are answered with what
    /// is known of their outcome.
    time_point answers_due_at() const { return answers_due_at_; }
    /// The process ends no later than this.
    time_point process_ends_at() const { return process_ends_at_; }

    bool accepts_transactions(time_point now) const
    {
        return now < transactions_end_at_;
    }
    bool accepts_statements(time_point now) const
    {
        return now < statements_end_at_;
    }

    bool operator==(const stop_schedule&) const = default;

private:
    time_point transactions_end_at_;
    time_point statements_end_at_;
    time_point answers_due_at_;
    time_point process_ends_at_;
};

} // namespace oleandergrade
