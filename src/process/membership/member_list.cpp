#include <oleandergrade/process/membership/member_list.hpp>

#include <oleandergrade/connection/json_fields.hpp>

#include <algorithm>
#include <tuple>

namespace oleandergrade
{
namespace json = boost::json;

namespace
{

constexpr std::uint64_t max_millicores = 1'000'000;

} // namespace

bool is_stronger(const fleet_member& left, const fleet_member& right)
{
    return std::tie(right.processor_millicores, left.name) <
           std::tie(left.processor_millicores, right.name);
}

std::string serialize_fleet_member(const fleet_member& member)
{
    return json::serialize(
        json::object{{"name", member.name},
                     {"address", member.address},
                     {"incarnation", member.incarnation},
                     {"domain", member.failure_domain},
                     {"millicores", member.processor_millicores},
                     {"level", member.level}});
}

result<fleet_member> parse_fleet_member(const std::string& value)
{
    const auto parsed = parse_json_object(value);
    if (!succeeded(parsed))
        return error{error_kind::invalid, "parse fleet member", "",
                     error_of(parsed).message};
    const auto& fields = value_of(parsed);
    fleet_member member{
        string_field(fields, "name"),
        string_field(fields, "address"),
        unsigned_field(fields, "incarnation"),
        string_field(fields, "domain"),
        static_cast<unsigned>(std::min<std::uint64_t>(
            unsigned_field(fields, "millicores"), max_millicores)),
        static_cast<std::uint32_t>(unsigned_field(fields, "level"))};
    if (member.name.empty() || member.address.empty())
        return error{error_kind::invalid, "parse fleet member", "",
                     "'name' or 'address' is missing or empty"};
    return member;
}

void member_list::put(const fleet_member& member)
{
    members_[member.name] = member;
}

void member_list::remove(const std::string& name)
{
    members_.erase(name);
}

const fleet_member* member_list::find(const std::string& name) const
{
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second;
}

std::vector<std::string> member_list::names() const
{
    std::vector<std::string> names;
    for (const auto& [name, member] : members_)
        names.push_back(name);
    return names;
}

std::size_t member_list::rank_of(const std::string& name) const
{
    const auto* member = find(name);
    if (member == nullptr)
        return members_.size();
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(),
        [&](const auto& entry) { return is_stronger(entry.second, *member); }));
}

std::size_t member_list::rank_in_domain(const std::string& name) const
{
    const auto* member = find(name);
    if (member == nullptr)
        return members_.size();
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(),
        [&](const auto& entry)
        {
            return entry.second.failure_domain == member->failure_domain &&
                   is_stronger(entry.second, *member);
        }));
}

std::size_t member_list::domain_size(const std::string& failure_domain) const
{
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(),
        [&](const auto& entry)
        { return entry.second.failure_domain == failure_domain; }));
}

std::uint32_t member_list::lowest_level() const
{
    const auto lowest =
        std::min_element(members_.begin(), members_.end(),
                         [](const auto& left, const auto& right)
                         { return left.second.level < right.second.level; });
    return lowest == members_.end() ? 0 : lowest->second.level;
}

} // namespace oleandergrade
