/// Chooses, at the leader, the VMs that relay reports. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/membership/member_list.hpp>

#include <functional>
#include <map>
#include <string>

namespace oleandergrade
{

/// Chooses one VM in each large failure domain, which gathers the reports of
/// the domain and exchanges one message with the leader for all of them.
///
/// A relay has no authority: it passes on reports and grants, and a VM whose
/// relay does not answer reports to the leader. Two relays in one domain do no
/// harm, so that no agreement is needed.
class relay_chooser
{
public:
    /// `min_fleet_size`: in smaller fleets no VM relays, and all VMs report to
    /// the leader themselves.
    explicit relay_chooser(std::size_t min_fleet_size)
        : min_fleet_size_(min_fleet_size)
    {
    }

    /// The same holds for the VMs of smaller failure domains.
    static constexpr std::size_t min_domain_size{4};
    /// A relay that has not answered a VM is not chosen again for this long.
    static constexpr milliseconds lost_relay_exclusion{5000};
    /// How often a choice is examined.
    static constexpr milliseconds review_interval{100};

    /// Forgets all choices; to be called when this VM becomes the leader.
    void clear();
    /// A VM has got no answer from the relay at this address.
    void on_relay_lost(const std::string& address, time_point now);
    /// Returns the address of the relay for a failure domain, or an empty text
    /// if its VMs are to report to the leader. The relay is the strongest VM of
    /// the domain, other than the leader, that reports; a relay is kept as long
    /// as it reports.
    const std::string& relay_address(
        const std::string& failure_domain, const std::string& leader,
        const member_list& members,
        const std::function<bool(const std::string& vm)>& is_reporting,
        time_point now);

private:
    struct choice
    {
        /// Empty if there is none.
        std::string vm;
        std::string address;
        time_point reviewed_at;
    };

    /// Whether the VM may relay for a failure domain.
    bool is_eligible(const fleet_member& member,
                     const std::string& failure_domain,
                     const std::string& leader, time_point now) const;

    std::size_t min_fleet_size_;
    std::map<std::string, choice> choices_by_domain_;
    /// Until when relays are excluded, by address.
    std::map<std::string, time_point> excluded_until_;
};

} // namespace oleandergrade
