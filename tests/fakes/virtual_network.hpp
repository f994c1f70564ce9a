/// Virtual time and a simulated network with faults, for tests with seeds.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/error.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fakes
{

using namespace oleandergrade;

/// A simulated machine, which may be down, paused or restarted.
struct host
{
    std::string name;
    std::string failure_domain;
    bool is_up = true;
    time_point paused_until{};
    /// Number of the current start, from 1. Work that was scheduled under an
    /// earlier number is discarded.
    std::uint64_t boot_number = 1;
};

/// The probabilities of message faults, and the range of delays.
struct network_faults
{
    /// Fraction of messages that are lost.
    double loss_fraction = 0;
    /// Fraction of messages that are delivered a second time.
    double duplicate_fraction = 0;
    duration min_delay = microseconds(300);
    duration max_delay = milliseconds(3);
    /// Fraction of messages that take up to `max_slow_delay`.
    double slow_fraction = 0;
    duration max_slow_delay = milliseconds(1500);
};

/// Whether the network may deliver a message twice. A TCP connection never
/// delivers data twice, because it discards repeated segments.
enum class delivery
{
    may_duplicate,
    at_most_once
};

/// Runs scheduled work in the order of virtual time, and delivers messages
/// between hosts with random delays and faults. Work with the same time runs in
/// the order in which it was scheduled.
class virtual_network
{
public:
    explicit virtual_network(std::uint64_t seed)
        : random_(seed), now_(seconds(1000))
    {
    }

    time_point now() const { return now_; }
    std::mt19937_64& random() { return random_; }
    /// Returns a random number between 0 and 1.
    double random_fraction()
    {
        return std::uniform_real_distribution<>(0, 1)(random_);
    }
    /// Returns a random number from 0 to `limit` - 1.
    std::uint64_t random_below(std::uint64_t limit)
    {
        return random_() % limit;
    }

    /// Schedules work at a point in time; immediately if that has passed.
    void schedule_at(time_point when, std::function<void()> work);
    void schedule_after(duration delay, std::function<void()> work)
    {
        schedule_at(now_ + delay, std::move(work));
    }
    /// Runs all work that is due up to `end`, and advances the time to `end`.
    void run_until(time_point end);

    /// Runs work on a host under the number `boot_number` of its start:
    /// immediately, or when the pause ends if the host is paused. Discards the
    /// work if the host is down or has been restarted since.
    void run_on_host(const std::shared_ptr<host>& where,
                     std::uint64_t boot_number, std::function<void()> work);

    /// Drops all messages sent from one failure domain to another, in this
    /// direction only, until `unblock_links` is called.
    void block_link(const std::string& from, const std::string& to)
    {
        blocked_links_.insert({from, to});
    }
    /// Lets messages pass between all failure domains again.
    void unblock_links() { blocked_links_.clear(); }
    network_faults faults;

    /// Sends a request from one host to another. `serve` runs at the receiver
    /// at most once, or possibly twice if `guarantee` allows repeated delivery.
    /// `done` runs at the sender once, with the reply, or with an error if no
    /// reply arrived within `timeout`; it does not run if the sender goes down.
    template <typename Reply>
    void call(const std::shared_ptr<host>& from,
              const std::shared_ptr<host>& to, duration timeout,
              std::function<Reply()> serve,
              std::function<void(const result<Reply>&)> done,
              delivery guarantee = delivery::may_duplicate)
    {
        const auto boot_number = from->boot_number;
        auto completed = std::make_shared<bool>(false);
        const auto complete = [this, from, boot_number, completed,
                               done](const result<Reply>& outcome)
        {
            run_on_host(from, boot_number,
                        [completed, done, outcome]
                        {
                            if (!std::exchange(*completed, true))
                                done(outcome);
                        });
        };
        schedule_after(timeout,
                       [complete]
                       {
                           complete(error{error_kind::timeout, "call", "",
                                          "no reply within the timeout"});
                       });
        deliver(
            from->failure_domain, to->failure_domain,
            [this, from, to, serve, complete]
            {
                run_on_host(to, to->boot_number,
                            [this, from, to, serve, complete]
                            {
                                const Reply reply = serve();
                                deliver(
                                    to->failure_domain, from->failure_domain,
                                    [complete, reply] { complete(reply); },
                                    delivery::may_duplicate);
                            });
            },
            guarantee);
    }

private:
    struct event
    {
        time_point due_at;
        /// Order in which events were scheduled; it decides between events with
        /// the same time.
        std::uint64_t sequence_number = 0;
        std::function<void()> work;
    };
    /// Orders the queue so that the earliest event is at its top.
    struct is_due_later
    {
        bool operator()(const event& left, const event& right) const
        {
            return std::tie(left.due_at, left.sequence_number) >
                   std::tie(right.due_at, right.sequence_number);
        }
    };

    /// Runs work after a random delay, if the message is neither blocked
    /// between these failure domains nor lost.
    void deliver(const std::string& from, const std::string& to,
                 const std::function<void()>& work, delivery guarantee);
    duration random_delay();

    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t next_sequence_number_ = 0;
    std::priority_queue<event, std::vector<event>, is_due_later> events_;
    std::set<std::pair<std::string, std::string>> blocked_links_;
};

} // namespace fakes
