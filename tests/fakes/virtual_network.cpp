#include "virtual_network.hpp"

namespace fakes
{

void virtual_network::at(time_point when, std::function<void()> work)
{
    events_.push({std::max(when, now_), next_number_++, std::move(work)});
}

void virtual_network::run_until(time_point end)
{
    while (!events_.empty() && events_.top().when <= end)
    {
        const auto next = events_.top();
        events_.pop();
        now_ = next.when;
        next.work();
    }
    now_ = end;
}

void virtual_network::on_host(const std::shared_ptr<host>& where,
                              std::uint64_t boot_number,
                              std::function<void()> work)
{
    if (!where->up || where->run != boot_number)
        return;
    if (where->paused_until <= now_)
    {
        work();
        return;
    }
    at(where->paused_until, [this, where, boot_number, work = std::move(work)]
       { on_host(where, boot_number, work); });
}

void virtual_network::deliver(const std::string& from, const std::string& to,
                              const std::function<void()>& work,
                              delivery guarantee)
{
    if (cuts_.contains({from, to}))
        return;
    if (share() >= faults.loss)
        after(random_delay(), work);
    if (guarantee == delivery::may_repeat && share() < faults.repetition)
        after(random_delay(), work);
}

duration virtual_network::random_delay()
{
    const auto max_delay =
        share() < faults.stray ? faults.longest_stray : faults.longest_delay;
    const auto range = max_delay - faults.shortest_delay;
    return faults.shortest_delay +
           std::chrono::duration_cast<duration>(range * share());
}

} // namespace fakes
