#include <oleandergrade/process/serving/attempt_policy.hpp>

namespace oleandergrade
{

attempt_step after_answer(session_error failure, const attempt_facts& facts)
{
    // A write that a deposed primary confirmed may be lost, since the new
    // primary's log need not contain it.
    if (failure == session_error::none)
        return facts.writes && !facts.authority_held ? attempt_step::in_doubt
                                                     : attempt_step::pass_on;
    if (!facts.may_retry)
        return attempt_step::pass_on;
    switch (failure)
    {
    case session_error::busy:
        return facts.writes ? attempt_step::retry
                            : attempt_step::retry_elsewhere;
    case session_error::lagging:
        return attempt_step::retry_elsewhere;
    case session_error::unknown_prepared:
    case session_error::read_only:
        // unknown_prepared: the next attempt prepares the statement again.
        // read_only: the target is no longer the primary; the new primary's
        // record is expected soon.
        return attempt_step::retry;
    case session_error::failed:
        // A read may fail at one target and succeed at another. A write may
        // have taken effect and is not repeated.
        return facts.writes || facts.tried_elsewhere
                   ? attempt_step::pass_on
                   : attempt_step::retry_elsewhere;
    default:
        return attempt_step::pass_on;
    }
}

attempt_step after_loss(error_kind kind, const attempt_facts& facts)
{
    if (facts.writes)
        return attempt_step::in_doubt;
    if (kind == error_kind::timeout || !facts.may_retry)
        return attempt_step::timed_out;
    return attempt_step::retry_elsewhere;
}

} // namespace oleandergrade
