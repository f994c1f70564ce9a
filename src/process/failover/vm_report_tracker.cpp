#include <oleandergrade/process/failover/vm_report_tracker.hpp>

#include <algorithm>
#include <functional>

namespace oleandergrade
{

void vm_report_tracker::on_report(const fleet_report& report, time_point now)
{
    auto& status = vms_[report.vm];
    const bool is_first = status.last_report_at == time_point();
    if (!is_first &&
        now - status.last_report_at >= grant_tracker::report_validity)
        status.reporting_since = now;
    status.last_report_at = now;
    const time_point echoed_stamp{
        std::chrono::nanoseconds(report.echoed_stamp)};
    // The echoed time stamp may come from the clock of a previous leader,
    // which may be ahead of this VM's clock.
    if (echoed_stamp <= now)
        status.acknowledged_grant_sent_at =
            std::max(status.acknowledged_grant_sent_at, echoed_stamp);
    status.failing_targets = report.failing_targets;
}

void vm_report_tracker::on_confirmed(const std::string& vm,
                                     const primary_record& record)
{
    auto& confirmed = vms_[vm].confirmed_records[record.group];
    if (is_newer(record, confirmed))
        confirmed = record;
}

void vm_report_tracker::on_inquiry_answered(const std::string& vm,
                                            const std::string& group)
{
    vms_[vm].answered_inquiries.insert(group);
}

void vm_report_tracker::forget_inquiries()
{
    for (auto& [vm, status] : vms_)
        status.answered_inquiries.clear();
}

bool vm_report_tracker::has_answered_inquiry(const std::string& vm,
                                             const std::string& group) const
{
    const auto found = vms_.find(vm);
    return found != vms_.end() &&
           found->second.answered_inquiries.contains(group);
}

bool vm_report_tracker::has_confirmed(const std::string& vm,
                                      const primary_record& record) const
{
    const auto found = vms_.find(vm);
    if (found == vms_.end())
        return false;
    const auto confirmed = found->second.confirmed_records.find(record.group);
    return confirmed != found->second.confirmed_records.end() &&
           !is_newer(record, confirmed->second);
}

bool vm_report_tracker::is_reporting(const std::string& vm,
                                     time_point now) const
{
    const auto found = vms_.find(vm);
    return found != vms_.end() &&
           now - found->second.last_report_at < grant_tracker::report_validity;
}

std::uint32_t vm_report_tracker::reporting_vms(time_point now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(vms_.begin(), vms_.end(),
                      [&](const auto& entry)
                      {
                          return now - entry.second.last_report_at <
                                 grant_tracker::report_validity;
                      }));
}

time_point vm_report_tracker::majority_answered_at(std::uint32_t member_count,
                                                   time_point now) const
{
    const std::size_t majority_without_self = member_count / 2;
    if (majority_without_self == 0)
        return now;
    if (vms_.size() < majority_without_self)
        return time_point();
    std::vector<time_point> answered_at;
    for (const auto& [vm, status] : vms_)
        answered_at.push_back(status.acknowledged_grant_sent_at);
    const auto threshold = answered_at.begin() + static_cast<std::ptrdiff_t>(
                                                     majority_without_self - 1);
    std::nth_element(answered_at.begin(), threshold, answered_at.end(),
                     std::greater<>());
    return *threshold;
}

std::size_t vm_report_tracker::vms_failing_to_reach(const std::string& target,
                                                    time_point valid_from,
                                                    time_point now) const
{
    std::size_t count = 0;
    for (const auto& [vm, status] : vms_)
    {
        if (now - status.last_report_at >= grant_tracker::report_validity ||
            now - status.reporting_since < reconnect_settling_time)
            continue;
        const auto last_report_at = status.last_report_at;
        count += static_cast<std::size_t>(std::count_if(
            status.failing_targets.begin(), status.failing_targets.end(),
            [&](const failing_target& failure)
            {
                return failure.target == target &&
                       failure.failing_for >= min_failure_duration &&
                       last_report_at - failure.failing_for >= valid_from;
            }));
    }
    return count;
}

bool vm_report_tracker::is_binding(const primary_record& record,
                                   const member_list& members,
                                   const grant_tracker& grants,
                                   time_point now) const
{
    return std::all_of(members.all().begin(), members.all().end(),
                       [&](const auto& member)
                       {
                           return has_confirmed(member.first, record) ||
                                  now >= grants.latest_grant_end(member.first) +
                                             grant_end_margin;
                       });
}

bool vm_report_tracker::is_inquiry_complete(const std::string& group,
                                            const member_list& members,
                                            const grant_tracker& grants,
                                            time_point now) const
{
    return now >= grants.predecessor_grant_end() + grant_end_margin &&
           std::all_of(members.all().begin(), members.all().end(),
                       [&](const auto& member)
                       {
                           return has_answered_inquiry(member.first, group) ||
                                  now >= grants.latest_grant_end(member.first) +
                                             grant_end_margin;
                       });
}

} // namespace oleandergrade
