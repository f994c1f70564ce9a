#include <oleandergrade/process/configuration/metered_store.hpp>

#include <sstream>

namespace oleandergrade
{
namespace asio = boost::asio;

asio::awaitable<result<stored_item>> metered_store::read(std::string key)
{
    const auto started_at = current_time();
    auto outcome = co_await store_.read(std::move(key));
    record_call(call_kind::read, succeeded(outcome), started_at);
    co_return outcome;
}

asio::awaitable<result<stored_range>>
metered_store::read_all(std::string prefix)
{
    const auto started_at = current_time();
    auto outcome = co_await store_.read_all(std::move(prefix));
    record_call(call_kind::read, succeeded(outcome), started_at);
    co_return outcome;
}

asio::awaitable<result<stored_changes>>
metered_store::watch(std::string prefix, std::uint64_t after_revision,
                     milliseconds timeout)
{
    const auto started_at = current_time();
    auto outcome =
        co_await store_.watch(std::move(prefix), after_revision, timeout);
    record_call(call_kind::watch, succeeded(outcome), started_at);
    co_return outcome;
}

asio::awaitable<result<std::uint64_t>>
metered_store::write(conditional_write change)
{
    const auto started_at = current_time();
    auto outcome = co_await store_.write(std::move(change));
    record_call(call_kind::write, succeeded(outcome), started_at);
    co_return outcome;
}

asio::awaitable<result<store_lease>>
metered_store::create_lease(milliseconds lifetime)
{
    const auto started_at = current_time();
    auto outcome = co_await store_.create_lease(lifetime);
    record_call(call_kind::lease, succeeded(outcome), started_at);
    co_return outcome;
}

asio::awaitable<result<bool>> metered_store::renew_lease(std::uint64_t id)
{
    const auto started_at = current_time();
    auto outcome = co_await store_.renew_lease(id);
    record_call(call_kind::lease, succeeded(outcome), started_at);
    co_return outcome;
}

asio::awaitable<result<bool>> metered_store::end_lease(std::uint64_t id)
{
    const auto started_at = current_time();
    auto outcome = co_await store_.end_lease(id);
    record_call(call_kind::lease, succeeded(outcome), started_at);
    co_return outcome;
}

void metered_store::record_call(call_kind kind, bool succeeded,
                                time_point started_at)
{
    auto& count = statistics_[static_cast<std::size_t>(kind)];
    ++(succeeded ? count.succeeded : count.failed);
    if (kind != call_kind::watch)
        count.total_duration += current_time() - started_at;
}

std::string metered_store::to_text() const
{
    constexpr std::array names{"read", "watch", "write", "lease"};
    std::ostringstream out;
    out << "# TYPE oleander_store_calls_total counter\n";
    for (std::size_t i = 0; i < statistics_.size(); ++i)
        out << "oleander_store_calls_total{call=\"" << names[i]
            << "\",outcome=\"answered\"} " << statistics_[i].succeeded
            << "\noleander_store_calls_total{call=\"" << names[i]
            << "\",outcome=\"failed\"} " << statistics_[i].failed << "\n";
    out << "# TYPE oleander_store_seconds_total counter\n";
    for (std::size_t i = 0; i < statistics_.size(); ++i)
        out << "oleander_store_seconds_total{call=\"" << names[i] << "\"} "
            << std::chrono::duration<double>(statistics_[i].total_duration)
                   .count()
            << "\n";
    return out.str();
}

} // namespace oleandergrade
