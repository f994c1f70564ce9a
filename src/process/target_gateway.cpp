#include <oleandergrade/process/target_gateway.hpp>

#include <oleandergrade/connection/digest.hpp>
#include <oleandergrade/process/log.hpp>
#include <oleandergrade/version/key_check.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace oleandergrade
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto part = "owner";
/// Statements sent ahead of a free slot, which hides the network delay.
constexpr std::size_t extra_in_flight = 1;
/// Connections left to monitoring, promotion and operators.
constexpr std::size_t reserved_connections = 4;
constexpr auto replica_poll_interval = milliseconds(1000);
constexpr auto role_check_interval = milliseconds(20);
constexpr auto open_timeout = milliseconds(1000);
constexpr auto watch_wait = milliseconds(1000);
constexpr auto watch_timeout = milliseconds(1500);
constexpr auto watch_retry_delay = milliseconds(20);
/// Writes are refused early once nothing was confirmed for this long.
constexpr auto unconfirmed_limit = milliseconds(1000);
constexpr auto unconfirmed_retry_after = milliseconds(500);
constexpr auto overload_retry_after = milliseconds(100);
constexpr auto handover_retry_after = milliseconds(10);
/// A replica that is a little behind a session is asked once more.
constexpr auto behind_wait = milliseconds(2);
/// How long a transaction waits for others to end before it is refused.
constexpr auto transaction_wait = milliseconds(500);
constexpr auto transaction_poll_interval = milliseconds(5);
constexpr auto sweep_interval = milliseconds(500);
constexpr std::size_t transaction_id_bytes = 12;

bool belongs_to_transaction(const statement& sent)
{
    return !sent.transaction.empty();
}

} // namespace

/// Holds one of the places among the statements in flight.
class target_gateway::turn
{
public:
    explicit turn(target_gateway& gateway) : gateway_(&gateway) {}
    turn(const turn&) = delete;
    turn& operator=(const turn&) = delete;
    ~turn() { release(); }

    void release()
    {
        if (gateway_ != nullptr)
            std::exchange(gateway_, nullptr)->release_turn();
    }

private:
    target_gateway* gateway_;
};

target_gateway::target_gateway(asio::any_io_executor executor, target declared,
                               process_context& context)
    : executor_(std::move(executor)), declared_(std::move(declared)),
      context_(context)
{
}

void target_gateway::start()
{
    const auto self = shared_from_this();
    if (!std::exchange(watching_, true))
        asio::co_spawn(
            executor_, [self] { return self->watch_target(); }, asio::detached);
    asio::co_spawn(
        executor_, [self] { return self->open_connections(); }, asio::detached);
    if (!std::exchange(sweeping_, true))
        asio::co_spawn(
            executor_, [self] { return self->sweep_transactions(); },
            asio::detached);
}

void target_gateway::stop()
{
    stopping_ = true;
    open_connections_ -= idle_.size();
    idle_.clear();
}

void target_gateway::update(const target& declared, std::size_t owner_rank)
{
    if (declared.address != declared_.address)
    {
        open_connections_ -= idle_.size();
        idle_.clear();
        status_.reset();
    }
    declared_ = declared;
    owner_rank_ = owner_rank;
    if (owner_rank >= owners_per_target)
    {
        stop();
        return;
    }
    stopping_ = false;
    start();
}

asio::awaitable<answer> target_gateway::execute(statement sent)
{
    const auto self = shared_from_this();
    const auto deadline = clock::now() + sent.budget;
    ++active_;
    answer outcome;
    if (belongs_to_transaction(sent))
        outcome = co_await run_in_transaction(std::move(sent), deadline);
    else if (stopping_)
        outcome = refuse(refusal_code::not_owner, "accept statement",
                         context_.own.node, "this VM gave up the target",
                         handover_retry_after);
    else if (sent.kind == statement_kind::begin)
        outcome = co_await begin(std::move(sent), deadline);
    else
        outcome = co_await run_single(std::move(sent), deadline);
    --active_;
    co_return outcome;
}

