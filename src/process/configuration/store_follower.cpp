#include <oleandergrade/process/configuration/store_follower.hpp>

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/store_revision.hpp>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace oleandergrade
{
namespace asio = boost::asio;

/// A watch and its outcome. Outlives the follower's interest in it.
struct store_follower::pending_watch
{
    explicit pending_watch(const asio::any_io_executor& executor)
        : ended(executor), sent_at(current_time())
    {
    }

    async_event ended;
    asio::cancellation_signal cancellation;
    time_point sent_at;
    result<stored_changes> outcome;
    std::exception_ptr failure;
    bool is_given_up = false;
};

namespace
{

void log_read(const std::string& prefix, const stored_range& range,
              duration took)
{
    std::uint64_t byte_count = 0;
    for (const auto& item : range.items)
        byte_count += item.value.size();
    log_event(event_level::info, "store", "read",
              {{"prefix", prefix},
               {"revision", store_number(range.store_revision)},
               {"generation", store_generation(range.store_revision)},
               {"items", range.items.size()},
               {"bytes", byte_count},
               {"took", std::chrono::duration_cast<milliseconds>(took)}});
}

} // namespace

store_follower::store_follower(asio::any_io_executor executor,
                               metadata_store& store, std::string prefix,
                               milliseconds confirmation_interval,
                               handlers callbacks)
    : executor_(std::move(executor)), store_(store), prefix_(std::move(prefix)),
      confirmation_interval_(confirmation_interval),
      handlers_(std::move(callbacks)), wake_timer_(executor_)
{
}

store_follower::~store_follower() = default;

void store_follower::start()
{
    last_answer_at_ = current_time();
    asio::co_spawn(executor_, run(), asio::detached);
}

asio::awaitable<void> store_follower::run()
{
    for (;;)
    {
        co_await wait_while_paused();
        bool keep_watching = co_await read_all();
        while (keep_watching && !is_paused())
            keep_watching = co_await watch_once();
    }
}

void store_follower::set_mode(follow_mode mode)
{
    const auto previous_mode = std::exchange(mode_, mode);
    if (previous_mode == mode)
        return;
    if (mode == follow_mode::paused)
        log_event(event_level::info, "store", "left to leader",
                  {{"prefix", prefix_}});
    else
        log_event(event_level::info, "store", "followed",
                  {{"prefix", prefix_}, {"watch", next_watch_duration()}});
    is_confirmed_ = false;
    if (previous_mode == follow_mode::confirming &&
        mode == follow_mode::assisted)
        return;
    give_up_watch();
    // Also ends the wait of a follower that was paused.
    call_is_urgent_ = true;
    wake_timer_.cancel();
}

void store_follower::refresh(const char* reason)
{
    if (pending_watch_ == nullptr && !is_paused())
    {
        call_is_urgent_ = true;
        wake_timer_.cancel();
        return;
    }
    if (pending_watch_ == nullptr)
        return;
    log_event(event_level::info, "store", "watch repeated",
              {{"prefix", prefix_},
               {"reason", reason},
               {"revision", store_number(store_revision_)},
               {"waited", std::chrono::duration_cast<milliseconds>(
                              current_time() - pending_watch_->sent_at)}});
    give_up_watch();
}

void store_follower::set_retry_delays(milliseconds initial, milliseconds limit)
{
    initial_retry_delay_ = initial;
    retry_delay_limit_ = limit;
    if (retry_delay_ <= retry_delay_limit())
        return;
    retry_delay_ = milliseconds(0);
    wake_timer_.cancel();
}

void store_follower::give_up_watch()
{
    if (pending_watch_ == nullptr)
        return;
    // Cancelling the watch closes its connection to the store.
    const auto watch = std::exchange(pending_watch_, nullptr);
    watch->is_given_up = true;
    watch->cancellation.emit(asio::cancellation_type::terminal);
    watch->ended.signal();
}

asio::awaitable<void> store_follower::wait_while_paused()
{
    while (is_paused())
    {
        wake_timer_.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await wake_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> store_follower::wait_before_call(duration delay)
{
    if (call_is_urgent_)
        co_return;
    wake_timer_.expires_after(delay);
    boost::system::error_code ignored;
    co_await wake_timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> store_follower::read_all()
{
    call_is_urgent_ = false;
    const auto sent_at = current_time();
    auto outcome = co_await store_.read_all(prefix_);
    if (!succeeded(outcome))
    {
        co_await on_failure(error_of(outcome));
        co_return false;
    }
    store_revision_ = value_of(outcome).store_revision;
    on_answer();
    has_read_ = true;
    log_read(prefix_, value_of(outcome), current_time() - sent_at);
    handlers_.on_full_read(value_of(outcome));
    co_return true;
}

milliseconds store_follower::next_watch_duration() const
{
    if (!connected_)
        return reconnect_watch_duration;
    return mode_ == follow_mode::assisted ? assisted_watch_duration
                                          : confirmation_interval_;
}

asio::awaitable<bool> store_follower::watch_once()
{
    call_is_urgent_ = false;
    const auto watch = std::make_shared<pending_watch>(executor_);
    pending_watch_ = watch;
    asio::co_spawn(
        executor_,
        store_.watch(prefix_, store_revision_, next_watch_duration()),
        asio::bind_cancellation_slot(
            watch->cancellation.slot(),
            [watch](std::exception_ptr failure, result<stored_changes> outcome)
            {
                watch->failure = std::move(failure);
                watch->outcome = std::move(outcome);
                watch->ended.signal();
            }));
    co_await watch->ended.wait_until(asio::steady_timer::time_point::max());
    if (watch->is_given_up)
        co_return true;
    pending_watch_.reset();
    if (watch->failure)
        std::rethrow_exception(watch->failure);
    const auto& outcome = watch->outcome;
    if (!succeeded(outcome))
    {
        if (error_of(outcome).kind == error_kind::conflict)
            co_return false;
        co_await on_failure(error_of(outcome));
        co_return true;
    }
    store_revision_ =
        std::max(store_revision_, value_of(outcome).store_revision);
    on_answer();
    watch_pause_ = milliseconds(0);
    for (const auto& change : value_of(outcome).changes)
        handlers_.on_change(change);
    if (value_of(outcome).changes.empty())
        co_return true;
    const auto now = current_time();
    const auto time_since_changes = now - std::exchange(last_changes_at_, now);
    const auto delay = watch_backoff_.delay_after_changes(time_since_changes);
    co_await wait_before_call(
        std::max<duration>(delay, with_jitter(watch_pause_)));
    co_return true;
}

followed_prefix store_follower::status(time_point now) const
{
    return {prefix_, store_revision_,
            std::chrono::duration_cast<milliseconds>(now - last_answer_at_),
            failed_calls_, retry_delay_};
}

void store_follower::on_answer()
{
    const auto now = current_time();
    const auto unanswered_for =
        std::chrono::duration_cast<milliseconds>(now - last_answer_at_);
    last_answer_at_ = now;
    retry_delay_ = milliseconds(0);
    is_confirmed_ = mode_ == follow_mode::confirming;
    if (!std::exchange(connected_, true))
        log_event(event_level::info, "store", "regained",
                  {{"prefix", prefix_},
                   {"revision", store_number(store_revision_)},
                   {"unanswered", unanswered_for}});
    on_call_ended();
}

void store_follower::on_call_ended()
{
    if (handlers_.on_call_ended)
        handlers_.on_call_ended();
}

milliseconds store_follower::retry_delay_limit() const
{
    if (retry_delay_limit_.count() != 0)
        return retry_delay_limit_;
    return mode_ == follow_mode::confirming ? max_retry_delay
                                            : max_assisted_retry_delay;
}

asio::awaitable<void> store_follower::on_failure(const error& failure)
{
    const bool was_connected = std::exchange(connected_, false);
    is_confirmed_ = false;
    ++failed_calls_;
    on_call_ended();
    const auto initial_delay = retry_delay_limit_.count() == 0
                                   ? initial_retry_delay
                                   : initial_retry_delay_;
    retry_delay_ = std::min(std::max(retry_delay_ * 2, initial_delay),
                            retry_delay_limit());
    not_before_ = current_time() + failure.retry_after;
    const auto delay = with_jitter(retry_delay_);
    log_failure(failure, was_connected,
                std::max<duration>(delay, failure.retry_after));
    co_await wait_before_call(delay);
    // Neither a change of mode nor refresh() shortens the time that the store
    // asked for.
    for (auto now = current_time(); now < not_before_; now = current_time())
    {
        wake_timer_.expires_after(not_before_ - now);
        boost::system::error_code ignored;
        co_await wake_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void store_follower::log_failure(const error& failure, bool was_connected,
                                 duration delay)
{
    const auto next_call_in = std::chrono::duration_cast<milliseconds>(delay);
    if (!was_connected)
        return log_event(event_level::info, "store", "call failed",
                         {{"prefix", prefix_},
                          {"error", to_string(failure)},
                          {"next_call_in", next_call_in}});
    log_event(event_level::warning, "store", "lost",
              {{"prefix", prefix_},
               {"revision", store_number(store_revision_)},
               {"unanswered", status(current_time()).unanswered_for},
               {"error", to_string(failure)},
               {"next_call_in", next_call_in}});
}

duration store_follower::with_jitter(milliseconds delay)
{
    const auto jitter = std::uniform_real_distribution<>(0.75, 1)(random_);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(delay) * jitter);
}

} // namespace oleandergrade
