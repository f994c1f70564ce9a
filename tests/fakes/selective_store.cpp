#include "selective_store.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <utility>
#include <variant>

namespace fakes
{
namespace asio = boost::asio;
using namespace oleandergrade;

selective_store::selective_store(asio::any_io_executor executor,
                                 std::unique_ptr<metadata_store> store)
    : executor_(std::move(executor)), store_(std::move(store))
{
}

void selective_store::cut_watches(const std::string& prefix)
{
    for (const auto& cut : std::exchange(cuts_[prefix], {}))
        cut->signal();
}

bool selective_store::is_refused(const std::string& prefix)
{
    auto& refusals_left = refusals_left_[prefix];
    if (refusals_left == 0)
        return false;
    --refusals_left;
    return true;
}

asio::awaitable<result<stored_item>> selective_store::read(std::string key)
{
    return store_->read(std::move(key));
}

asio::awaitable<result<stored_range>>
selective_store::read_all(std::string prefix)
{
    if (is_refused(prefix))
        co_return error{error_kind::refused, "read all", "store", "refused"};
    auto range = co_await store_->read_all(std::move(prefix));
    co_return range;
}

asio::awaitable<result<stored_changes>>
selective_store::watch(std::string prefix, std::uint64_t after_revision,
                       milliseconds timeout)
{
    using namespace asio::experimental::awaitable_operators;
    if (is_refused(prefix))
        co_return error{error_kind::refused, "watch", "store", "refused"};
    const auto cut = std::make_shared<async_event>(executor_);
    cuts_[prefix].insert(cut);
    auto outcome = co_await (store_->watch(prefix, after_revision, timeout) ||
                             cut->wait_until(time_point::max()));
    cuts_[prefix].erase(cut);
    if (auto* changes = std::get_if<0>(&outcome))
        co_return std::move(*changes);
    co_return error{error_kind::broken, "watch", "store", "end of stream"};
}

asio::awaitable<result<std::uint64_t>>
selective_store::write(conditional_write change)
{
    return store_->write(std::move(change));
}

asio::awaitable<result<store_lease>>
selective_store::create_lease(milliseconds lifetime)
{
    return store_->create_lease(lifetime);
}

asio::awaitable<result<bool>> selective_store::renew_lease(std::uint64_t id)
{
    return store_->renew_lease(id);
}

asio::awaitable<result<bool>> selective_store::end_lease(std::uint64_t id)
{
    return store_->end_lease(id);
}

} // namespace fakes
