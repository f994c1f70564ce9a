/// Keeps track of all keys below a prefix of the store.
#pragma once

#include <oleandergrade/process/configuration/watch_backoff.hpp>
#include <oleandergrade/process/metadata_store.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace oleandergrade
{

/// What a VM knows of one prefix of the store.
struct followed_prefix
{
    std::string prefix;
    /// Revision of the store up to which changes have been received.
    std::uint64_t revision = 0;
    /// Time since the store last answered a call for the prefix, or since the
    /// follower was started if it has not answered any.
    milliseconds unanswered_for{0};
    /// Calls for the prefix that have failed since the process started.
    std::uint64_t failed_calls = 0;
    /// The delay after the last failed call; 0 if the last call has succeeded.
    milliseconds retry_delay{0};

    bool operator==(const followed_prefix&) const = default;
};

/// Who notices that a change has not been received.
enum class follow_mode : std::uint8_t
{
    /// Another VM provides the state. The store is not called.
    paused,
    /// Another VM, which confirms the same state, tells this one that it is
    /// behind; refresh() must be called then. Watches are long.
    assisted,
    /// No other VM does. Watches are short, so that the loss of an answer is
    /// noticed in time.
    confirming
};

/// Reads all keys below a prefix, then watches them for changes. Reads all of
/// them again when the store has discarded the history that the watch needs.
///
/// The answer to a watch can be lost without any error, which looks like the
/// absence of changes. A watch that is waiting therefore confirms nothing: what
/// was received is current only up to the last answer, and the time without an
/// answer is bounded by the duration of a watch. All members must be called on
/// one executor.
class store_follower
{
public:
    /// Duration of a watch while another VM assists. Shorter than the longest
    /// wait that the store of the platform accepts.
    static constexpr milliseconds assisted_watch_duration{25'000};
    /// Duration of the first watch after a failed call: its answer shows soon
    /// that the store answers again.
    static constexpr milliseconds reconnect_watch_duration{100};
    /// Delay after the first failed call; it doubles with each further one.
    static constexpr milliseconds initial_retry_delay{100};
    /// While the store is unavailable, no VM can determine whether the leader
    /// still has its lease. The recovery of the store must therefore be
    /// detected in much less time than the lifetime of a lease.
    static constexpr milliseconds max_retry_delay{250};
    /// While another VM assists, nothing depends on the recovery of the store,
    /// and the calls of a store that turns VMs away must not grow with the
    /// number of these.
    static constexpr milliseconds max_assisted_retry_delay{5000};

    struct handlers
    {
        /// Called with all items after each complete read; they replace what
        /// was passed before.
        std::function<void(const stored_range&)> on_full_read;
        /// Called with each change that a watch returns.
        std::function<void(const stored_change&)> on_change;
        /// Called when a call has ended, before the delay after a failed call
        /// is chosen. May be empty.
        std::function<void()> on_call_ended = {};
    };

    /// `confirmation_interval` is the duration of a watch in the mode
    /// `confirming`, in which the follower starts.
    store_follower(boost::asio::any_io_executor executor, metadata_store& store,
                   std::string prefix, milliseconds confirmation_interval,
                   handlers callbacks);
    ~store_follower();

    /// Starts to read and watch; both go on as long as the executor runs.
    void start();
    /// Changes the mode. All keys are read again after a pause. A watch that
    /// was sent in another mode is given up, except by a change from
    /// `confirming` to `assisted`.
    void set_mode(follow_mode mode);
    void set_confirmation_interval(milliseconds interval)
    {
        confirmation_interval_ = interval;
    }
    /// Replaces the delays after the first and after further failed calls that
    /// apply in each mode; with a limit of 0 those of the mode apply again. A
    /// longer delay that is under way ends, unless the store asked for it.
    void set_retry_delays(milliseconds initial, milliseconds limit);
    /// To be called while changes are being applied: the watch after them is
    /// sent after at least this pause, less a quarter at random.
    void delay_next_watch(milliseconds pause)
    {
        watch_pause_ = std::max(watch_pause_, pause);
    }
    /// Gives up the watch that is waiting, if any, and sends the next one at
    /// once. `reason` is written to the log.
    void refresh(const char* reason);

    /// Returns whether the store has answered the last call.
    bool is_connected() const { return connected_; }
    follow_mode mode() const { return mode_; }
    bool is_paused() const { return mode_ == follow_mode::paused; }
    /// Returns whether this VM receives all changes from the store without the
    /// help of another one: the mode is `confirming`, and the store has
    /// answered the last call that ended, which was sent in this mode.
    bool is_current() const
    {
        return mode_ == follow_mode::confirming && is_confirmed_;
    }
    /// Returns whether all keys have been read at least once.
    bool has_read() const { return has_read_; }
    /// Returns what is known of the prefix. A watch that waits and a watch
    /// whose answer was lost look alike until `unanswered_for` exceeds the
    /// duration of a watch.
    followed_prefix status(time_point now) const;

private:
    struct pending_watch;

    boost::asio::awaitable<void> run();
    /// Reads all keys. Returns false if the store did not answer.
    boost::asio::awaitable<bool> read_all();
    /// Watches once. Returns false if all keys must be read again.
    boost::asio::awaitable<bool> watch_once();
    milliseconds next_watch_duration() const;
    /// The longest delay after a failed call that applies now.
    milliseconds retry_delay_limit() const;
    /// Returns a random duration of 0.75 to 1 times `delay`.
    duration with_jitter(milliseconds delay);
    boost::asio::awaitable<void> wait_while_paused();
    /// Waits for `delay`, or until refresh() or set_mode() requires a call.
    boost::asio::awaitable<void> wait_before_call(duration delay);
    boost::asio::awaitable<void> on_failure(const error& failure);
    void log_failure(const error& failure, bool was_connected, duration delay);
    void on_answer();
    void on_call_ended();
    void give_up_watch();

    boost::asio::any_io_executor executor_;
    metadata_store& store_;
    std::string prefix_;
    milliseconds confirmation_interval_;
    handlers handlers_;
    /// Revision of the store up to which changes have been received.
    std::uint64_t store_revision_ = 0;
    /// The delay after the last failed call; 0 if the last call has succeeded.
    milliseconds retry_delay_{0};
    std::uint64_t failed_calls_ = 0;
    /// The shortest and longest delay between failed calls, unless the limit is
    /// 0.
    milliseconds initial_retry_delay_{0};
    milliseconds retry_delay_limit_{0};
    /// The store asked not to be called before this time.
    time_point not_before_;
    /// The shortest pause before the next watch, because of the changes that
    /// are being applied.
    milliseconds watch_pause_{0};
    watch_backoff watch_backoff_;
    /// Spreads the retries of VMs that failed at the same time.
    std::minstd_rand random_{std::random_device{}()};
    time_point last_answer_at_;
    time_point last_changes_at_;
    follow_mode mode_ = follow_mode::confirming;
    /// The store has answered the last call, whatever the mode was.
    bool connected_ = false;
    /// The store has answered a call since the mode was set to `confirming`,
    /// and no call has failed after it.
    bool is_confirmed_ = false;
    bool has_read_ = false;
    /// The next call must be sent without delay.
    bool call_is_urgent_ = false;
    /// The watch that is waiting, or null.
    std::shared_ptr<pending_watch> pending_watch_;
    /// Expires when the next call is due; cancelled to send it earlier.
    boost::asio::steady_timer wake_timer_;
};

} // namespace oleandergrade
