#include <oleandergrade/process/forwarding/forwarded_statement_server.hpp>

#include <oleandergrade/process/event_log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// How often it is checked whether transactions are idle for too long.
constexpr auto idle_check_interval = milliseconds(100);
/// Number of earlier incarnations of a VM whose messages are recognized.
constexpr std::size_t max_ended_incarnations = 8;

bool can_be_forwarded(session_verb verb)
{
    return verb == session_verb::read || verb == session_verb::write ||
           verb == session_verb::execute || verb == session_verb::commit;
}

bool needs_primary(const forwarded_statement& statement)
{
    const bool writes = statement.prepared
                            ? statement.prepared->writes
                            : statement.statement.verb == session_verb::write;
    return writes ||
           statement.matched_route.consistency == read_consistency::current ||
           (statement.in_transaction && !statement.is_read_only);
}

forwarded_answer not_accepted(const std::string& reason)
{
    forwarded_answer answer;
    answer.reason = reason;
    return answer;
}

} // namespace

struct forwarded_statement_server::open_transaction
{
    forwarded_session_id id;
    served_session session;
    /// Number of the link that the transaction began over.
    std::uint64_t link = 0;
    /// When its last statement ended.
    time_point last_used_at;
    bool statement_in_progress = false;
    /// Why the transaction is to be rolled back when its statement under way
    /// has ended; empty if it is not.
    std::string abort_reason;
};

forwarded_statement_server::forwarded_statement_server(
    asio::any_io_executor executor, statement_runner& runner,
    const serving_view& view, const active_configuration& configuration)
    : executor_(executor), runner_(runner), view_(view),
      configuration_(configuration), timers_(std::move(executor))
{
}

forwarded_statement_server::~forwarded_statement_server() = default;

void forwarded_statement_server::start()
{
    timers_.subscribe(idle_check_interval,
                      [this](time_point now)
                      {
                          const auto& table = configuration_.current();
                          if (table == nullptr)
                              return;
                          abort_transactions(
                              [&](const open_transaction& transaction)
                              {
                                  return !transaction.statement_in_progress &&
                                         now - transaction.last_used_at >=
                                             table->transaction_idle_timeout;
                              },
                              "idle for too long");
                      });
}

asio::awaitable<forwarded_answer>
forwarded_statement_server::serve(forwarded_statement statement,
                                  std::uint64_t link)
{
    auto& counts = counts_[statement.session.vm];
    auto reason = reason_not_to_accept(statement);
    if (!reason.empty())
    {
        ++counts.not_accepted;
        co_return not_accepted(reason);
    }
    ++statements_under_way_;
    forwarded_answer answer;
    if (statement.in_transaction)
    {
        answer = co_await run_in_transaction(statement, link);
    }
    else
    {
        served_session session;
        answer = co_await runner_.run_forwarded(session, statement);
    }
    --statements_under_way_;
    ++(answer.failure == session_error::none ? counts.succeeded
                                             : counts.failed);
    co_return answer;
}

std::string forwarded_statement_server::reason_not_to_accept(
    const forwarded_statement& statement)
{
    if (!observe_incarnation(statement.session))
        return "the entry VM has been restarted";
    // The others belong to a transaction that is open here, whose end the
    // statement runner determines.
    const bool is_new =
        !statement.in_transaction || statement.begins_transaction;
    if (!can_be_forwarded(statement.statement.verb))
        return "the statement cannot be forwarded";
    if (!is_new)
        return {};
    if (runner_.is_stopping())
        return "the holder is stopping";
    if (configuration_.current() == nullptr)
        return "the holder has no configuration";
    if (needs_primary(statement) && !view_.authority.has_grant(current_time()))
        return "the holder has no grant";
    if (needs_primary(statement) && view_.wait_estimator.is_isolated())
        return "the holder is cut off from the others";
    if (statements_under_way_ >= max_statements)
        return "the holder has too many forwarded statements";
    return {};
}

