/// What the duty's holder knows of the grants that VMs may hold. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Decides when a change of a primary's record binds every VM: once each one
/// has confirmed it, is known to be down, or can hold no valid grant any more.
class grant_ledger
{
public:
    /// How long a grant holds. Longer than it takes to replace a holder that
    /// is lost, so that its loss stops nobody.
    static constexpr milliseconds grant_validity{3000};
    /// How long the holder goes on granting after the store last answered it.
    /// Covers most outages of the store; a successor has to wait it out for
    /// VMs that it cannot reach.
    static constexpr milliseconds grant_without_store{4000};

    /// The duty was taken over at `now`. VMs may hold grants of the holders
    /// before, whose names are given.
    void take_over(const std::set<std::string>& predecessors, time_point now);

    /// A VM was told of the members of the fleet.
    void use_members(const std::vector<std::string>& members);
    /// A grant is sent to a VM now.
    void on_granted(const std::string& vm, time_point now);
    /// A run of the VM's process has seen the holder's token, and takes no
    /// further grant of the holder before. A new run starts without a grant.
    void on_contact(const std::string& vm, std::uint64_t incarnation,
                    time_point now);

    /// Until when a VM that confirms nothing may use primaries.
    time_point bound_of(const std::string& vm) const;
    /// Members in the order of their names.
    const std::map<std::string, time_point>& bounds() const { return bounds_; }

private:
    /// Holders before that may still grant.
    std::set<std::string> predecessors_;
    time_point predecessor_bound_;
    /// Until when each member may hold a valid grant.
    std::map<std::string, time_point> bounds_;
    /// The run of each VM's process that was in contact last.
    std::map<std::string, std::uint64_t> incarnations_;
};

} // namespace oleandergrade
