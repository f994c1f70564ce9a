#include <oleandergrade/process/forwarding/statement_forwarder.hpp>

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/process/event_log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// Timeout of a request to roll back a transaction that nobody waits for.
constexpr auto background_end_timeout = milliseconds(2000);
constexpr auto min_call_timeout = milliseconds(5);
/// A link on which nothing arrives for this long, and on which no statement is
/// under way, is closed, and the next probe opens it again. Longer than a VM
/// that is overloaded may take to answer.
constexpr auto max_link_silence = milliseconds(2000);

/// Whether the statement may run twice.
bool is_repeatable(const forwarded_statement& statement)
{
    if (statement.in_transaction)
        return false;
    return statement.prepared ? !statement.prepared->writes
                              : statement.statement.verb == session_verb::read;
}

} // namespace

/// A statement that waits for the answer of another VM.
struct statement_forwarder::pending_statement
{
    explicit pending_statement(const asio::any_io_executor& executor)
        : done(executor)
    {
    }

    /// Signalled when `outcome` is set, or when the statement is given up.
    async_event done;
    std::optional<result<peer_body>> outcome;
    /// The statement may be given up, since it may run elsewhere too.
    bool is_repeatable = false;
};

struct statement_forwarder::holder_link
{
    holder_link(const asio::any_io_executor& executor,
                const std::string& peer_address)
        : address(peer_address),
          connection(executor, peer_address, connect_timeout)
    {
    }

    std::string address;
    peer_link connection;
    std::set<std::shared_ptr<pending_statement>> pending;
    /// When the oldest of the statements under way was sent, or the last probe
    /// answered.
    time_point silent_since;
    /// watch() is running.
    bool is_watched = false;
    /// The holder has not answered the last probe.
    bool is_silent = false;
};

statement_forwarder::statement_forwarder(asio::any_io_executor executor,
                                         holder_selector& selector,
                                         std::string vm,
                                         std::uint64_t incarnation)
    : executor_(std::move(executor)), selector_(selector), vm_(std::move(vm)),
      incarnation_(incarnation)
{
}

statement_forwarder::~statement_forwarder() = default;

statement_destination statement_forwarder::choose(const std::string& group,
                                                  const std::string& account)
{
    const auto now = current_time();
    for (;;)
    {
        auto destination = selector_.choose(group, account, now);
        const auto found = links_.find(destination.address);
        if (found == links_.end() || !found->second->is_silent)
            return destination;
        // The time for which the VM is avoided has passed, but it still does
        // not answer probes. A write would only be lost there.
        selector_.record_failure(destination.address, now);
    }
}

forwarded_session_id statement_forwarder::make_session_id()
{
    return {vm_, incarnation_, ++last_session_};
}

std::shared_ptr<statement_forwarder::holder_link>
statement_forwarder::find_link(const std::string& address)
{
    auto& link = links_[address];
    if (link == nullptr)
        link = std::make_shared<holder_link>(executor_, address);
    return link;
}

std::size_t statement_forwarder::pending_count() const
{
    std::size_t total = 0;
    for (const auto& [address, link] : links_)
        total += link->pending.size();
    return total;
}

asio::awaitable<forwarding_outcome>
statement_forwarder::forward(std::string address, forwarded_statement statement,
                             time_point deadline)
{
    const auto link = find_link(address);
    if (!link->connection.is_open())
    {
        // The operating system accepts connections for a process that does not
        // run. A statement is sent only over a connection on which the VM has
        // answered, so that fewer writes are lost.
        const bool has_answered = co_await probe(link);
        if (!has_answered)
        {
            selector_.record_failure(address, current_time());
            ++counts_[address].not_run;
            forwarding_outcome refusal;
            refusal.reason =
                "forward (" + address + "): no answer on a new link";
            co_return refusal;
        }
    }
    const auto pending = std::make_shared<pending_statement>(executor_);
    pending->is_repeatable = is_repeatable(statement);
    const bool is_in_transaction = statement.in_transaction;
    const auto now = current_time();
    const auto timeout = std::max<milliseconds>(
        std::chrono::duration_cast<milliseconds>(deadline - now),
        min_call_timeout);
    statement.time_left =
        std::max<milliseconds>(timeout - hop_allowance, min_call_timeout);
    if (link->pending.empty())
        link->silent_since = now;
    link->pending.insert(pending);
    peer_body body = std::move(statement);
    asio::co_spawn(executor_, run_call(link, pending, std::move(body), timeout),
                   asio::detached);
    if (!std::exchange(link->is_watched, true))
        asio::co_spawn(executor_, watch(link), asio::detached);
    co_await pending->done.wait_until(time_point::max());
    link->pending.erase(pending);
    auto& counts = counts_[address];
    forwarding_outcome outcome;
    if (!pending->outcome)
    {
        ++counts.lost;
        outcome.result = forwarding_result::lost;
        outcome.reason = "forward (" + address + "): no answer to a probe";
        co_return outcome;
    }
    if (!succeeded(*pending->outcome))
    {
        const auto& failure = error_of(*pending->outcome);
        // Not the other VM's fault.
        const bool is_too_large = failure.kind == error_kind::too_large;
        const bool was_sent =
            failure.kind != error_kind::unreachable && !is_too_large;
        // A statement may take longer than its caller waits; whether the VM
        // answers at all is for the probes to find out.
        if (failure.kind != error_kind::timeout && !is_too_large)
            selector_.record_failure(address, current_time());
        ++(was_sent ? counts.lost : counts.not_run);
        outcome.result =
            was_sent ? forwarding_result::lost : forwarding_result::not_run;
        outcome.reason = to_string(failure);
        co_return outcome;
    }
    auto* answer = std::get_if<forwarded_answer>(&value_of(*pending->outcome));
    if (answer == nullptr)
    {
        ++counts.lost;
        outcome.result = forwarding_result::lost;
        outcome.reason =
            "forward (" + address + "): the answer is of another type";
        co_return outcome;
    }
    if (!answer->accepted)
    {
        selector_.record_failure(address, current_time());
        ++counts.not_run;
        outcome.reason = "forward (" + address + "): " + answer->reason;
        co_return outcome;
    }
    // A VM that refuses new statements because it stops still answers those of
    // open transactions.
    if (!is_in_transaction)
        selector_.record_success(address);
    ++counts.answered;
    outcome.result = forwarding_result::answered;
    outcome.answer = std::move(*answer);
    co_return outcome;
}

