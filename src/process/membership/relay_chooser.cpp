#include <oleandergrade/process/membership/relay_chooser.hpp>

namespace oleandergrade
{

void relay_chooser::clear()
{
    choices_by_domain_.clear();
    excluded_until_.clear();
}

void relay_chooser::on_relay_lost(const std::string& address, time_point now)
{
    excluded_until_[address] = now + lost_relay_exclusion;
    for (auto& [domain, chosen] : choices_by_domain_)
        if (chosen.address == address)
            chosen = {};
}

const std::string& relay_chooser::relay_address(
    const std::string& failure_domain, const std::string& leader,
    const member_list& members,
    const std::function<bool(const std::string& vm)>& is_reporting,
    time_point now)
{
    auto& chosen = choices_by_domain_[failure_domain];
    if (now - chosen.reviewed_at < review_interval)
        return chosen.address;
    chosen.reviewed_at = now;
    const auto* current = members.find(chosen.vm);
    if (members.size() >= min_fleet_size_ && current != nullptr &&
        current->address == chosen.address &&
        is_eligible(*current, failure_domain, leader, now) &&
        is_reporting(chosen.vm))
        return chosen.address;
    chosen.vm.clear();
    chosen.address.clear();
    if (failure_domain.empty() || members.size() < min_fleet_size_ ||
        members.domain_size(failure_domain) < min_domain_size)
        return chosen.address;
    const fleet_member* best = nullptr;
    for (const auto& [name, member] : members.all())
    {
        if (!is_eligible(member, failure_domain, leader, now) ||
            !is_reporting(name))
            continue;
        // The list is in alphabetical order, which decides between equals.
        if (best == nullptr ||
            member.processor_millicores > best->processor_millicores)
            best = &member;
    }
    if (best != nullptr)
    {
        chosen.vm = best->name;
        chosen.address = best->address;
    }
    return chosen.address;
}

bool relay_chooser::is_eligible(const fleet_member& member,
                                const std::string& failure_domain,
                                const std::string& leader, time_point now) const
{
    const auto excluded = excluded_until_.find(member.address);
    return member.failure_domain == failure_domain && member.name != leader &&
           (excluded == excluded_until_.end() || now >= excluded->second);
}

} // namespace oleandergrade
