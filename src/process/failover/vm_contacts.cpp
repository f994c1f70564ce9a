#include <oleandergrade/process/failover/vm_contacts.hpp>

#include <algorithm>
#include <functional>

namespace oleandergrade
{

void vm_contacts::on_report(const fleet_report& report, time_point now)
{
    auto& status = contacts_[report.vm];
    const bool is_first = status.reported_at == time_point();
    if (!is_first && now - status.reported_at >= grant_ledger::report_validity)
        status.in_touch_since = now;
    status.reported_at = now;
    const time_point echoed_stamp{std::chrono::nanoseconds(report.echo)};
    // The echoed time stamp may come from the clock of a previous leader,
    // which may be ahead of this VM's clock.
    if (echoed_stamp <= now)
        status.echoed_at = std::max(status.echoed_at, echoed_stamp);
    status.troubles = report.troubles;
}

void vm_contacts::on_confirmed(const std::string& vm,
                               const primary_record& record)
{
    auto& confirmed = contacts_[vm].confirmed[record.group];
    confirmed = std::max(confirmed, record.revision);
}

bool vm_contacts::has_confirmed(const std::string& vm,
                                const primary_record& record) const
{
    const auto found = contacts_.find(vm);
    if (found == contacts_.end())
        return false;
    const auto confirmed = found->second.confirmed.find(record.group);
    return confirmed != found->second.confirmed.end() &&
           confirmed->second >= record.revision;
}

std::uint32_t vm_contacts::reporting(time_point now) const
{
    return static_cast<std::uint32_t>(
        std::count_if(contacts_.begin(), contacts_.end(),
                      [&](const auto& entry) {
                          return now - entry.second.reported_at <
                                 grant_ledger::report_validity;
                      }));
}

time_point vm_contacts::most_answered(std::uint32_t member_count,
                                      time_point now) const
{
    const std::size_t majority_without_self = member_count / 2;
    if (majority_without_self == 0)
        return now;
    if (contacts_.size() < majority_without_self)
        return time_point();
    std::vector<time_point> answered_at;
    for (const auto& [vm, status] : contacts_)
        answered_at.push_back(status.echoed_at);
    const auto threshold = answered_at.begin() + static_cast<std::ptrdiff_t>(
                                                     majority_without_self - 1);
    std::nth_element(answered_at.begin(), threshold, answered_at.end(),
                     std::greater<>());
    return *threshold;
}

std::size_t vm_contacts::failing_to_reach(const std::string& target,
                                          time_point now) const
{
    std::size_t count = 0;
    for (const auto& [vm, status] : contacts_)
    {
        if (now - status.reported_at >= grant_ledger::report_validity ||
            now - status.in_touch_since < settling_time)
            continue;
        count += static_cast<std::size_t>(
            std::count_if(status.troubles.begin(), status.troubles.end(),
                          [&](const target_trouble& failure) {
                              return failure.target == target &&
                                     failure.lasting >= trouble_time;
                          }));
    }
    return count;
}

bool vm_contacts::is_binding(const primary_record& record,
                             const member_list& members,
                             const grant_ledger& grants, time_point now) const
{
    return std::all_of(members.all().begin(), members.all().end(),
                       [&](const auto& member)
                       {
                           return has_confirmed(member.first, record) ||
                                  now >= grants.bound_of(member.first) +
                                             bound_margin;
                       });
}

} // namespace oleandergrade