asio::awaitable<answer> target_gateway::run_single(statement sent,
                                                   time_point deadline)
{
    if (auto refusal = refuse_early(sent))
        co_return std::move(*refusal);
    const auto queued_at = clock::now();
    auto refusal = co_await take_turn(sent, deadline);
    if (refusal)
        co_return std::move(*refusal);
    turn held(*this);
    const auto started_at = clock::now();
    auto connection = take_connection();
    if (!connection)
        co_return refuse(refusal_code::target_refused, "take connection",
                         declared_.name, "all connections are in use",
                         overload_retry_after);
    auto outcome = co_await connection->execute(sent, deadline - clock::now());
    if (outcome.code == refusal_code::behind &&
        clock::now() + behind_wait < deadline)
    {
        co_await sleep_for(behind_wait);
        outcome = co_await connection->execute(sent, deadline - clock::now());
    }
    give_back(std::move(connection));
    held.release();
    context_.measured.observe(latency_kind::owner_queue,
                              started_at - queued_at);
    context_.measured.observe(latency_kind::target_exchange,
                              clock::now() - started_at);
    outcome.queued =
        std::chrono::duration_cast<milliseconds>(started_at - queued_at);
    if (outcome.run == run_status::ran && changes_data(sent.kind))
        outcome = co_await confirm(std::move(outcome), deadline);
    co_return outcome;
}

asio::awaitable<answer> target_gateway::begin(statement sent,
                                              time_point deadline)
{
    if (!co_await await_transaction_place(deadline))
        co_return refuse(refusal_code::overloaded, "begin", declared_.name,
                         "too many transactions are open",
                         overload_retry_after);
    auto refusal = co_await take_turn(sent, deadline);
    if (refusal)
        co_return std::move(*refusal);
    turn held(*this);
    auto connection = take_connection();
    if (!connection)
        co_return refuse(refusal_code::target_refused, "take connection",
                         declared_.name, "all connections are in use",
                         overload_retry_after);
    auto outcome = co_await connection->execute(sent, deadline - clock::now());
    if (outcome.run != run_status::ran)
    {
        give_back(std::move(connection));
        co_return outcome;
    }
    const auto now = clock::now();
    outcome.transaction = context_.own.node + "~" + declared_.name + "~" +
                          random_hex(transaction_id_bytes);
    transactions_[outcome.transaction] = {
        sent.account, std::move(connection), sent.term, now, now, false};
    co_return outcome;
}

// Transactions hold connections; some are left to other statements.
asio::awaitable<bool>
target_gateway::await_transaction_place(time_point deadline)
{
    const auto end = std::min(deadline, clock::now() + transaction_wait);
    const auto in_flight = declared_.slots + extra_in_flight;
    while (transactions_.size() + in_flight >= connection_limit())
    {
        if (clock::now() >= end)
            co_return false;
        co_await sleep_for(transaction_poll_interval);
    }
    co_return true;
}

asio::awaitable<answer> target_gateway::run_in_transaction(statement sent,
                                                           time_point deadline)
{
    const auto id = sent.transaction;
    const auto found = transactions_.find(id);
    if (found == transactions_.end() || found->second.account != sent.account)
    {
        auto refusal =
            refuse(refusal_code::unknown_transaction, "find transaction",
                   context_.own.node, "no such transaction is open here");
        // An earlier commit of the same transaction may have run.
        if (sent.kind == statement_kind::commit)
            refusal.run = run_status::outcome_unknown;
        co_return refusal;
    }
    if (found->second.busy)
        co_return refuse(refusal_code::bad_request, "run in transaction",
                         context_.own.node,
                         "a statement of this transaction is running");
    found->second.busy = true;
    sent.term = found->second.term;
    auto refusal = co_await take_turn(sent, deadline);
    auto& open = transactions_.at(id);
    if (refusal)
    {
        open.busy = false;
        co_return std::move(*refusal);
    }
    turn held(*this);
    auto outcome =
        co_await open.connection->execute(sent, deadline - clock::now());
    held.release();
    open.used_at = clock::now();
    open.busy = false;
    const bool goes_on = (sent.kind == statement_kind::transaction_read ||
                          sent.kind == statement_kind::transaction_write) &&
                         (outcome.run == run_status::ran ||
                          outcome.code == refusal_code::bad_request);
    if (goes_on)
        co_return outcome;
    co_return co_await end_transaction(id, std::move(sent), std::move(outcome),
                                       deadline);
}

