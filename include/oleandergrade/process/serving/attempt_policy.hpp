/// Decides what follows on an attempt to run a statement. Pure logic.
#pragma once

#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/error.hpp>

#include <cstdint>

namespace oleandergrade
{

/// What is done with a statement after an attempt.
enum class attempt_step : std::uint8_t
{
    /// The answer goes to the caller.
    pass_on,
    /// The caller is told that the outcome of its write is not known.
    in_doubt,
    /// The caller is told that no answer came in time.
    timed_out,
    /// Another attempt, at any target.
    retry,
    /// Another attempt, at another target.
    retry_elsewhere
};

/// One attempt to run a statement outside a transaction.
struct attempt_facts
{
    bool writes = false;
    /// Time and attempts are left.
    bool may_retry = false;
    /// Another target has been tried before.
    bool tried_elsewhere = false;
    /// The primary's record and the grant held from sending to answering.
    bool authority_held = true;
};

/// A target answered with `failure`, or with success.
attempt_step after_answer(session_error failure, const attempt_facts& facts);

/// The statement was sent, and its answer was lost.
attempt_step after_loss(error_kind kind, const attempt_facts& facts);

} // namespace oleandergrade