asio::awaitable<void>
statement_forwarder::run_call(std::shared_ptr<holder_link> link,
                              std::shared_ptr<pending_statement> pending,
                              peer_body body, duration timeout)
{
    pending->outcome = co_await link->connection.call(std::move(body), timeout);
    pending->done.signal();
}

asio::awaitable<void>
statement_forwarder::watch(std::shared_ptr<holder_link> link)
{
    while (!link->pending.empty() || link->is_silent)
    {
        const auto now = current_time();
        const auto heard_at =
            std::max(link->connection.last_received_at(), link->silent_since);
        if (!link->is_silent && now - heard_at < max_silence)
        {
            co_await sleep_for(max_silence - (now - heard_at));
            continue;
        }
        const bool has_answered = co_await probe(link);
        if (has_answered)
        {
            link->silent_since = current_time();
            continue;
        }
        on_probe_failed(*link);
        // The connection itself may be broken without having been closed.
        if (link->pending.empty() &&
            current_time() - heard_at >= max_link_silence)
            link->connection.close();
        if (link->pending.empty() && !is_in_table(link->address))
        {
            link->connection.close();
            links_.erase(link->address);
            break;
        }
        co_await sleep_for(probe_timeout);
    }
    link->is_watched = false;
}

asio::awaitable<bool>
statement_forwarder::probe(std::shared_ptr<holder_link> link)
{
    const auto sent_at = current_time();
    peer_body body = liveness_probe{++last_probe_};
    const auto outcome =
        co_await link->connection.call(std::move(body), probe_timeout);
    if (!succeeded(outcome) && link->connection.last_received_at() < sent_at)
        co_return false;
    if (std::exchange(link->is_silent, false))
    {
        selector_.record_success(link->address);
        log_event(event_level::info, "forwarding", "holder answers again",
                  {{"address", link->address}});
    }
    co_return true;
}

void statement_forwarder::on_probe_failed(holder_link& link)
{
    selector_.record_failure(link.address, current_time());
    if (!std::exchange(link.is_silent, true))
        log_event(
            event_level::warning, "forwarding", "holder does not answer",
            {{"address", link.address}, {"statements", link.pending.size()}});
    for (const auto& pending : link.pending)
        if (pending->is_repeatable)
            pending->done.signal();
}

bool statement_forwarder::is_in_table(const std::string& address) const
{
    for (const auto& [group, slices] : selector_.table().groups)
        for (const auto& slice : slices)
            if (slice.holder == address || slice.standby == address)
                return true;
    return false;
}

asio::awaitable<void> statement_forwarder::end(std::string address,
                                               forwarded_session_id session,
                                               milliseconds timeout)
{
    const auto link = find_link(address);
    peer_body body = forwarded_end{session};
    const auto outcome =
        co_await link->connection.call(std::move(body), timeout);
    if (!succeeded(outcome))
        log_event(event_level::warning, "forwarding",
                  "transaction end not confirmed",
                  {{"address", address},
                   {"session", session.session},
                   {"error", to_string(error_of(outcome))}});
}

void statement_forwarder::end_in_background(const std::string& address,
                                            const forwarded_session_id& session)
{
    asio::co_spawn(executor_, end(address, session, background_end_timeout),
                   asio::detached);
}

} // namespace oleandergrade
