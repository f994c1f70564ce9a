#include <oleandergrade/process/limits/lender_assigner.hpp>

#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/process/limits/account_budget.hpp>
#include <oleandergrade/process/store_revision.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace oleandergrade
{
namespace json = boost::json;

namespace
{

using domain_members = std::map<std::string, std::vector<const fleet_member*>>;

/// Returns the members of each failure domain, the strongest first.
domain_members members_by_domain(const member_list& members)
{
    domain_members domains;
    for (const auto& [name, member] : members.all())
        domains[member.failure_domain].push_back(&member);
    for (auto& [domain, vms] : domains)
        std::sort(vms.begin(), vms.end(),
                  [](const auto* left, const auto* right)
                  { return is_stronger(*left, *right); });
    return domains;
}

/// Returns how many VMs of a failure domain lend operations of one account.
std::size_t lenders_per_account(std::size_t domains, std::size_t domain_size)
{
    return std::max((lender_assigner::min_lenders + domains - 1) / domains,
                    domain_size / lender_assigner::vms_per_lender);
}

lender as_lender(const fleet_member& member)
{
    return {member.name, member.address, member.failure_domain};
}

bool is_same_choice(const lender_table& left, const lender_table& right)
{
    return left.lenders_per_account == right.lenders_per_account &&
           left.lenders == right.lenders &&
           left.former_lenders == right.former_lenders;
}

} // namespace

std::string serialize_lender_table(const lender_table& table,
                                   std::uint64_t predecessor)
{
    json::array lenders;
    for (const auto& listed : table.lenders)
        lenders.push_back({{"vm", listed.vm},
                           {"address", listed.address},
                           {"domain", listed.failure_domain}});
    json::array former(table.former_lenders.begin(),
                       table.former_lenders.end());
    return json::serialize(
        json::object{{"lenders_per_account", table.lenders_per_account},
                     {"lenders", std::move(lenders)},
                     {"former", std::move(former)},
                     {"predecessor", predecessor}});
}

result<lender_table> parse_lender_table(const std::string& value,
                                        std::uint64_t revision)
{
    const auto invalid = [](const std::string& reason) {
        return error{error_kind::invalid, "parse lender table", "", reason};
    };
    const auto parsed = parse_json_object(value);
    if (!succeeded(parsed))
        return invalid(error_of(parsed).message);
    const auto& fields = value_of(parsed);
    lender_table table;
    table.version =
        rising_number(revision, unsigned_field(fields, "predecessor"));
    table.lenders_per_account = static_cast<std::uint32_t>(
        unsigned_field(fields, "lenders_per_account"));
    if (const auto* lenders = fields.if_contains("lenders");
        lenders != nullptr && lenders->is_array())
        for (const auto& entry : lenders->as_array())
        {
            if (!entry.is_object())
                return invalid("a lender is not an object");
            const auto& listed = entry.as_object();
            table.lenders.push_back({string_field(listed, "vm"),
                                     string_field(listed, "address"),
                                     string_field(listed, "domain")});
            if (table.lenders.back().vm.empty() ||
                table.lenders.back().address.empty())
                return invalid("a lender lacks 'vm' or 'address'");
        }
    if (const auto* former = fields.if_contains("former");
        former != nullptr && former->is_array())
        for (const auto& name : former->as_array())
            if (name.is_string())
                table.former_lenders.emplace_back(name.as_string());
    return table;
}

lender_table derive_lenders(const member_list& members)
{
    lender_table table;
    if (members.size() < lending_fleet_size)
        return table;
    const auto domains = members_by_domain(members);
    for (const auto& [domain, vms] : domains)
    {
        const std::size_t first = vms.size() > 1 ? 1 : 0;
        const auto count =
            std::min(vms.size() - first,
                     lenders_per_account(domains.size(), vms.size()));
        for (std::size_t i = first; i < first + count; ++i)
            table.lenders.push_back(as_lender(*vms[i]));
    }
    std::sort(table.lenders.begin(), table.lenders.end(),
              [](const lender& left, const lender& right)
              {
                  return std::tie(left.failure_domain, left.vm) <
                         std::tie(right.failure_domain, right.vm);
              });
    return table;
}

void lender_assigner::on_elected(time_point now)
{
    elected_at_ = now;
    present_at_.clear();
    replaced_at_.clear();
}

std::optional<lender_table> lender_assigner::update(const lender_table& current,
                                                    const lender_input& input,
                                                    time_point now)
{
    observe_presence(current, input, now);
    lender_table next;
    if (input.members->size() >= lending_fleet_size)
        next = input.level == 0 ? derive_lenders(*input.members)
                                : choose_present(current, input, now);
    keep_former(next, current, now);
    if (is_same_choice(next, current))
        return std::nullopt;
    return next;
}

void lender_assigner::observe_presence(const lender_table& current,
                                       const lender_input& input,
                                       time_point now)
{
    for (const auto& listed : current.lenders)
        if (input.is_present(listed.vm))
            present_at_[listed.vm] = now;
    std::erase_if(present_at_,
                  [&](const auto& entry)
                  {
                      return std::none_of(current.lenders.begin(),
                                          current.lenders.end(),
                                          [&](const lender& listed)
                                          { return listed.vm == entry.first; });
                  });
}

bool lender_assigner::is_retained(const lender& listed,
                                  const lender_input& input,
                                  time_point now) const
{
    const auto* member = input.members->find(listed.vm);
    if (member == nullptr || as_lender(*member) != listed ||
        listed.vm == input.leader)
        return false;
    const auto present_at = present_at_.find(listed.vm);
    const auto absent_since =
        present_at == present_at_.end() ? elected_at_ : present_at->second;
    // What a lender may hold that has not reported since the election is kept
    // free for it; until then nobody else would get it.
    const auto is_unreported = present_at == present_at_.end();
    return now - absent_since <
           (is_unreported ? former_lender_time : max_absence);
}

lender_table lender_assigner::choose_present(const lender_table& current,
                                             const lender_input& input,
                                             time_point now)
{
    lender_table next;
    const auto domains = members_by_domain(*input.members);
    std::size_t largest_domain = 0;
    for (const auto& [domain, vms] : domains)
        largest_domain = std::max(largest_domain, vms.size());
    const auto per_account =
        lenders_per_account(domains.size(), largest_domain);
    next.lenders_per_account = static_cast<std::uint32_t>(per_account);
    for (const auto& [domain, vms] : domains)
    {
        // If all VMs of a domain are silent, it is cut off and its lenders
        // serve it.
        const bool is_cut_off = std::none_of(
            vms.begin(), vms.end(),
            [&](const auto* member) { return input.is_present(member->name); });
        std::vector<lender> listed;
        for (const auto& earlier : current.lenders)
            if (earlier.failure_domain == domain &&
                (is_cut_off || is_retained(earlier, input, now)))
                listed.push_back(earlier);
        const auto wanted =
            std::min(vms.size(), per_account * listed_per_domain_);
        const auto add = [&](const fleet_member& member)
        {
            const auto candidate = as_lender(member);
            if (listed.size() < wanted && member.name != input.leader &&
                input.is_present(member.name) &&
                std::find(listed.begin(), listed.end(), candidate) ==
                    listed.end())
            {
                listed.push_back(candidate);
                present_at_[candidate.vm] = now;
            }
        };
        // The strongest VM of a domain is the next one to become the leader.
        for (std::size_t i = 1; i < vms.size(); ++i)
            add(*vms[i]);
        add(*vms.front());
        std::sort(listed.begin(), listed.end());
        next.lenders.insert(next.lenders.end(), listed.begin(), listed.end());
    }
    return next;
}

void lender_assigner::keep_former(lender_table& next,
                                  const lender_table& current, time_point now)
{
    std::set<std::string> listed;
    for (const auto& entry : next.lenders)
        listed.insert(entry.vm);
    for (const auto& entry : current.lenders)
        if (!listed.contains(entry.vm))
            replaced_at_.try_emplace(entry.vm, now);
    for (const auto& vm : current.former_lenders)
        replaced_at_.try_emplace(vm, elected_at_);
    std::erase_if(replaced_at_,
                  [&](const auto& entry)
                  {
                      return listed.contains(entry.first) ||
                             now - entry.second >= former_lender_time;
                  });
    for (const auto& [vm, replaced_at] : replaced_at_)
        next.former_lenders.push_back(vm);
}

} // namespace oleandergrade
