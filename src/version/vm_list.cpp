#include <oleandergrade/version/vm_list.hpp>

#include <oleandergrade/connection/json_fields.hpp>

#include <xxhash.h>

#include <algorithm>

namespace oleandergrade
{

namespace
{

std::uint64_t rendezvous_weight(const std::string& target,
                                const std::string& vm_id)
{
    const auto text = target + '\n' + vm_id;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

const vm* vm_list::find(const std::string& id) const
{
    const auto found =
        std::find_if(vms.begin(), vms.end(),
                     [&](const vm& entry) { return entry.id == id; });
    return found == vms.end() ? nullptr : &*found;
}

std::vector<vm> vm_list::in_domain(const std::string& failure_domain) const
{
    std::vector<vm> members;
    for (const auto& entry : vms)
        if (entry.failure_domain == failure_domain)
            members.push_back(entry);
    return members;
}

result<vm_list> parse_vm_list(const std::string& text)
{
    const auto parsed = parse_json_object(text);
    if (!succeeded(parsed))
        return error{error_kind::invalid, "parse VM list", "",
                     error_of(parsed).message};
    const auto* items = value_of(parsed).if_contains("vms");
    if (items == nullptr || !items->is_array())
        return error{error_kind::invalid, "parse VM list", "",
                     "the field 'vms' is missing"};
    vm_list list;
    list.text = text;
    for (const auto& item : items->get_array())
    {
        if (!item.is_object())
            continue;
        const auto& fields = item.get_object();
        list.vms.push_back({text_field(fields, "id"),
                            text_field(fields, "peer_address"),
                            text_field(fields, "failure_domain"),
                            flag_field(fields, "leaving")});
    }
    return list;
}

std::vector<vm> ranked_owners(const vm_list& list, const std::string& target,
                              const std::string& failure_domain)
{
    auto members = list.in_domain(failure_domain);
    std::sort(members.begin(), members.end(),
              [&](const vm& left, const vm& right)
              {
                  if (left.leaving != right.leaving)
                      return right.leaving;
                  const auto left_weight = rendezvous_weight(target, left.id);
                  const auto right_weight = rendezvous_weight(target, right.id);
                  if (left_weight != right_weight)
                      return left_weight > right_weight;
                  return left.id < right.id;
              });
    return members;
}

std::size_t owner_rank(const vm_list& list, const std::string& target,
                       const std::string& failure_domain,
                       const std::string& vm_id)
{
    const auto ranked = ranked_owners(list, target, failure_domain);
    const auto limit = std::min(ranked.size(), owners_per_target);
    for (std::size_t rank = 0; rank < limit; ++rank)
        if (ranked[rank].id == vm_id)
            return rank;
    return owners_per_target;
}

} // namespace oleandergrade
