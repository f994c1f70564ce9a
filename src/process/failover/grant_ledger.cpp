#include <oleandergrade/process/failover/grant_ledger.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{

milliseconds grant_ledger::validity(const duty_election& election,
                                    std::uint64_t seen_token,
                                    time_point majority_answered_at,
                                    time_point now)
{
    if (!election.is_holder() || election.token() < seen_token)
        return milliseconds(0);
    auto end = now;
    if (election.holds(now))
        end = election.confirmed_at() + grant_validity;
    // Without the store, a majority of recent answers shows that there is no
    // successor yet: members that follow a successor no longer answer.
    if (now < election.confirmed_at() + grant_without_store &&
        now < majority_answered_at + report_validity)
        end = std::max(end, majority_answered_at + grant_validity);
    return std::clamp(std::chrono::duration_cast<milliseconds>(end - now),
                      milliseconds(0), grant_validity);
}

void grant_ledger::take_over(time_point last_grant_at, time_point now)
{
    taken_at_ = now;
    predecessor_heard_at_ = last_grant_at;
    predecessor_bound_ = now + grant_without_store + grant_validity;
    incarnations_.clear();
    for (auto& [vm, grant_end] : bounds_)
        grant_end = predecessor_bound_;
}

void grant_ledger::use_members(const std::vector<std::string>& members)
{
    members_ = members.size();
    for (const auto& vm : members)
        bounds_.emplace(vm, predecessor_bound_);
}

void grant_ledger::on_granted(const std::string& vm, milliseconds validity,
                              time_point now)
{
    bounds_[vm] = std::max(bounds_[vm], now + validity);
}

void grant_ledger::on_contact(const std::string& vm, std::uint64_t incarnation,
                              milliseconds other_leader_grant_age,
                              time_point now)
{
    const auto [known, is_first] = incarnations_.emplace(vm, incarnation);
    // The VM requested the grant that it holds before this acknowledgement, and
    // the validity of a grant counts from its request.
    if (is_first)
        bounds_[vm] = now - other_leader_grant_age + grant_validity;
    else if (std::exchange(known->second, incarnation) != incarnation)
        bounds_[vm] = time_point();
    if (is_first)
        predecessor_heard_at_ =
            std::max(predecessor_heard_at_, now - other_leader_grant_age);
    // This VM counts as one of the members that acknowledge the token.
    if (!is_first || (incarnations_.size() + 1) * 2 < members_)
        return;
    predecessor_bound_ = std::min(
        predecessor_bound_, std::max(taken_at_ + grant_past_lease,
                                     predecessor_heard_at_ + grant_validity));
    for (auto& [member, grant_end] : bounds_)
        if (!incarnations_.contains(member))
            grant_end = std::min(grant_end, predecessor_bound_);
}

time_point grant_ledger::bound_of(const std::string& vm) const
{
    const auto found = bounds_.find(vm);
    return found == bounds_.end() ? predecessor_bound_ : found->second;
}

} // namespace oleandergrade
