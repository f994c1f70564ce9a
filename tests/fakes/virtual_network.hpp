/// Virtual time and a network with faults, for seeded tests.
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

/// A process or machine that may be down, paused or restarted.
struct host
{
    std::string name;
    std::string domain;
    bool up = true;
    time_point paused_until{};
    /// Counts restarts; work begun by an earlier run is dropped.
    std::uint64_t run = 1;
};

/// How often messages suffer, and how long they take.
struct network_faults
{
    double loss = 0;
    double repetition = 0;
    duration shortest_delay = microseconds(300);
    duration longest_delay = milliseconds(3);
    /// Share of messages that take up to `longest_stray`.
    double stray = 0;
    duration longest_stray = milliseconds(1500);
};

/// Whether the network may deliver a message twice. A connection never does,
/// since TCP drops repeated segments.
enum class delivery
{
    may_repeat,
    at_most_once
};

/// Runs events in the order of their virtual time.
class virtual_network
{
public:
    explicit virtual_network(std::uint64_t seed)
        : random_(seed), now_(seconds(1000))
    {
    }

    time_point now() const { return now_; }
    std::mt19937_64& random() { return random_; }
    double share() { return std::uniform_real_distribution<>(0, 1)(random_); }
    std::uint64_t below(std::uint64_t limit) { return random_() % limit; }

    void at(time_point when, std::function<void()> work);
    void after(duration delay, std::function<void()> work)
    {
        at(now_ + delay, std::move(work));
    }
    void run_until(time_point end);

    /// Runs work on a host: later if it is paused, never if it is down or
    /// was restarted meanwhile.
    void on_host(const std::shared_ptr<host>& where, std::uint64_t run,
                 std::function<void()> work);

    /// Cuts messages from one failure domain to another, in one direction.
    void cut(const std::string& from, const std::string& to)
    {
        cuts_.insert({from, to});
    }
    void heal() { cuts_.clear(); }
    network_faults faults;

    /// Sends a request; `serve` runs at the receiver, possibly twice unless
    /// the request is carried by a connection, and `done` runs at the sender
    /// exactly once, with an error if no answer came in time.
    template <typename Reply>
    void call(const std::shared_ptr<host>& from,
              const std::shared_ptr<host>& to, duration timeout,
              std::function<Reply()> serve,
              std::function<void(const result<Reply>&)> done,
              delivery way = delivery::may_repeat)
    {
        const auto run = from->run;
        auto ended = std::make_shared<bool>(false);
        const auto finish =
            [this, from, run, ended, done](const result<Reply>& outcome)
        {
            on_host(from, run,
                    [ended, done, outcome]
                    {
                        if (!std::exchange(*ended, true))
                            done(outcome);
                    });
        };
        after(timeout,
              [finish] {
                  finish(error{error_kind::timeout, "call", "", "no answer"});
              });
        deliver(
            from->domain, to->domain,
            [this, from, to, serve, finish]
            {
                on_host(to, to->run,
                        [this, from, to, serve, finish]
                        {
                            const Reply reply = serve();
                            deliver(
                                to->domain, from->domain,
                                [finish, reply] { finish(reply); },
                                delivery::may_repeat);
                        });
            },
            way);
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t number = 0;
        std::function<void()> work;
    };
    struct later
    {
        bool operator()(const event& left, const event& right) const
        {
            return std::tie(left.when, left.number) >
                   std::tie(right.when, right.number);
        }
    };

    void deliver(const std::string& from, const std::string& to,
                 const std::function<void()>& work, delivery way);
    duration random_delay();

    std::mt19937_64 random_;
    time_point now_;
    std::uint64_t next_number_ = 0;
    std::priority_queue<event, std::vector<event>, later> events_;
    std::set<std::pair<std::string, std::string>> cuts_;
};

} // namespace fakes