asio::awaitable<answer> target_gateway::end_transaction(std::string id,
                                                        statement sent,
                                                        answer outcome,
                                                        time_point deadline)
{
    auto node = transactions_.extract(id);
    auto connection = std::move(node.mapped().connection);
    if (outcome.run == run_status::ran)
    {
        give_back(std::move(connection));
        if (sent.kind == statement_kind::commit)
            co_return co_await confirm(std::move(outcome), deadline);
        co_return outcome;
    }
    // Closing the connection rolls the transaction back at the target.
    --open_connections_;
    connection.reset();
    if (sent.kind == statement_kind::commit &&
        outcome.run == run_status::outcome_unknown)
        co_return outcome;
    if (sent.kind == statement_kind::rollback)
    {
        outcome = {};
        outcome.run = run_status::ran;
        co_return outcome;
    }
    co_return refuse(refusal_code::transaction_lost, outcome.step, outcome.peer,
                     "the transaction was rolled back: " + outcome.message);
}

asio::awaitable<answer> target_gateway::confirm(answer done,
                                                time_point deadline)
{
    const auto started_at = clock::now();
    const auto is_confirmed = [this, position = done.position]
    { return status_ && confirms(*status_, position); };
    if (!is_confirmed())
    {
        auto event = std::make_shared<async_event>(executor_);
        confirmations_.push_back({done.position, event});
        co_await event->wait_until(deadline);
        std::erase_if(confirmations_, [&](const confirmation_wait& wait)
                      { return wait.event == event; });
    }
    context_.measured.observe(latency_kind::confirmation,
                              clock::now() - started_at);
    if (is_confirmed())
        co_return done;
    auto unknown =
        unknown_outcome(refusal_code::unconfirmed, "confirm", declared_.name,
                        "a majority has not confirmed the write");
    unknown.position = done.position;
    co_return unknown;
}

asio::awaitable<std::optional<answer>>
target_gateway::take_turn(const statement& sent, time_point deadline)
{
    if (running_ < declared_.slots + extra_in_flight && queue_.size() == 0)
    {
        ++running_;
        co_return std::nullopt;
    }
    const auto configuration = context_.view.current_configuration();
    const auto* account = configuration->find_account(sent.account);
    const auto ticket = next_ticket_++;
    if (!queue_.push(ticket, sent.account,
                     account == nullptr ? 1 : account->weight))
        co_return refuse(refusal_code::overloaded, "queue", declared_.name,
                         "the queue of the target is full",
                         overload_retry_after);
    auto event = std::make_shared<async_event>(executor_);
    turns_[ticket] = event;
    const bool has_turn = co_await event->wait_until(deadline);
    turns_.erase(ticket);
    if (!has_turn)
    {
        queue_.remove(ticket);
        co_return refuse(refusal_code::deadline, "queue", declared_.name,
                         "the deadline passed in the queue of the target",
                         overload_retry_after);
    }
    const auto latest = context_.view.current_configuration();
    if (is_key_withdrawn(*latest, sent.key_id))
    {
        release_turn();
        co_return refuse(refusal_code::key_withdrawn, "queue", declared_.name,
                         "the key was withdrawn while the request waited");
    }
    co_return std::nullopt;
}

void target_gateway::release_turn()
{
    const auto next = queue_.pop();
    if (!next)
    {
        --running_;
        return;
    }
    turns_.at(*next)->signal();
}

std::optional<answer> target_gateway::refuse_early(const statement& sent) const
{
    if (!changes_data(sent.kind) || !status_ || !status_->primary)
        return std::nullopt;
    const bool lags = status_->position > status_->confirmed;
    if (!lags || clock::now() - confirmed_at_ < unconfirmed_limit)
        return std::nullopt;
    return refuse(refusal_code::unconfirmed, "accept write", declared_.name,
                  "the replicas do not confirm writes at the moment",
                  unconfirmed_retry_after);
}

std::unique_ptr<target_connection> target_gateway::take_connection()
{
    while (!idle_.empty())
    {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (connection->is_reusable())
            return connection;
        --open_connections_;
    }
    if (open_connections_ >= connection_limit())
        return nullptr;
    ++open_connections_;
    return make_target_connection(executor_, declared_.name, declared_.address);
}

void target_gateway::give_back(std::unique_ptr<target_connection> connection)
{
    if (!stopping_ && connection->is_reusable())
        idle_.push_back(std::move(connection));
    else
        --open_connections_;
}

// The first owner uses three quarters of the connections, the second one the
// rest, so that both together stay within the target's limit.
std::size_t target_gateway::connection_limit() const
{
    const auto shared = declared_.connections - reserved_connections;
    const auto first = std::max<std::size_t>(shared * 3 / 4, 1);
    return owner_rank_ == 0 ? first : std::max<std::size_t>(shared - first, 1);
}

