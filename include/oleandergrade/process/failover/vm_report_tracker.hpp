/// Tracks, at the leader, the reports and confirmations of the other VMs. Pure
/// logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/process/failover/grant_tracker.hpp>
#include <oleandergrade/process/membership/member_list.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Holds the reports and confirmations that this VM has received from the
/// other VMs since it became the leader.
class vm_report_tracker
{
public:
    /// A VM that reports again after a gap may still report failures from the
    /// time of the gap; its failures are ignored for this long.
    static constexpr milliseconds reconnect_settling_time{1200};
    /// A VM counts as failing to reach a target once its failures have lasted
    /// this long.
    static constexpr milliseconds min_failure_duration{250};
    /// Safety margin: the times that two VMs derive for the same grant from
    /// their clocks differ by less than this.
    static constexpr milliseconds grant_end_margin{100};

    /// Discards all reports and confirmations. To be called when this VM
    /// becomes the leader or another VM does.
    void clear() { vms_.clear(); }
    void on_report(const fleet_report& report, time_point now);
    /// The VM has confirmed that it acts on this record.
    void on_confirmed(const std::string& vm, const primary_record& record);
    /// The VM has told which record of the group it holds, if any.
    void on_inquiry_answered(const std::string& vm, const std::string& group);
    /// Requires new answers of all VMs. To be called when the store was
    /// restored.
    void forget_inquiries();
    /// Whether the VM has told which record of the group it holds.
    bool has_answered_inquiry(const std::string& vm,
                              const std::string& group) const;

    /// Whether the VM has confirmed this record or a newer one.
    bool has_confirmed(const std::string& vm,
                       const primary_record& record) const;
    /// Whether the VM's last report is not older than
    /// `grant_tracker::report_validity`.
    bool is_reporting(const std::string& vm, time_point now) const;
    /// Returns the number of VMs, this one excluded, whose last report is not
    /// older than `grant_tracker::report_validity`.
    std::uint32_t reporting_vms(time_point now) const;
    /// Returns the latest time such that a majority of the members have
    /// answered messages sent then or later. This VM counts as a member that
    /// answers at once. If no majority has answered, the result is the epoch.
    time_point majority_answered_at(std::uint32_t member_count,
                                    time_point now) const;
    /// Returns the number of VMs that have reported without a gap for
    /// `reconnect_settling_time` and have failed to reach the target for
    /// `min_failure_duration`. Failures that began before `valid_from` are
    /// ignored.
    std::size_t vms_failing_to_reach(const std::string& target,
                                     time_point valid_from,
                                     time_point now) const;
    /// Whether every member has confirmed the record or can no longer hold a
    /// valid grant.
    bool is_binding(const primary_record& record, const member_list& members,
                    const grant_tracker& grants, time_point now) const;
    /// Whether every member has told which record of the group it holds, or can
    /// no longer hold a valid grant, and the same is true of VMs whose
    /// registration the store has lost.
    bool is_inquiry_complete(const std::string& group,
                             const member_list& members,
                             const grant_tracker& grants, time_point now) const;

private:
    struct vm_status
    {
        /// When the last report arrived.
        time_point last_report_at;
        /// When this leader sent the grant that the VM has acknowledged last.
        time_point acknowledged_grant_sent_at;
        /// Since when the VM has reported without a gap; the epoch if there
        /// has been no gap since its first report.
        time_point reporting_since;
        /// Targets that the VM failed to reach, from its last report.
        std::vector<failing_target> failing_targets;
        /// Newest record that the VM has confirmed, by group.
        std::map<std::string, primary_record> confirmed_records;
        /// Groups of which the VM has told what it holds.
        std::set<std::string> answered_inquiries;
    };

    std::map<std::string, vm_status> vms_;
};

} // namespace oleandergrade
