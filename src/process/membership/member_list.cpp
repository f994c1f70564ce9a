#include <oleandergrade/process/membership/member_list.hpp>

#include <oleandergrade/connection/json_fields.hpp>

#include <iterator>

namespace oleandergrade
{
namespace json = boost::json;

std::string serialize_fleet_member(const fleet_member& member)
{
    return json::serialize(json::object{{"name", member.name},
                                        {"address", member.address},
                                        {"incarnation", member.incarnation}});
}

result<fleet_member> parse_fleet_member(const std::string& value)
{
    const auto parsed = parse_json_object(value);
    if (!succeeded(parsed))
        return error{error_kind::invalid, "parse fleet member", "",
                     error_of(parsed).message};
    const auto& fields = value_of(parsed);
    fleet_member member{string_field(fields, "name"),
                        string_field(fields, "address"),
                        unsigned_field(fields, "incarnation")};
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
    return static_cast<std::size_t>(
        std::distance(members_.begin(), members_.find(name)));
}

} // namespace oleandergrade