asio::awaitable<forwarded_answer>
forwarded_statement_server::run_in_transaction(
    const forwarded_statement& statement, std::uint64_t link)
{
    auto found = transactions_.find(statement.session);
    std::shared_ptr<open_transaction> transaction;
    if (statement.begins_transaction && found == transactions_.end())
    {
        transaction = std::make_shared<open_transaction>();
        transaction->id = statement.session;
        transaction->link = link;
        transactions_[statement.session] = transaction;
    }
    else if (!statement.begins_transaction && found != transactions_.end() &&
             found->second->link == link &&
             !found->second->statement_in_progress)
    {
        transaction = found->second;
    }
    else
    {
        // A statement of a transaction runs after all earlier ones, over the
        // same link, or not at all.
        if (found != transactions_.end())
            abort_transaction(found->second, "a statement is out of order");
        forwarded_answer answer;
        answer.accepted = true;
        answer.failure = session_error::aborted;
        answer.reason = "the transaction is not open at the holder";
        runner_.append_failure(answer.answer, answer.failure, answer.reason);
        answer.transaction = statement.statement.verb == session_verb::commit
                                 ? transaction_state::none
                                 : transaction_state::failed;
        co_return answer;
    }
    transaction->statement_in_progress = true;
    auto answer =
        co_await runner_.run_forwarded(transaction->session, statement);
    transaction->statement_in_progress = false;
    transaction->last_used_at = current_time();
    if (answer.transaction != transaction_state::open)
    {
        // A failed transaction still occupies its session at the target.
        transactions_.erase(statement.session);
        asio::co_spawn(executor_, roll_back(transaction), asio::detached);
    }
    else if (!transaction->abort_reason.empty())
    {
        // The answer to this statement is passed on all the same; the next
        // statement of the transaction fails.
        abort_transaction(transaction, transaction->abort_reason.c_str());
    }
    co_return answer;
}

asio::awaitable<void> forwarded_statement_server::roll_back(
    std::shared_ptr<open_transaction> transaction)
{
    co_await runner_.abandon_transaction(transaction->session);
}

asio::awaitable<forwarded_answer>
forwarded_statement_server::end(forwarded_end request)
{
    forwarded_answer answer;
    answer.accepted = true;
    const auto found = transactions_.find(request.session);
    if (found == transactions_.end())
        co_return answer;
    const auto transaction = found->second;
    if (transaction->statement_in_progress)
    {
        transaction->abort_reason = "ended by the entry VM";
        co_return answer;
    }
    transactions_.erase(found);
    co_await roll_back(transaction);
    co_return answer;
}

void forwarded_statement_server::on_link_closed(std::uint64_t link)
{
    abort_transactions([&](const open_transaction& transaction)
                       { return transaction.link == link; },
                       "the link to the entry VM was closed");
}

void forwarded_statement_server::fail_transactions()
{
    abort_transactions([](const open_transaction& transaction)
                       { return !transaction.statement_in_progress; },
                       "the holder is stopping");
}

bool forwarded_statement_server::observe_incarnation(
    const forwarded_session_id& session)
{
    auto& known = entry_vms_[session.vm];
    if (known.incarnation == session.incarnation)
        return true;
    if (std::find(known.ended_incarnations.begin(),
                  known.ended_incarnations.end(),
                  session.incarnation) != known.ended_incarnations.end())
        return false;
    if (known.incarnation != 0)
    {
        known.ended_incarnations.push_back(known.incarnation);
        if (known.ended_incarnations.size() > max_ended_incarnations)
            known.ended_incarnations.pop_front();
    }
    known.incarnation = session.incarnation;
    abort_transactions(
        [&](const open_transaction& transaction)
        {
            return transaction.id.vm == session.vm &&
                   transaction.id.incarnation != session.incarnation;
        },
        "the entry VM has been restarted");
    return true;
}

void forwarded_statement_server::abort_transaction(
    const std::shared_ptr<open_transaction>& transaction, const char* reason)
{
    if (transaction->statement_in_progress)
    {
        transaction->abort_reason = reason;
        return;
    }
    log_event(event_level::info, "forwarding", "transaction rolled back",
              {{"entry", transaction->id.vm},
               {"session", transaction->id.session},
               {"reason", reason}});
    runner_.fail_transaction(transaction->session);
    transactions_.erase(transaction->id);
}

template <typename Condition>
void forwarded_statement_server::abort_transactions(Condition condition,
                                                    const char* reason)
{
    std::vector<std::shared_ptr<open_transaction>> ended;
    for (const auto& [id, transaction] : transactions_)
        if (condition(*transaction))
            ended.push_back(transaction);
    for (const auto& transaction : ended)
        abort_transaction(transaction, reason);
}

} // namespace oleandergrade
