/// Tests of the decision of an entry VM after it has forwarded a statement.
#include <oleandergrade/process/forwarding/forwarding_policy.hpp>

#include <criterion/criterion.h>

using namespace oleandergrade;

namespace
{

using outcome = result<forwarded_answer>;
using step = forwarding_step;

outcome answer(bool accepted, session_error failure = session_error::none)
{
    forwarded_answer made;
    made.accepted = accepted;
    made.failure = failure;
    return made;
}

outcome failure(error_kind kind)
{
    return error{kind, "forward", "holder", ""};
}

forwarding_facts facts(bool writes, transaction_part part,
                       bool standby_available = true, bool may_retry = true)
{
    return {writes, part, may_retry, standby_available};
}

void expect(const outcome& given, const forwarding_facts& known, step expected)
{
    cr_assert(next_step_after_forwarding(given, known) == expected);
}

constexpr transaction_part all_parts[]{
    transaction_part::none, transaction_part::first, transaction_part::later,
    transaction_part::commit};
constexpr error_kind unknown_outcomes[]{
    error_kind::broken, error_kind::timeout, error_kind::refused,
    error_kind::invalid, error_kind::conflict};

} // namespace

// Guards against an entry VM that runs a statement again although the holder
// has answered it, also if the answer is a failure.
Test(forwarding_policy, accepted_answers_are_delivered)
{
    for (const auto part : all_parts)
        for (const bool writes : {false, true})
            for (const auto code :
                 {session_error::none, session_error::busy,
                  session_error::failed, session_error::in_doubt,
                  session_error::aborted})
                expect(answer(true, code), facts(writes, part),
                       step::deliver_answer);
}

// Guards against a refusal to the caller while another VM can run the
// statement.
Test(forwarding_policy, statements_that_have_not_run_go_to_another_vm)
{
    for (const auto part : {transaction_part::none, transaction_part::first})
        for (const bool writes : {false, true})
            for (const auto& given :
                 {answer(false), failure(error_kind::unreachable),
                  failure(error_kind::too_large)})
            {
                expect(given, facts(writes, part), step::try_standby);
                expect(given, facts(writes, part, false), step::run_here);
                expect(given, facts(writes, part, true, false), step::run_here);
            }
}

// Guards against a transaction that is committed in part: a later statement
// must not begin a new transaction at another VM.
Test(forwarding_policy, open_transactions_never_change_the_holder)
{
    for (const auto part : {transaction_part::later, transaction_part::commit})
        for (const bool writes : {false, true})
            for (const auto& given :
                 {answer(false), failure(error_kind::unreachable),
                  failure(error_kind::too_large)})
                expect(given, facts(writes, part), step::report_aborted);
}

// Guards against a write that is executed twice, or that is reported as not
// run although it may have run.
Test(forwarding_policy, writes_without_answer_are_in_doubt)
{
    for (const auto kind : unknown_outcomes)
        for (const bool standby : {false, true})
            for (const bool may_retry : {false, true})
                expect(failure(kind),
                       facts(true, transaction_part::none, standby, may_retry),
                       step::report_in_doubt);
}

Test(forwarding_policy, reads_are_repeated_after_a_broken_link)
{
    const auto broken = failure(error_kind::broken);
    expect(broken, facts(false, transaction_part::none), step::try_standby);
    expect(broken, facts(false, transaction_part::none, false), step::run_here);
    expect(broken, facts(false, transaction_part::none, true, false),
           step::report_timeout);
}

Test(forwarding_policy, reads_are_not_repeated_after_a_timeout)
{
    for (const bool standby : {false, true})
        expect(failure(error_kind::timeout),
               facts(false, transaction_part::none, standby),
               step::report_timeout);
}

// Guards against "in doubt" for a transaction that cannot have been committed.
Test(forwarding_policy, a_lost_holder_aborts_a_transaction_without_commit)
{
    for (const auto kind : unknown_outcomes)
        for (const bool writes : {false, true})
            for (const auto part :
                 {transaction_part::first, transaction_part::later})
                expect(failure(kind), facts(writes, part),
                       step::report_aborted);
}

// Guards against "aborted" for a transaction that may have been committed.
Test(forwarding_policy, a_commit_without_answer_is_in_doubt_if_it_wrote)
{
    for (const auto kind : unknown_outcomes)
    {
        expect(failure(kind), facts(true, transaction_part::commit),
               step::report_in_doubt);
        expect(failure(kind), facts(false, transaction_part::commit),
               step::report_aborted);
    }
}

Test(forwarding_policy, finds_the_part_of_a_transaction)
{
    forwarded_statement statement;
    statement.statement.verb = session_verb::write;
    cr_assert(part_of_transaction(statement) == transaction_part::none);
    statement.begins_transaction = true;
    cr_assert(part_of_transaction(statement) == transaction_part::first);
    statement.in_transaction = true;
    cr_assert(part_of_transaction(statement) == transaction_part::first);
    statement.begins_transaction = false;
    cr_assert(part_of_transaction(statement) == transaction_part::later);
    statement.statement.verb = session_verb::rollback;
    cr_assert(part_of_transaction(statement) == transaction_part::later);
    statement.statement.verb = session_verb::commit;
    cr_assert(part_of_transaction(statement) == transaction_part::commit);
}
