#include "virtual_network.hpp"

namespace fakes
{

void virtual_network::schedule_at(time_point when, std::function<void()> work)
{
    events_.push(
        {std::max(when, now_), next_sequence_number_++, std::move(work)});
}

void virtual_network::run_until(time_point end)
{
    while (!events_.empty() && events_.top().due_at <= end)
    {
        const auto next = events_.top();
        events_.pop();
        now_ = next.due_at;
        next.work();
    }
    now_ = end;
}

void virtual_network::run_on_host(const std::shared_ptr<host>& where,
                                  std::uint64_t boot_number,
                                  std::function<void()> work)
{
    if (!where->is_up || where->boot_number != boot_number)
        return;
    if (where->paused_until <= now_)
    {
        work();
        return;
    }
    schedule_at(where->paused_until,
                [this, where, boot_number, work = std::move(work)]
                { run_on_host(where, boot_number, work); });
}

void virtual_network::deliver(const std::string& from, const std::string& to,
                              const std::function<void()>& work,
                              delivery guarantee)
{
    if (blocked_links_.contains({from, to}))
        return;
    if (random_fraction() >= faults.loss_fraction)
        schedule_after(random_delay(), work);
    if (guarantee == delivery::may_duplicate &&
        random_fraction() < faults.duplicate_fraction)
        schedule_after(random_delay(), work);
}

duration virtual_network::random_delay()
{
    const auto max_delay = random_fraction() < faults.slow_fraction
                               ? faults.max_slow_delay
                               : faults.max_delay;
    const auto range = max_delay - faults.min_delay;
    return faults.min_delay +
           std::chrono::duration_cast<duration>(range * random_fraction());
}

} // namespace fakes
