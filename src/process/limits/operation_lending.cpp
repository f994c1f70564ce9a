#include <oleandergrade/process/limits/operation_lending.hpp>

#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/store_layout.hpp>
#include <oleandergrade/process/store_revision.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// Timeout of a request to the leader's reserve. It is short because a
/// caller's statement waits meanwhile.
constexpr auto borrow_timeout = milliseconds(120);
/// Timeout of a request to one of several lenders, so that another one can be
/// asked in time when one does not answer.
constexpr auto lender_timeout = milliseconds(50);
/// Delay after a failed write of the lender table.
constexpr auto write_retry_delay = milliseconds(500);

} // namespace

operation_lending::operation_lending(
    asio::any_io_executor executor, fleet_state& state,
    const leader_election& election, grant_issuer& grants, peer_client& peers,
    std::function<std::string()> leader_address)
    : executor_(std::move(executor)), state_(state), election_(election),
      grants_(grants), peers_(peers),
      leader_address_(std::move(leader_address)),
      directory_(state.settings.advertised_peer_address,
                 state.settings.failure_domain),
      assigner_(state.settings.lenders_per_domain)
{
}

void operation_lending::on_stored_table(const stored_change& change)
{
    stored_revision_ = change.value ? change.revision : 0;
    stored_version_ = 0;
    if (!change.value)
        return;
    auto table = parse_lender_table(*change.value, change.revision);
    if (!succeeded(table))
        return log_event(event_level::error, "limits",
                         "lender table cannot be parsed",
                         {{"error", to_string(error_of(table))}});
    stored_version_ = value_of(table).version;
    apply(value_of(table));
}

void operation_lending::on_granted_table(const lender_table& table)
{
    if (table.version != 0)
        apply(table);
}

void operation_lending::apply(const lender_table& table)
{
    if (!directory_.apply(table))
        return;
    grants_.set_lenders(table);
    log_event(
        event_level::info, "limits", "lender table",
        {{"version", table.version},
         {"lenders", table.lenders.size()},
         {"former", table.former_lenders.size()},
         {"lends",
          directory_.lenders().contains(state_.settings.name) ? "yes" : "no"}});
}

void operation_lending::review(time_point now)
{
    if (is_writing_ || now < write_allowed_at_ || !election_.may_act(now))
        return;
    const lender_input input{&state_.members, state_.settings.name,
                             [&](const std::string& vm)
                             { return grants_.is_present(vm, now); },
                             state_.members.lowest_level()};
    auto table = assigner_.update(directory_.lenders().table(), input, now);
    // The store was restored and has lost the table in force.
    const bool is_lost =
        state_.store.generation() != 0 && table_version() > stored_version_;
    if (!table && is_lost)
        table = directory_.lenders().table();
    if (!table)
        return;
    is_writing_ = true;
    asio::co_spawn(executor_, write_table(std::move(*table)), asio::detached);
}

// The table is written before any lender gets its share, so that a successor
// knows which VMs may hold one.
asio::awaitable<void> operation_lending::write_table(lender_table table)
{
    const auto predecessor = table_version();
    conditional_write change;
    change.key = lenders_key;
    change.value = serialize_lender_table(table, predecessor);
    change.expected = {{lenders_key, "", stored_revision_},
                       {leader_key, "", election_.key_revision()}};
    const auto outcome = co_await state_.store.write(std::move(change));
    is_writing_ = false;
    if (succeeded(outcome))
    {
        stored_revision_ = value_of(outcome);
        table.version = rising_number(stored_revision_, predecessor);
        stored_version_ = table.version;
        apply(table);
        co_return;
    }
    // If the write was executed all the same, the leader's watch shows it.
    write_allowed_at_ = current_time() + write_retry_delay;
    log_event(event_level::warning, "limits", "lender table not written",
              {{"error", to_string(error_of(outcome))}});
}

asio::awaitable<admission> operation_lending::borrow(std::string account)
{
    const auto requested_at = current_time();
    const auto operations = state_.limiter.loan_size(account, requested_at);
    admission decision{false, borrow_timeout, false};
    bool is_answered = false;
    if (grants_.may_issue(requested_at))
    {
        is_answered = true;
        decision = grants_.borrow(account, operations, requested_at);
        if (decision.admitted)
        {
            state_.limiter.on_loan(
                account, decision.operations,
                requested_at + operation_limiter::loan_validity, requested_at);
            co_return decision;
        }
    }
    const bool has_lenders = !directory_.lenders().empty();
    const auto deadline = requested_at + borrow_timeout;
    for (const auto& address :
         directory_.addresses_to_ask(account, leader_address_(), requested_at))
    {
        const auto sent_at = current_time();
        if (sent_at >= deadline)
            break;
        const auto timeout =
            has_lenders ? std::min<duration>(lender_timeout, deadline - sent_at)
                        : duration(borrow_timeout);
        const auto outcome =
            co_await request_loan(address, account, operations, timeout);
        const auto now = current_time();
        if (!succeeded(outcome))
        {
            // Without lenders there is nobody else to ask.
            if (has_lenders)
                directory_.on_unanswered(address, now);
            continue;
        }
        directory_.on_answered(address);
        const auto& reply = value_of(outcome);
        if (!reply.accepted)
            continue;
        if (reply.admitted)
        {
            // VMs of earlier versions lend one operation and do not say so.
            const auto lent = std::max(reply.operations, 1U);
            counts_.borrowed += lent;
            state_.limiter.on_loan(account, lent, sent_at + reply.valid_for,
                                   now);
            co_return admission{true, milliseconds(0), false, lent};
        }
        ++counts_.refused;
        decision.retry_after =
            std::exchange(is_answered, true)
                ? std::min(decision.retry_after, reply.retry_after)
                : reply.retry_after;
    }
    co_return decision;
}

asio::awaitable<result<borrow_reply>>
operation_lending::request_loan(std::string address, std::string account,
                                std::uint32_t operations, duration timeout)
{
    peer_body body =
        borrow_request{state_.settings.name, std::move(account), operations};
    auto outcome = co_await peers_.call(address, std::move(body), timeout);
    if (!succeeded(outcome))
        co_return error_of(outcome);
    const auto* reply = std::get_if<borrow_reply>(&value_of(outcome));
    if (reply == nullptr)
        co_return error{error_kind::invalid, "borrow", address,
                        "the answer is of another type"};
    co_return *reply;
}

borrow_reply operation_lending::handle_request(const borrow_request& request)
{
    const auto now = current_time();
    const bool is_leader = grants_.may_issue(now);
    const bool is_lender =
        directory_.lenders().contains(request.account, state_.settings.name);
    if (!is_leader && !is_lender)
        return {};
    admission decision;
    if (is_leader)
        decision = grants_.borrow(request.account, request.operations, now);
    if (!decision.admitted && is_lender)
        decision =
            state_.limiter.lend(request.account, request.operations, now);
    counts_.lent += decision.operations;
    return {true, decision.admitted, decision.retry_after, decision.operations,
            operation_limiter::loan_validity};
}

} // namespace oleandergrade
