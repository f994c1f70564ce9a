#include <oleandergrade/process/fair_queue.hpp>

#include <algorithm>

namespace oleandergrade
{

fair_queue::fair_queue(fair_queue_limits limits) : limits_(limits) {}

bool fair_queue::push(std::uint64_t ticket, const std::string& account,
                      std::uint64_t weight, time_point deadline)
{
    auto& queue = accounts_[account];
    if (size_ >= limits_.total || queue.entries.size() >= limits_.per_account)
        return false;
    queue.weight = std::max<std::uint64_t>(weight, 1);
    if (!queue.has_turn)
    {
        queue.has_turn = true;
        queue.deficit = 0;
        turns_.push_back(account);
    }
    queue.entries.push_back({ticket, deadline});
    ++size_;
    return true;
}

std::optional<std::uint64_t> fair_queue::pop()
{
    while (!turns_.empty())
    {
        auto& queue = accounts_[turns_.front()];
        if (queue.entries.empty())
        {
            accounts_.erase(turns_.front());
            turns_.pop_front();
            continue;
        }
        if (queue.deficit == 0)
            queue.deficit = queue.weight;
        const auto ticket = queue.entries.front().ticket;
        queue.entries.pop_front();
        --size_;
        --queue.deficit;
        if (queue.entries.empty() || queue.deficit == 0)
        {
            const auto account = turns_.front();
            turns_.pop_front();
            if (queue.entries.empty())
                accounts_.erase(account);
            else
                turns_.push_back(account);
        }
        return ticket;
    }
    return std::nullopt;
}

std::vector<std::uint64_t> fair_queue::remove_expired(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (auto& [account, queue] : accounts_)
    {
        std::erase_if(queue.entries,
                      [&](const entry& waiting)
                      {
                          if (waiting.deadline > now)
                              return false;
                          expired.push_back(waiting.ticket);
                          return true;
                      });
    }
    size_ -= expired.size();
    return expired;
}

bool fair_queue::remove(std::uint64_t ticket)
{
    for (auto& [account, queue] : accounts_)
    {
        const auto removed =
            std::erase_if(queue.entries, [&](const entry& waiting)
                          { return waiting.ticket == ticket; });
        if (removed == 0)
            continue;
        --size_;
        return true;
    }
    return false;
}

std::size_t fair_queue::size_of(const std::string& account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.entries.size();
}

} // namespace oleandergrade
