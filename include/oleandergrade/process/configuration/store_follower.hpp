/// Follows everything below a prefix of the store.
#pragma once

#include <oleandergrade/process/configuration/burst_pause.hpp>
#include <oleandergrade/process/metadata_store.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace oleandergrade
{

/// Reads the prefix whole, then watches it, and reads it again when the
/// history has been dropped. All members run on one executor.
class store_follower
{
public:
    /// Answers to a watch may be lost; the next watch repeats what they held.
    static constexpr milliseconds usual_watch{8000};
    /// The same where other VMs tell that something is new. Below the longest
    /// wait that the users' store takes.
    static constexpr milliseconds patient_watch{25'000};
    static constexpr milliseconds first_pause{100};
    /// While the store is away, nobody knows whether the holder lives: its
    /// return must be noticed well within a lease.
    static constexpr milliseconds longest_pause{250};

    struct handlers
    {
        /// Replaces all that is known.
        std::function<void(const stored_range&)> on_all;
        std::function<void(const stored_change&)> on_change;
    };

    store_follower(boost::asio::any_io_executor executor, metadata_store& store,
                   std::string prefix, milliseconds watch_time,
                   handlers behaviour);

    void start();
    /// While it is idle, no further watch begins; afterwards the prefix is read
    /// anew.
    void set_idle(bool idle);
    bool is_idle() const { return idle_; }

    /// The store has answered the last call.
    bool is_in_touch() const { return in_touch_; }
    bool has_read() const { return has_read_; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> watch();
    boost::asio::awaitable<void> wait_while_idle();
    boost::asio::awaitable<void> on_failure(const error& failure);
    void on_answer();

    boost::asio::any_io_executor executor_;
    metadata_store& store_;
    std::string prefix_;
    milliseconds watch_time_;
    handlers handlers_;
    std::uint64_t as_of_ = 0;
    milliseconds pause_ = first_pause;
    burst_pause burst_;
    bool in_touch_ = false;
    bool has_read_ = false;
    bool idle_ = false;
    boost::asio::steady_timer resumed_;
};

} // namespace oleandergrade
