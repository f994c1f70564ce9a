/// What the duty's holder knows of the grants that VMs may hold. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/membership/duty_election.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Decides when a change of a primary's record binds every VM: once each one
/// has confirmed it, or can hold no valid grant any more.
///
/// A grant ends a fixed time after what it rests on: the last renewal of the
/// lease, or, if the store does not answer, the last moment that most members
/// have answered to. So a successor knows that grants under the lease end
/// `grant_past_lease` after it took over, and, once half of the members have
/// seen its token, that the others end `grant_validity` after those members
/// heard from the holder before.
class grant_ledger
{
public:
    /// How long a grant holds. A little longer than it takes to replace a
    /// holder that is lost, so that its loss stops nobody.
    static constexpr milliseconds grant_validity{1500};
    /// Grants under a lease end this long after it at the latest.
    static constexpr milliseconds grant_past_lease{
        grant_validity - duty_election::lease_lifetime};
    /// How long the holder goes on granting after the store last answered it.
    /// Covers most outages of the store.
    static constexpr milliseconds grant_without_store{6000};
    /// A member whose last report is older does not count as reporting. A
    /// report is as old as the grant that it answers to: what a cut held up for
    /// long must not count as new.
    static constexpr milliseconds report_validity{800};

    /// How long a grant of this VM holds from now on; zero if it may not grant.
    /// `seen_token` is the highest token that it has seen; most members have
    /// answered to what it sent at `most_answered`.
    static milliseconds validity(const duty_election& duty,
                                 std::uint64_t seen_token,
                                 time_point most_answered, time_point now);

    /// The duty was taken over at `now`. VMs may hold grants of the holders
    /// before; this one got its last such grant at `heard_at`.
    void take_over(time_point heard_at, time_point now);

    /// A VM was told of the members of the fleet.
    void use_members(const std::vector<std::string>& members);
    /// A grant that lasts this long is sent to a VM now.
    void on_granted(const std::string& vm, milliseconds validity,
                    time_point now);
    /// A run of the VM's process has seen the holder's token, and takes no
    /// further grant of a holder before; it got the last one `grant_age` ago.
    /// A new run starts without a grant.
    void on_contact(const std::string& vm, std::uint64_t incarnation,
                    milliseconds grant_age, time_point now);

    /// Until when a VM that confirms nothing may use primaries.
    time_point bound_of(const std::string& vm) const;

private:
    time_point taken_at_;
    time_point predecessor_bound_;
    /// When a holder before granted to a member in contact last.
    time_point predecessor_heard_at_;
    /// Until when each member may hold a valid grant.
    std::map<std::string, time_point> bounds_;
    /// The run of each VM's process that was in contact last.
    std::map<std::string, std::uint64_t> incarnations_;
    std::size_t members_ = 0;
};

} // namespace oleandergrade
