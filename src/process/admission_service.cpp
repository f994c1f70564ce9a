#include <oleandergrade/process/admission_service.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <functional>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// How long a request waits for a token before it is refused.
constexpr auto admission_wait = milliseconds(500);
constexpr auto bank_timeout = milliseconds(200);

std::vector<std::string> own_domain_first(const configuration& value,
                                          const std::string& own)
{
    auto domains = value.failure_domains;
    std::stable_partition(domains.begin(), domains.end(),
                          [&](const std::string& domain)
                          { return domain == own; });
    return domains;
}

} // namespace

admission_service::admission_service(process_context& context,
                                     bank_service& bank,
                                     asio::any_io_executor executor,
                                     peer_directory& peers)
    : context_(context), bank_(bank), executor_(std::move(executor)),
      peers_(peers)
{
    for (auto& part : shards_)
        part.borrower = std::make_unique<token_borrower>(
            context_.own.node, std::vector<std::string>{});
}

void admission_service::use_configuration(const configuration& value)
{
    const auto domains = own_domain_first(value, context_.own.failure_domain);
    for (auto& part : shards_)
    {
        const std::lock_guard lock(part.mutex);
        part.borrower->use_lenders(domains);
    }
}

asio::awaitable<std::optional<answer>>
admission_service::admit(std::string account, time_point deadline)
{
    const auto started_at = clock::now();
    const auto index = shard_index(account);
    auto& part = shards_[index];
    auto caller = std::make_shared<waiting_caller>();
    caller->executor = co_await asio::this_coro::executor;
    const auto wait_until = std::min(deadline, started_at + admission_wait);
    {
        const std::lock_guard lock(part.mutex);
        const auto ticket = part.next_ticket++;
        if (part.borrower->admit(ticket, account, wait_until, started_at))
        {
            context_.measured.count(counter::tokens_spent);
            co_return std::nullopt;
        }
        caller->event = std::make_shared<async_event>(caller->executor);
        part.callers[ticket] = caller;
    }
    pump(index, account, started_at);
    co_await caller->event->wait_until(time_point::max());
    context_.measured.observe(latency_kind::admission_wait,
                              clock::now() - started_at);
    if (caller->result.admitted)
    {
        context_.measured.count(counter::tokens_spent);
        co_return std::nullopt;
    }
    co_return refuse(refusal_code::over_rate, "admit", account,
                     "the account is over its rate",
                     caller->result.retry_after);
}

void admission_service::tick(time_point now)
{
    for (std::size_t index = 0; index < shard_count; ++index)
    {
        std::vector<borrow_call> calls;
        std::vector<std::shared_ptr<waiting_caller>> ended;
        {
            auto& part = shards_[index];
            const std::lock_guard lock(part.mutex);
            part.borrower->end_overdue_waits(now);
            calls = part.borrower->due_calls(now);
            ended = take_ended(part);
        }
        finish(index, std::move(calls), ended);
    }
}

std::size_t admission_service::shard_index(const std::string& account) const
{
    return std::hash<std::string>()(account) % shard_count;
}

// Makes the calls of one account and ends the waits that they decided.
void admission_service::pump(std::size_t index, const std::string& account,
                             time_point now)
{
    auto& part = shards_[index];
    std::vector<borrow_call> calls;
    std::vector<std::shared_ptr<waiting_caller>> ended;
    {
        const std::lock_guard lock(part.mutex);
        calls = part.borrower->due_calls(account, now);
        ended = take_ended(part);
    }
    finish(index, std::move(calls), ended);
}

std::vector<std::shared_ptr<admission_service::waiting_caller>>
admission_service::take_ended(shard& part)
{
    std::vector<std::shared_ptr<waiting_caller>> ended;
    for (const auto& result : part.borrower->take_results())
    {
        auto node = part.callers.extract(result.ticket);
        if (node.empty())
            continue;
        node.mapped()->result = result;
        ended.push_back(std::move(node.mapped()));
    }
    return ended;
}

void admission_service::finish(
    std::size_t index, std::vector<borrow_call> calls,
    const std::vector<std::shared_ptr<waiting_caller>>& ended)
{
    for (const auto& caller : ended)
        asio::post(caller->executor,
                   [event = caller->event] { event->signal(); });
    for (auto& call : calls)
        make_call(index, std::move(call));
}

void admission_service::make_call(std::size_t index, borrow_call call)
{
    const auto lead = context_.view.lead_of(call.lender_domain);
    if (lead != context_.own.node)
    {
        asio::co_spawn(executor_, call_bank(index, std::move(call)),
                       asio::detached);
        return;
    }
    const auto now = clock::now();
    const auto grant = bank_.lend(call.request, now);
    {
        const std::lock_guard lock(shards_[index].mutex);
        shards_[index].borrower->on_grant(call.lender_domain, call, grant, now,
                                          now);
    }
    pump(index, call.request.account, now);
}

asio::awaitable<void> admission_service::call_bank(std::size_t index,
                                                   borrow_call call)
{
    const auto sent_at = clock::now();
    const auto lead = context_.view.lead_of(call.lender_domain);
    const auto vms = context_.view.vms();
    const auto* peer = vms->find(lead);
    const token_grant* grant = nullptr;
    result<peer_body> outcome =
        error{error_kind::unreachable, "borrow", lead, "no lead is known"};
    if (peer != nullptr)
    {
        peer_body body = call.request;
        outcome = co_await peers_.call(*peer, std::move(body), bank_timeout);
        context_.measured.count(counter::peer_calls);
    }
    if (succeeded(outcome))
        grant = std::get_if<token_grant>(&value_of(outcome));
    const auto now = clock::now();
    {
        const std::lock_guard lock(shards_[index].mutex);
        auto& borrower = *shards_[index].borrower;
        if (grant == nullptr)
            borrower.on_failure(call.lender_domain, call, now);
        else
            borrower.on_grant(call.lender_domain, call, *grant, sent_at, now);
    }
    pump(index, call.request.account, now);
}

} // namespace oleandergrade
