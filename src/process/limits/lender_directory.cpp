#include <oleandergrade/process/limits/lender_directory.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{

lender_directory::lender_directory(std::string own_address,
                                   std::string failure_domain)
    : own_address_(std::move(own_address)),
      failure_domain_(std::move(failure_domain))
{
}

bool lender_directory::apply(const lender_table& table)
{
    if (table.version <= lenders_.table().version)
        return false;
    lenders_ = account_lenders(table);
    // The addresses of former lenders are not asked again.
    std::erase_if(avoided_,
                  [&](const auto& entry)
                  {
                      return std::none_of(
                          table.lenders.begin(), table.lenders.end(),
                          [&](const lender& listed)
                          { return listed.address == entry.first; });
                  });
    return true;
}

std::vector<std::string>
lender_directory::addresses_to_ask(const std::string& account,
                                   const std::string& leader_address,
                                   time_point now) const
{
    std::vector<std::string> addresses;
    const auto add = [&](const std::string& address)
    {
        if (!address.empty() && address != own_address_ &&
            !is_avoided(address, now) &&
            std::find(addresses.begin(), addresses.end(), address) ==
                addresses.end())
            addresses.push_back(address);
    };
    const auto& lenders = lenders_.of(account);
    for (const auto& listed : lenders)
        if (listed.failure_domain == failure_domain_)
            add(listed.address);
    add(leader_address);
    for (const auto& listed : lenders)
        add(listed.address);
    return addresses;
}

void lender_directory::on_answered(const std::string& address)
{
    avoided_.erase(address);
}

void lender_directory::on_unanswered(const std::string& address, time_point now)
{
    const auto [found, is_first] =
        avoided_.try_emplace(address, avoidance{initial_avoidance, now});
    auto& entry = found->second;
    // Several requests may have been under way.
    if (!is_first && now < entry.until)
        return;
    if (!is_first)
        entry.length = std::min(entry.length * 2, max_avoidance);
    entry.until = now + entry.length;
}

bool lender_directory::is_avoided(const std::string& address,
                                  time_point now) const
{
    const auto found = avoided_.find(address);
    return found != avoided_.end() && now < found->second.until;
}

} // namespace oleandergrade
