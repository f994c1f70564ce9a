#include <oleandergrade/process/failover/grant_ledger.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{

// While the store does not answer, the holder goes on as long as most VMs
// report to it: those that have turned to a successor do not.
bool grant_ledger::may_grant(const duty_election& duty,
                             std::uint64_t seen_token,
                             std::uint32_t with_holder, std::uint32_t members,
                             time_point now)
{
    if (!duty.is_holder() || duty.token() < seen_token)
        return false;
    if (duty.holds(now))
        return true;
    return (with_holder + 1) * 2 > members &&
           now < duty.confirmed_at() + grant_without_store;
}

void grant_ledger::take_over(time_point heard_at, time_point now)
{
    taken_at_ = now;
    predecessor_heard_at_ = heard_at;
    predecessor_bound_ = now + grant_without_store + grant_validity;
    incarnations_.clear();
    for (auto& [vm, bound] : bounds_)
        bound = predecessor_bound_;
}

void grant_ledger::use_members(const std::vector<std::string>& members)
{
    members_ = members.size();
    for (const auto& vm : members)
        bounds_.emplace(vm, predecessor_bound_);
}

void grant_ledger::on_granted(const std::string& vm, time_point now)
{
    bounds_[vm] = std::max(bounds_[vm], now + grant_validity);
}

void grant_ledger::on_contact(const std::string& vm, std::uint64_t incarnation,
                              milliseconds grant_age, time_point now)
{
    const auto [known, is_first] = incarnations_.emplace(vm, incarnation);
    // An earlier grant was asked for before this contact.
    if (is_first)
        bounds_[vm] = now + grant_validity;
    else if (std::exchange(known->second, incarnation) != incarnation)
        bounds_[vm] = time_point();
    if (is_first)
        predecessor_heard_at_ =
            std::max(predecessor_heard_at_, now - grant_age);
    // This VM itself counts as well.
    if (!is_first || (incarnations_.size() + 1) * 2 < members_)
        return;
    // A holder before granted under its lease, which ended before this one
    // began, or while it heard from most members.
    const auto last_grant =
        std::max(taken_at_, predecessor_heard_at_ + report_validity);
    predecessor_bound_ =
        std::min(predecessor_bound_, last_grant + grant_validity);
    for (auto& [member, bound] : bounds_)
        if (!incarnations_.contains(member))
            bound = std::min(bound, predecessor_bound_);
}

time_point grant_ledger::bound_of(const std::string& vm) const
{
    const auto found = bounds_.find(vm);
    return found == bounds_.end() ? predecessor_bound_ : found->second;
}

} // namespace oleandergrade