// Opens as many connections as statements run at the same time, so that no
// statement waits for one to open.
asio::awaitable<void> target_gateway::open_connections()
{
    const auto self = shared_from_this();
    const auto wanted = std::min<std::size_t>(declared_.slots + extra_in_flight,
                                              connection_limit());
    while (!stopping_ && open_connections_ < wanted)
    {
        ++open_connections_;
        auto connection = make_target_connection(executor_, declared_.name,
                                                 declared_.address);
        const auto opened = co_await connection->open(open_timeout);
        const bool is_usable = succeeded(opened) && value_of(opened);
        give_back(std::move(connection));
        if (!is_usable)
            co_return;
    }
}

asio::awaitable<void> target_gateway::watch_target()
{
    const auto self = shared_from_this();
    auto address = declared_.address;
    auto control = make_target_control(executor_, address);
    while (!stopping_)
    {
        if (address != declared_.address)
        {
            address = declared_.address;
            control = make_target_control(executor_, address);
        }
        const bool is_primary = status_ && status_->primary;
        result<target_status> outcome;
        if (is_primary)
            outcome = co_await control->progress(
                status_->term, status_->confirmed, watch_wait, watch_timeout);
        else
            outcome = co_await control->status(watch_timeout);
        if (!succeeded(outcome))
        {
            resolve_confirmations();
            co_await sleep_for(watch_retry_delay);
            continue;
        }
        take_in_status(value_of(outcome));
        if (!value_of(outcome).primary)
            co_await sleep_as_replica();
    }
    watching_ = false;
}

// A replica's status is of little use; but the target may become primary, and
// then its first write must not wait for the next poll.
asio::awaitable<void> target_gateway::sleep_as_replica()
{
    const auto end = clock::now() + replica_poll_interval;
    while (!stopping_ && clock::now() < end)
    {
        co_await sleep_for(role_check_interval);
        const auto group = context_.view.group(declared_.database);
        if (group.steady && group.primary == declared_.name)
            co_return;
    }
}

void target_gateway::take_in_status(const target_status& status)
{
    const auto now = clock::now();
    const bool advanced = !status_ || status.term != status_->term ||
                          status.confirmed > status_->confirmed ||
                          status.confirmed >= status.position;
    if (advanced)
        confirmed_at_ = now;
    status_ = status;
    resolve_confirmations();
}

// Ends the waits for positions that are confirmed, and for those of a term
// that is over: no later status can confirm them.
void target_gateway::resolve_confirmations()
{
    const auto group = context_.view.group(declared_.database);
    for (const auto& wait : confirmations_)
    {
        const auto written_term = wait.position.term;
        const bool is_over = group.term > written_term ||
                             (status_ && status_->term > written_term);
        if (is_over || (status_ && confirms(*status_, wait.position)))
            wait.event->signal();
    }
}

asio::awaitable<void> target_gateway::sweep_transactions()
{
    const auto self = shared_from_this();
    while (!stopping_ || !transactions_.empty())
    {
        co_await sleep_for(sweep_interval);
        const auto now = clock::now();
        std::erase_if(transactions_,
                      [&](const auto& entry)
                      {
                          const auto& open = entry.second;
                          const bool is_over =
                              now - open.used_at > transaction_limits_.idle ||
                              now - open.started_at > transaction_limits_.total;
                          if (open.busy || !is_over)
                              return false;
                          --open_connections_;
                          log(log_level::info, part,
                              "transaction reached its time limit and was "
                              "rolled back at " +
                                  declared_.name);
                          return true;
                      });
    }
    sweeping_ = false;
}

json::object target_gateway::dump() const
{
    json::object object{{"target", declared_.name},
                        {"rank", owner_rank_},
                        {"stopping", stopping_},
                        {"queued", queue_.size()},
                        {"in_flight", running_},
                        {"connections", open_connections_},
                        {"connection_limit", connection_limit()},
                        {"transactions", transactions_.size()},
                        {"unconfirmed_writes", confirmations_.size()}};
    if (status_)
        object["status"] = json::object{{"term", status_->term},
                                        {"primary", status_->primary},
                                        {"position", status_->position},
                                        {"applied", status_->applied},
                                        {"confirmed", status_->confirmed}};
    return object;
}

} // namespace oleandergrade
