/// The failure domains that operators have ordered to be evacuated. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Failure domains whose targets get no more statements, as this VM has read
/// them in the store or learnt them from other VMs. A domain counts as
/// evacuated if either source names it, so that a lost answer of one source
/// does not delay the order.
class evacuated_domains
{
public:
    /// How long a primary of an evacuated domain still gets statements, so that
    /// they need not wait for its replacement, and how long open transactions
    /// may continue. No statement may reach the domain 5 s after the order was
    /// stored. A VM receives it within 2.5 s, also if an answer of the store is
    /// lost, and opening a session for a statement takes less than 1 s.
    static constexpr milliseconds hand_over_time{1500};

    /// Replace the domains that the store shows; return whether the evacuated
    /// domains have changed.
    bool set_stored(const std::set<std::string>& domains, time_point now);
    bool set_stored(const std::string& domain, bool is_evacuated,
                    time_point now);
    /// Replaces the domains that the leader's grants name; returns whether the
    /// evacuated domains have changed.
    bool set_granted(const std::vector<std::string>& domains, time_point now);
    /// Adds domains that another VM than the leader names. They count as
    /// evacuated until the next grant.
    bool add_reported(const std::vector<std::string>& domains, time_point now);

    bool empty() const { return since_.empty(); }
    bool contains(const std::string& domain) const
    {
        return since_.contains(domain);
    }
    /// Returns whether the time for transactions and for the replacement of
    /// primaries in this domain is over.
    bool must_be_empty(const std::string& domain, time_point now) const;
    /// Returns all evacuated domains in alphabetical order.
    std::vector<std::string> names() const;
    /// Returns those that the store shows.
    const std::set<std::string>& stored() const { return stored_; }

private:
    /// Returns whether the union of both sources has changed.
    bool update(time_point now);

    std::set<std::string> stored_;
    std::set<std::string> granted_;
    /// Since when each domain has been known as evacuated.
    std::map<std::string, time_point> since_;
};

} // namespace oleandergrade
