/// Tests of what callers are told of statements that reach no target. Without
/// network.
#include "../platform/line_codec.hpp"

#include <oleandergrade/process/serving/statement_runner.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <optional>

using namespace oleandergrade;
namespace asio = boost::asio;

namespace
{

constexpr double operations_per_second = 100;
const std::string account = "shore";

session_statement make_statement(session_verb verb)
{
    session_statement statement;
    statement.verb = verb;
    statement.id = "1";
    statement.item_or_shape = "item";
    statement.data = "data";
    return statement;
}

/// A VM whose only group has a primary that is not registered.
class runner_fixture
{
public:
    runner_fixture()
        : codec(std::make_unique<platform::line_codec>()),
          pool(context.get_executor(), *codec, view),
          limiter({milliseconds(5000), 0, 0}, true),
          runner(*codec, configuration, view, pool, limiter, metrics)
    {
        route_table table;
        table.version = 1;
        route database;
        database.database = "surveys";
        database.group = "group-0";
        database.consistency = read_consistency::current;
        database.statement_timeout = milliseconds(100);
        database.latency_objective = milliseconds(50);
        table.routes["surveys"] = database;
        table.accounts[account] = {account, 1, operations_per_second,
                                   operations_per_second};
        table.account_by_key["key"] = account;
        configuration.apply(std::make_shared<const route_table>(table));
        limiter.set_limits({table.accounts.begin(), table.accounts.end()}, 1,
                           current_time());
        // Next to nothing is added while a test runs.
        limiter.set_shares({{account, 0.1, operations_per_second}},
                           current_time(), current_time());
        view.authority.on_token(1);
        view.authority.on_grant(1, current_time(), milliseconds(60'000));
        session.database = "surveys";
        session.key = "key";
    }

    void put_record(std::uint64_t revision, bool is_open)
    {
        primary_record record;
        record.group = "group-0";
        record.term = 1;
        record.target = "i-0";
        record.is_open = is_open;
        record.revision = revision;
        view.authority.on_record(record);
        view.wait_estimator.on_record(record, current_time());
    }

    statement_outcome run(session_verb verb)
    {
        return run(make_statement(verb));
    }

    statement_outcome run(const session_statement& statement)
    {
        return run(statement, session);
    }

    statement_outcome run(const session_statement& statement,
                          served_session& session)
    {
        std::optional<statement_reply> reply;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void>
            { reply = co_await runner.run(session, statement); },
            asio::detached);
        context.restart();
        while (!reply && context.run_one() > 0)
        {
        }
        return reply->outcome;
    }

    /// Number of operations that the account has left.
    int operations_left()
    {
        int count = 0;
        while (limiter.admit(account, current_time()).admitted)
            ++count;
        return count;
    }

    asio::io_context context;
    serving_view view;
    active_configuration configuration;
    serving_metrics metrics;
    std::unique_ptr<session_codec> codec;
    target_pool pool;
    operation_limiter limiter;
    statement_runner runner;
    served_session session;
};

} // namespace

// Guards against the answer "malformed" to callers who have done nothing wrong:
// it says that a repetition is useless, but nothing of the transaction is kept.
Test(statement_runner, a_transaction_that_the_vm_has_ended_may_be_repeated)
{
    runner_fixture vm;
    vm.put_record(1, true);
    const auto begun = vm.run(session_verb::begin);
    cr_assert(begun.failure == session_error::none, "%s", begun.reason.c_str());
    vm.runner.fail_transaction(vm.session);
    cr_assert(vm.run(session_verb::read).failure == session_error::aborted);
    // Now the caller knows.
    cr_assert(vm.run(session_verb::read).failure == session_error::malformed);
    cr_assert(vm.run(session_verb::rollback).failure == session_error::none);
    cr_assert(vm.run(session_verb::begin).failure == session_error::none);
    vm.runner.fail_transaction(vm.session);
    cr_assert(vm.run(session_verb::commit).failure == session_error::aborted);
}

// The load: a primary is lost, and its callers come again at once. Their tries
// used up the account's limit, so that its work at other groups was refused.
Test(statement_runner, tries_that_reach_no_target_leave_the_limit_alone)
{
    runner_fixture vm;
    const auto expected = vm.operations_left();
    cr_assert(expected > 10);
    runner_fixture other;
    other.put_record(1, true);
    other.put_record(2, false);
    for (int i = 0; i < 50; ++i)
    {
        const auto verb =
            i % 2 == 0 ? session_verb::write : session_verb::begin;
        const auto outcome = other.run(verb);
        cr_assert(outcome.failure == session_error::busy);
        cr_assert(outcome.retry_after.count() > 0);
    }
    const auto left = other.operations_left();
    cr_assert(left >= expected, "%d of %d", left, expected);
}

// Guards against statements that no target could read but that use up the limit
// of their account.
Test(statement_runner, statements_too_long_for_a_target_leave_the_limit_alone)
{
    runner_fixture vm;
    const auto expected = vm.operations_left();
    runner_fixture other;
    other.put_record(1, true);
    auto statement = make_statement(session_verb::prepare);
    statement.name = "s1";
    statement.item_or_shape = "q-2";
    cr_assert(other.run(statement).failure == session_error::none);
    statement.verb = session_verb::execute;
    statement.text = "EXECUTE s1 item ";
    // The line of the caller is as long as a line may be.
    statement.text.resize(max_session_message_bytes - 8, 'x');
    for (int i = 0; i < 5; ++i)
    {
        const auto outcome = other.run(statement);
        cr_assert(outcome.failure == session_error::malformed, "%s",
                  outcome.reason.c_str());
        cr_assert(outcome.attempts == 0);
    }
    const auto left = other.operations_left();
    cr_assert(left >= expected, "%d of %d", left, expected);
}

// Guards against callers that fill the memory of a VM with many sessions.
Test(statement_runner, a_vm_holds_a_bounded_number_of_bytes)
{
    runner_fixture vm;
    vm.put_record(1, true);
    vm.runner.set_max_held_bytes(2000);
    auto other = std::make_unique<served_session>();
    other->database = vm.session.database;
    other->key = vm.session.key;
    auto statement = make_statement(session_verb::set_value);
    statement.name = "v";
    statement.data = std::string(1500, 'x');
    cr_assert(vm.run(statement, *other).failure == session_error::none);
    const auto outcome = vm.run(statement);
    cr_assert(outcome.failure == session_error::busy);
    cr_assert(outcome.retry_after.count() > 0);
    cr_assert(vm.session.caller_state.values().empty());
    statement.data = "short";
    cr_assert(vm.run(statement).failure == session_error::none);
    other.reset();
    statement.data = std::string(1500, 'x');
    cr_assert(vm.run(statement).failure == session_error::none);
    cr_assert(vm.session.held_bytes.bytes() ==
              vm.session.caller_state.bytes_held());
}
