#include <oleandergrade/process/failover/grant_tracker.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{

milliseconds grant_tracker::allowed_validity(const leader_election& election,
                                             std::uint64_t observed_token,
                                             time_point majority_answered_at,
                                             time_point now)
{
    if (!election.has_complete_view() || election.token() < observed_token)
        return milliseconds(0);
    auto end = now;
    if (election.has_valid_lease(now))
        end = election.lease_confirmed_at() + max_grant_validity;
    // Without the store, a majority of recent answers shows that there is no
    // successor yet: members that follow a successor no longer answer.
    if (now < election.lease_confirmed_at() + store_outage_tolerance &&
        now < majority_answered_at + report_validity)
        end = std::max(end, majority_answered_at + max_grant_validity);
    return std::clamp(std::chrono::duration_cast<milliseconds>(end - now),
                      milliseconds(0), max_grant_validity);
}

void grant_tracker::on_elected(time_point last_grant_at, time_point now)
{
    elected_at_ = now;
    last_predecessor_grant_at_ = last_grant_at;
    latest_predecessor_grant_end_ =
        now + store_outage_tolerance + max_grant_validity;
    acknowledged_incarnations_.clear();
    for (auto& [vm, grant_end] : latest_grant_ends_)
        grant_end = latest_predecessor_grant_end_;
}

void grant_tracker::update_members(const std::vector<std::string>& members)
{
    member_count_ = members.size();
    for (const auto& vm : members)
        latest_grant_ends_.emplace(vm, latest_predecessor_grant_end_);
}

void grant_tracker::on_granted(const std::string& vm, milliseconds validity,
                               time_point now)
{
    latest_grant_ends_[vm] = std::max(latest_grant_ends_[vm], now + validity);
}

void grant_tracker::on_token_acknowledged(const std::string& vm,
                                          std::uint64_t incarnation,
                                          milliseconds other_leader_grant_age,
                                          time_point now)
{
    const auto [acknowledged, is_first] =
        acknowledged_incarnations_.emplace(vm, incarnation);
    // The VM requested the grant that it holds before this acknowledgement, and
    // the validity of a grant counts from its request.
    if (is_first)
        latest_grant_ends_[vm] =
            now - other_leader_grant_age + max_grant_validity;
    else if (std::exchange(acknowledged->second, incarnation) != incarnation)
        latest_grant_ends_[vm] = time_point();
    if (is_first)
        last_predecessor_grant_at_ =
            std::max(last_predecessor_grant_at_, now - other_leader_grant_age);
    // This VM counts as one of the members that acknowledge the token.
    if (!is_first ||
        (acknowledged_incarnations_.size() + 1) * 2 < member_count_)
        return;
    latest_predecessor_grant_end_ =
        std::min(latest_predecessor_grant_end_,
                 std::max(elected_at_ + max_grant_time_past_lease,
                          last_predecessor_grant_at_ + max_grant_validity));
    for (auto& [member, grant_end] : latest_grant_ends_)
        if (!acknowledged_incarnations_.contains(member))
            grant_end = std::min(grant_end, latest_predecessor_grant_end_);
}

time_point grant_tracker::latest_grant_end(const std::string& vm) const
{
    const auto found = latest_grant_ends_.find(vm);
    return found == latest_grant_ends_.end() ? latest_predecessor_grant_end_
                                             : found->second;
}

} // namespace oleandergrade
