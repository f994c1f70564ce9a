/// Decides whether and how a refused statement is sent again.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/request/statement.hpp>

#include <cstdint>

namespace oleandergrade
{

/// What the entry VM does after a refusal.
enum class retry_action
{
    /// Gives the refusal to the caller at once.
    give_up,
    /// Chooses another route without delay.
    reroute,
    /// Waits for news of the group's leadership, then chooses a route.
    await_leadership,
    /// Waits an exponential, jittered delay, then chooses a route.
    back_off
};

/// Whether a statement may run twice without harm.
bool is_idempotent(const statement& sent);

/// Looks the refusal up in the retry table. A refusal whose outcome is
/// unknown is retried only for idempotent statements.
retry_action action_after(const answer& refusal, const statement& sent);

/// Delay before an attempt, with jitter from a random number in [0, 1).
milliseconds back_off_delay(unsigned attempt, double random);

/// Bounds retries to a share of the requests, so that retries cannot
/// multiply the load of a fleet in trouble. Not synchronized.
class retry_budget
{
public:
    /// Counts a first attempt, which earns a part of a retry.
    void count_request();
    /// Spends a retry; false if the budget is used up.
    bool spend();

private:
    double credit_ = 100;
};

} // namespace oleandergrade
