#include <oleandergrade/process/owner_service.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{
constexpr auto handover_retry_after = milliseconds(10);
} // namespace

owner_service::owner_service(process_context& context, worker_pool& workers)
    : context_(context), workers_(workers)
{
}

void owner_service::refresh()
{
    const auto configuration = context_.view.current_configuration();
    const auto vms = context_.view.vms();
    const std::lock_guard lock(mutex_);
    for (const auto& entry : configuration->targets)
    {
        const auto& name = entry.first;
        const auto& declared = entry.second;
        if (declared.failure_domain != context_.own.failure_domain)
            continue;
        const auto rank = stopping_
                              ? owners_per_target
                              : owner_rank(*vms, name, declared.failure_domain,
                                           context_.own.node);
        ranks_[name] = rank;
        auto& gateway = gateways_[name];
        if (!gateway)
        {
            if (rank >= owners_per_target)
                continue;
            gateway = std::make_shared<target_gateway>(
                workers_.worker_for(name).get_executor(), declared, context_);
            asio::post(gateway->executor(), [gateway] { gateway->start(); });
        }
        asio::post(gateway->executor(), [gateway, declared, rank]
                   { gateway->update(declared, rank); });
    }
}

void owner_service::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    refresh();
}

asio::awaitable<answer> owner_service::execute(statement sent)
{
    const auto gateway = find(sent.target);
    if (!gateway)
        co_return refuse(refusal_code::not_owner, "find target",
                         context_.own.node, "this VM does not own the target",
                         handover_retry_after);
    auto outcome = co_await asio::co_spawn(gateway->executor(),
                                           gateway->execute(std::move(sent)),
                                           asio::use_awaitable);
    co_return outcome;
}

std::vector<std::string> owner_service::owned_targets() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto& [name, rank] : ranks_)
        if (rank == 0)
            names.push_back(name);
    return names;
}

asio::awaitable<json::array> owner_service::dump() const
{
    json::array items;
    for (const auto& entry : gateways())
    {
        const auto gateway = entry.second;
        const auto read = [gateway]() -> asio::awaitable<json::object>
        { co_return gateway->dump(); };
        auto item = co_await asio::co_spawn(gateway->executor(), read(),
                                            asio::use_awaitable);
        items.push_back(std::move(item));
    }
    co_return items;
}

asio::awaitable<std::size_t> owner_service::active() const
{
    std::size_t total = 0;
    for (const auto& entry : gateways())
    {
        const auto gateway = entry.second;
        const auto read = [gateway]() -> asio::awaitable<std::size_t>
        { co_return gateway->active() + gateway->open_transactions(); };
        total += co_await asio::co_spawn(gateway->executor(), read(),
                                         asio::use_awaitable);
    }
    co_return total;
}

std::shared_ptr<target_gateway>
owner_service::find(const std::string& target) const
{
    const std::lock_guard lock(mutex_);
    const auto found = gateways_.find(target);
    return found == gateways_.end() ? nullptr : found->second;
}

std::map<std::string, std::shared_ptr<target_gateway>>
owner_service::gateways() const
{
    const std::lock_guard lock(mutex_);
    auto copy = gateways_;
    std::erase_if(copy, [](const auto& entry) { return !entry.second; });
    return copy;
}

} // namespace oleandergrade
