#include <oleandergrade/process/fair_queue.hpp>

#include <algorithm>

namespace oleandergrade
{

fair_queue::fair_queue(fair_queue_limits limits) : limits_(limits) {}

bool fair_queue::push(std::uint64_t ticket, const std::string& account,
                      std::uint64_t weight)
{
    auto& queue = accounts_[account];
    if (size_ >= limits_.total || queue.tickets.size() >= limits_.per_account)
        return false;
    queue.weight = std::max<std::uint64_t>(weight, 1);
    if (!queue.has_turn)
    {
        queue.has_turn = true;
        queue.deficit = 0;
        turns_.push_back(account);
    }
    queue.tickets.push_back(ticket);
    ++size_;
    return true;
}

std::optional<std::uint64_t> fair_queue::pop()
{
    while (!turns_.empty())
    {
        auto& queue = accounts_[turns_.front()];
        if (queue.tickets.empty())
        {
            accounts_.erase(turns_.front());
            turns_.pop_front();
            continue;
        }
        if (queue.deficit == 0)
            queue.deficit = queue.weight;
        const auto ticket = queue.tickets.front();
        queue.tickets.pop_front();
        --size_;
        --queue.deficit;
        if (queue.tickets.empty() || queue.deficit == 0)
        {
            const auto account = turns_.front();
            turns_.pop_front();
            if (queue.tickets.empty())
                accounts_.erase(account);
            else
                turns_.push_back(account);
        }
        return ticket;
    }
    return std::nullopt;
}

bool fair_queue::remove(std::uint64_t ticket)
{
    for (auto& [account, queue] : accounts_)
    {
        if (std::erase(queue.tickets, ticket) == 0)
            continue;
        --size_;
        return true;
    }
    return false;
}

} // namespace oleandergrade
