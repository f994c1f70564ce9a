#include <oleandergrade/process/failover/grant_ledger.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{

void grant_ledger::take_over(const std::set<std::string>& predecessors,
                             time_point now)
{
    predecessors_ = predecessors;
    predecessor_bound_ = now + grant_without_store + grant_validity;
    incarnations_.clear();
    for (auto& [vm, bound] : bounds_)
        bound = predecessor_bound_;
}

void grant_ledger::use_members(const std::vector<std::string>& members)
{
    for (const auto& vm : members)
        bounds_.emplace(vm, predecessor_bound_);
}

void grant_ledger::on_granted(const std::string& vm, time_point now)
{
    bounds_[vm] = std::max(bounds_[vm], now + grant_validity);
}

void grant_ledger::on_contact(const std::string& vm, std::uint64_t incarnation,
                              time_point now)
{
    // Once no holder before can grant, what it granted runs out soon.
    if (predecessors_.erase(vm) > 0 && predecessors_.empty())
    {
        predecessor_bound_ = std::min(predecessor_bound_, now + grant_validity);
        for (auto& [member, bound] : bounds_)
            if (!incarnations_.contains(member))
                bound = std::min(bound, predecessor_bound_);
    }
    const auto [known, is_first] = incarnations_.emplace(vm, incarnation);
    // An earlier grant was asked for before this contact.
    if (is_first)
        bounds_[vm] = now + grant_validity;
    else if (std::exchange(known->second, incarnation) != incarnation)
        bounds_[vm] = time_point();
}

time_point grant_ledger::bound_of(const std::string& vm) const
{
    const auto found = bounds_.find(vm);
    return found == bounds_.end() ? predecessor_bound_ : found->second;
}

} // namespace oleandergrade
