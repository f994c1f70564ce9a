#include <oleandergrade/process/membership/report_relay.hpp>

#include <oleandergrade/connection/async_event.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>
#include <vector>

namespace oleandergrade
{
namespace asio = boost::asio;

fleet_grant relayed_grant_for(const relayed_reports& reports,
                              const relayed_grants& answer, std::size_t index)
{
    auto grant = answer.common;
    const bool fits = answer.grants.size() == reports.reports.size() &&
                      index < answer.grants.size() &&
                      answer.grants[index].vm == reports.reports[index].vm;
    if (fits && grant.accepted && answer.grants[index].accepted)
    {
        grant.shares = answer.grants[index].shares;
        if (answer.grants[index].holders.version != 0)
            grant.holders = answer.grants[index].holders;
        if (grant.holders.version == reports.reports[index].holders_version)
            grant.holders = {};
        if (grant.lenders.version == reports.reports[index].lenders_version)
            grant.lenders = {};
        return grant;
    }
    grant.holders = {};
    grant.lenders = {};
    grant.accepted = false;
    grant.validity = milliseconds(0);
    grant.primaries.clear();
    grant.relay_address.clear();
    return grant;
}

/// Reports that are sent in one message, and those who wait for the answer.
struct report_relay::batch
{
    relayed_reports reports;
    std::vector<std::shared_ptr<async_event>> waiters;
    result<relayed_grants> answer =
        error{error_kind::timeout, "relay", "", "not answered"};
};

report_relay::report_relay(asio::any_io_executor executor, sender send)
    : executor_(std::move(executor)), send_(std::move(send))
{
}

report_relay::~report_relay() = default;

asio::awaitable<fleet_grant> report_relay::relay(fleet_report report)
{
    if (open_batch_ == nullptr)
    {
        open_batch_ = std::make_shared<batch>();
        asio::co_spawn(executor_, send_batch(open_batch_), asio::detached);
    }
    const auto current = open_batch_;
    const auto index = current->reports.reports.size();
    const auto answered = std::make_shared<async_event>(executor_);
    current->reports.reports.push_back(std::move(report));
    current->waiters.push_back(answered);
    ++relayed_count_;
    co_await answered->wait_until(asio::steady_timer::time_point::max());
    if (!succeeded(current->answer))
        co_return fleet_grant{};
    co_return relayed_grant_for(current->reports, value_of(current->answer),
                                index);
}

asio::awaitable<void> report_relay::send_batch(std::shared_ptr<batch> current)
{
    co_await sleep_for(gather_interval);
    if (open_batch_ == current)
        open_batch_.reset();
    current->answer = co_await send_(current->reports);
    for (const auto& waiter : current->waiters)
        waiter->signal();
}

} // namespace oleandergrade
