/// Tracks, at the leader, until when each VM may hold a valid grant. Pure
/// logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/membership/leader_election.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Decides when a change of a primary record is binding for every VM: as soon
/// as each VM has either confirmed the record or can no longer hold a valid
/// grant. A grant is the leader's time-limited permission to use primaries.
///
/// A grant ends a fixed time after the event that justified it: the last
/// renewal of the leader's lease or, if the store does not answer, the latest
/// time such that a majority of the members have answered messages sent then
/// or later. A newly elected leader therefore has two bounds for the grants
/// of its predecessors. Grants justified by the lease end at most
/// `max_grant_time_past_lease` after its election. Once half of the members,
/// itself included, have acknowledged its token, no predecessor can reach a
/// majority any more, and the remaining grants end `max_grant_validity` after
/// the last grant that any of those members received from a predecessor.
class grant_tracker
{
public:
    /// Maximum time for which a grant is valid. Slightly longer than the
    /// replacement of a lost leader takes, so that VMs keep a valid grant
    /// during the replacement.
    static constexpr milliseconds max_grant_validity{1500};
    /// Maximum time for which a grant justified by a lease remains valid after
    /// the end of that lease.
    static constexpr milliseconds max_grant_time_past_lease{
        max_grant_validity - leader_election::lease_lifetime};
    /// Time for which the leader continues to issue grants after the last
    /// answer of the store. Long enough for most outages of the store.
    static constexpr milliseconds store_outage_tolerance{6000};
    /// A member counts as reporting if its last report is not older than this.
    /// The age of a report is the age of the grant that it acknowledges, so
    /// that a report that was delayed for long by a network partition does not
    /// count as recent.
    static constexpr milliseconds report_validity{800};

    /// Returns how long a grant that this VM issues at `now` may be valid, or
    /// zero if this VM may not issue grants, for instance because its view of
    /// the members and the primary records is not complete yet.
    /// `observed_token` is the highest fencing token that this VM has observed.
    /// A majority of the members have answered messages that this VM sent at
    /// `majority_answered_at` or later.
    static milliseconds allowed_validity(const leader_election& election,
                                         std::uint64_t observed_token,
                                         time_point majority_answered_at,
                                         time_point now);

    /// This VM was elected leader at `now`. Other VMs may still hold grants of
    /// previous leaders; this VM received its own last such grant at
    /// `last_grant_at`.
    void on_elected(time_point last_grant_at, time_point now);

    /// Updates the list of fleet members. A new member is assumed to hold a
    /// grant of a previous leader; members that are no longer listed are kept.
    void update_members(const std::vector<std::string>& members);
    /// A grant that is valid for `validity` is being sent to the VM.
    void on_granted(const std::string& vm, milliseconds validity,
                    time_point now);
    /// The VM has acknowledged this leader's token and accepts no further
    /// grants of previous leaders; it received the last of those
    /// `other_leader_grant_age` ago. `incarnation` identifies the VM's process:
    /// a restarted process holds no grant.
    void on_token_acknowledged(const std::string& vm, std::uint64_t incarnation,
                               milliseconds other_leader_grant_age,
                               time_point now);

    /// Returns the latest time at which a VM that does not confirm a record
    /// may still hold a valid grant.
    time_point latest_grant_end(const std::string& vm) const;
    /// Returns the latest time at which a VM that is not listed as a member may
    /// still hold a valid grant of a previous leader.
    time_point predecessor_grant_end() const
    {
        return latest_predecessor_grant_end_;
    }

private:
    time_point elected_at_;
    /// End of the last grant that a previous leader can have issued.
    time_point latest_predecessor_grant_end_;
    /// When a previous leader last issued a grant to this VM or to a member
    /// that has acknowledged this leader's token.
    time_point last_predecessor_grant_at_;
    /// Latest time at which each member may hold a valid grant, by VM.
    std::map<std::string, time_point> latest_grant_ends_;
    /// Incarnation that last acknowledged this leader's token, by VM.
    std::map<std::string, std::uint64_t> acknowledged_incarnations_;
    std::size_t member_count_ = 0;
};

} // namespace oleandergrade
