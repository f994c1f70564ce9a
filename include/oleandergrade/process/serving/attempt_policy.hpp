/// Decides what follows an attempt to run a statement at a target. Without I/O.
#pragma once

#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/error.hpp>

#include <cstdint>

namespace oleandergrade
{

/// The next step for a statement after one attempt.
enum class attempt_step : std::uint8_t
{
    /// Forward the target's answer to the caller.
    forward_answer,
    /// Report to the caller that the outcome of its write is unknown.
    report_in_doubt,
    /// Report to the caller that no answer arrived in time.
    report_timeout,
    /// Make another attempt; any target may be chosen, including the same one.
    retry_any_target,
    /// Make another attempt at a target that has not been tried yet.
    retry_other_target
};

/// The facts about one attempt to run a statement outside a transaction that
/// determine the next step.
struct attempt_facts
{
    /// The statement may write.
    bool writes = false;
    /// The statement's deadline and its maximum number of attempts both allow
    /// another attempt.
    bool may_retry = false;
    /// At least one target has already been tried and excluded.
    bool other_target_tried = false;
    /// The primary's record and the leader's grant were valid from the moment
    /// the statement was sent until its answer arrived.
    bool primary_remained_usable = true;
};

/// Returns the next step after a target answered with `failure`, where
/// `session_error::none` means success.
attempt_step next_step_after_answer(session_error failure,
                                    const attempt_facts& facts);

/// Returns the next step after a statement was sent and no answer was received
/// because of an error of this kind.
attempt_step next_step_after_lost_answer(error_kind kind,
                                         const attempt_facts& facts);

} // namespace oleandergrade
