#include <oleandergrade/process/forwarding/holder_selector.hpp>

#include <algorithm>

namespace oleandergrade
{

bool holder_selector::set_table(const holder_table& table)
{
    if (table.version <= table_.version)
        return false;
    table_ = table;
    return true;
}

statement_destination holder_selector::choose(const std::string& group,
                                              const std::string& account,
                                              time_point now) const
{
    const auto found = table_.groups.find(group);
    if (found == table_.groups.end() || found->second.empty())
        return {};
    const auto& slices = found->second;
    const auto& slice = slices[slice_of(account, slices.size())];
    for (const auto* address : {&slice.holder, &slice.standby})
    {
        if (address->empty())
            continue;
        if (*address == own_address_)
            return {"", true};
        if (!is_avoided(*address, now))
            return {*address, false};
    }
    return {};
}

void holder_selector::record_failure(const std::string& address, time_point now)
{
    auto& failure = failures_[address];
    // Several statements that fail at the same time are one failure.
    if (now < failure.avoid_until)
        return;
    failure.avoidance = std::clamp<milliseconds>(
        failure.avoidance * 2, initial_avoidance, max_avoidance);
    failure.avoid_until = now + failure.avoidance;
}

void holder_selector::record_success(const std::string& address)
{
    failures_.erase(address);
}

bool holder_selector::is_avoided(const std::string& address,
                                 time_point now) const
{
    const auto found = failures_.find(address);
    return found != failures_.end() && now < found->second.avoid_until;
}

} // namespace oleandergrade
