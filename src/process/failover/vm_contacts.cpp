#include <oleandergrade/process/failover/vm_contacts.hpp>

#include <algorithm>
#include <functional>

namespace oleandergrade
{

void vm_contacts::on_report(const fleet_report& report, time_point now)
{
    auto& known = contacts_[report.vm];
    const bool is_first = known.reported_at == time_point();
    if (!is_first && now - known.reported_at >= grant_ledger::report_validity)
        known.in_touch_since = now;
    known.reported_at = now;
    const time_point echoed{std::chrono::nanoseconds(report.echo)};
    // The echoed time stamp may come from the clock of a previous leader, which
    // may be ahead of this VM's clock.
    if (echoed <= now)
        known.echoed_at = std::max(known.echoed_at, echoed);
    known.troubles = report.troubles;
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

time_point vm_contacts::most_answered(std::uint32_t members,
                                      time_point now) const
{
    const std::size_t others = members / 2;
    if (others == 0)
        return now;
    if (contacts_.size() < others)
        return time_point();
    std::vector<time_point> answered;
    for (const auto& [vm, known] : contacts_)
        answered.push_back(known.echoed_at);
    const auto least =
        answered.begin() + static_cast<std::ptrdiff_t>(others - 1);
    std::nth_element(answered.begin(), least, answered.end(), std::greater<>());
    return *least;
}

std::size_t vm_contacts::failing_to_reach(const std::string& target,
                                          time_point now) const
{
    std::size_t count = 0;
    for (const auto& [vm, known] : contacts_)
    {
        if (now - known.reported_at >= grant_ledger::report_validity ||
            now - known.in_touch_since < settling_time)
            continue;
        count += static_cast<std::size_t>(
            std::count_if(known.troubles.begin(), known.troubles.end(),
                          [&](const target_trouble& trouble) {
                              return trouble.target == target &&
                                     trouble.lasting >= trouble_time;
                          }));
    }
    return count;
}

bool vm_contacts::is_binding(const primary_record& record,
                             const member_list& members,
                             const grant_ledger& ledger, time_point now) const
{
    return std::all_of(members.all().begin(), members.all().end(),
                       [&](const auto& member)
                       {
                           return has_confirmed(member.first, record) ||
                                  now >= ledger.bound_of(member.first) +
                                             bound_margin;
                       });
}

} // namespace oleandergrade
