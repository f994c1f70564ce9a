#include <oleandergrade/process/membership/member_registration.hpp>

#include <oleandergrade/connection/async_event.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

constexpr auto poll_interval = milliseconds(20);

} // namespace

member_registration::member_registration(metadata_store& store, std::string key,
                                         fleet_member self, callbacks parts,
                                         std::minstd_rand::result_type seed)
    : store_(store), key_(std::move(key)), self_(std::move(self)),
      callbacks_(std::move(parts)), random_(seed)
{
}

asio::awaitable<time_point> member_registration::run()
{
    auto retry_delay = initial_retry_delay;
    for (auto read_wait = max_read_wait;; read_wait = milliseconds(0))
    {
        co_await wait_for_store(read_wait);
        co_await wait_for_turn();
        conditional_write change;
        change.key = key_;
        change.value = serialize_fleet_member(self_);
        const auto sent_at = current_time();
        auto outcome = co_await store_.write(std::move(change));
        if (succeeded(outcome))
            co_return sent_at;
        const auto jitter =
            std::uniform_int_distribution<int>(75, 100)(random_);
        co_await sleep_for(std::max<milliseconds>(
            retry_delay * jitter / 100, error_of(outcome).retry_after));
        retry_delay =
            std::min(retry_delay * 2, callbacks_.pacing().is_large_fleet()
                                          ? max_large_fleet_retry_delay
                                          : max_retry_delay);
    }
}

asio::awaitable<void>
member_registration::wait_for_store(milliseconds small_fleet_limit)
{
    const auto started_at = current_time();
    while (!callbacks_.is_store_answering() &&
           (callbacks_.pacing().is_large_fleet() ||
            current_time() - started_at < small_fleet_limit))
        co_await sleep_for(poll_interval);
}

asio::awaitable<void> member_registration::wait_for_turn()
{
    const auto spread = callbacks_.pacing().registration_spread();
    if (spread.count() == 0)
        co_return;
    co_await sleep_for(
        milliseconds(std::uniform_int_distribution<milliseconds::rep>(
            0, spread.count())(random_)));
}

} // namespace oleandergrade
