#include <oleandergrade/process/serving/attempt_policy.hpp>

namespace oleandergrade
{

attempt_step next_step_after_answer(session_error failure,
                                    const attempt_facts& facts)
{
    // A write that a deposed primary confirmed may be lost, since the new
    // primary's log need not contain it.
    if (failure == session_error::none)
        return facts.writes && !facts.primary_remained_usable
                   ? attempt_step::report_in_doubt
                   : attempt_step::forward_answer;
    if (!facts.may_retry)
        return attempt_step::forward_answer;
    switch (failure)
    {
    case session_error::busy:
        return facts.writes ? attempt_step::retry_any_target
                            : attempt_step::retry_other_target;
    case session_error::lagging:
        return attempt_step::retry_other_target;
    case session_error::unknown_prepared:
    case session_error::read_only:
        // unknown_prepared: the next attempt prepares the statement again.
        // read_only: the target is no longer the primary; the new primary's
        // record is expected soon.
        return attempt_step::retry_any_target;
    case session_error::failed:
        // A read may fail at one target and succeed at another. A write may
        // have taken effect and is not repeated.
        return facts.writes || facts.other_target_tried
                   ? attempt_step::forward_answer
                   : attempt_step::retry_other_target;
    default:
        return attempt_step::forward_answer;
    }
}

attempt_step next_step_after_lost_answer(error_kind kind,
                                         const attempt_facts& facts)
{
    if (facts.writes)
        return attempt_step::report_in_doubt;
    if (kind == error_kind::timeout || !facts.may_retry)
        return attempt_step::report_timeout;
    return attempt_step::retry_other_target;
}

} // namespace oleandergrade
