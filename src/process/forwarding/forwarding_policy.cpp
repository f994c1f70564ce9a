#include <oleandergrade/process/forwarding/forwarding_policy.hpp>

namespace oleandergrade
{

namespace
{

forwarding_step step_to_another_vm(const forwarding_facts& facts)
{
    return facts.may_retry && facts.standby_available
               ? forwarding_step::try_standby
               : forwarding_step::run_here;
}

forwarding_step next_step_if_not_run(const forwarding_facts& facts)
{
    // The transaction exists only at the holder that it began at, and a holder
    // that does not accept one of its statements no longer has it.
    if (facts.part == transaction_part::later ||
        facts.part == transaction_part::commit)
        return forwarding_step::report_aborted;
    return step_to_another_vm(facts);
}

forwarding_step next_step_if_unknown(error_kind kind,
                                     const forwarding_facts& facts)
{
    switch (facts.part)
    {
    case transaction_part::none:
        if (facts.writes)
            return forwarding_step::report_in_doubt;
        if (kind == error_kind::timeout || !facts.may_retry)
            return forwarding_step::report_timeout;
        return step_to_another_vm(facts);
    case transaction_part::commit:
        return facts.writes ? forwarding_step::report_in_doubt
                            : forwarding_step::report_aborted;
    case transaction_part::first:
    case transaction_part::later:
        break;
    }
    // Without a COMMIT, the target rolls back when its session with the holder
    // ends.
    return forwarding_step::report_aborted;
}

} // namespace

transaction_part part_of_transaction(const forwarded_statement& statement)
{
    if (!statement.in_transaction && !statement.begins_transaction)
        return transaction_part::none;
    if (statement.statement.verb == session_verb::commit)
        return transaction_part::commit;
    return statement.begins_transaction ? transaction_part::first
                                        : transaction_part::later;
}

forwarding_step
next_step_after_forwarding(const result<forwarded_answer>& outcome,
                           const forwarding_facts& facts)
{
    if (succeeded(outcome))
        return value_of(outcome).accepted ? forwarding_step::deliver_answer
                                          : next_step_if_not_run(facts);
    const auto kind = error_of(outcome).kind;
    const bool was_sent =
        kind != error_kind::unreachable && kind != error_kind::too_large;
    return was_sent ? next_step_if_unknown(kind, facts)
                    : next_step_if_not_run(facts);
}

} // namespace oleandergrade
