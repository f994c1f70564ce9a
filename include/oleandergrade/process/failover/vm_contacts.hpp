/// What the duty's holder hears from the other VMs. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/process/failover/grant_ledger.hpp>
#include <oleandergrade/process/membership/member_list.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Reports and confirmations of the VMs since this one took the duty over.
class vm_contacts
{
public:
    /// A VM that was out of touch tells of old failures for this long.
    static constexpr milliseconds settling_time{1200};
    /// A VM counts a target as failing once it failed this long.
    static constexpr milliseconds trouble_time{250};
    /// Clocks of VMs tell the time of a grant apart by less than this.
    static constexpr milliseconds bound_margin{100};

    /// Another VM holds the duty, or this one has just taken it over.
    void clear() { contacts_.clear(); }
    void on_report(const fleet_report& report, time_point now);
    /// The VM acts on this revision of a group's record.
    void on_confirmed(const std::string& vm, const primary_record& record);

    bool has_confirmed(const std::string& vm,
                       const primary_record& record) const;
    /// VMs whose reports arrived lately.
    std::uint32_t reporting(time_point now) const;
    /// The latest moment such that most members have answered to what was sent
    /// at it or later; this VM counts as one that answers at once.
    time_point most_answered(std::uint32_t members, time_point now) const;
    /// VMs in touch that have failed to reach a target for a while.
    std::size_t failing_to_reach(const std::string& target,
                                 time_point now) const;
    /// Whether every member has confirmed the record, or can hold no valid
    /// grant any more.
    bool is_binding(const primary_record& record, const member_list& members,
                    const grant_ledger& ledger, time_point now) const;

private:
    struct contact
    {
        time_point reported_at;
        /// When the grant was sent that its last report answers to.
        time_point echoed_at;
        /// Since when it has reported without a gap.
        time_point in_touch_since;
        std::vector<target_trouble> troubles;
        /// Revisions that the VM has confirmed, by group.
        std::map<std::string, std::uint64_t> confirmed;
    };

    std::map<std::string, contact> contacts_;
};

} // namespace oleandergrade
