#include <oleandergrade/version/group_record.hpp>

#include <oleandergrade/connection/json_fields.hpp>

namespace oleandergrade
{
namespace json = boost::json;

bool group_record::supersedes(const group_record& other) const
{
    if (term != other.term)
        return term > other.term;
    return steady && !other.steady;
}

std::string serialize_group_record(const group_record& record)
{
    return json::serialize(json::object{{"term", record.term},
                                        {"primary", record.primary},
                                        {"steady", record.steady},
                                        {"coordinator", record.coordinator}});
}

result<group_record> parse_group_record(const std::string& database,
                                        const std::string& value)
{
    const auto parsed = parse_json_object(value);
    if (!succeeded(parsed))
        return error{error_kind::invalid, "parse group record", database,
                     error_of(parsed).message};
    const auto& object = value_of(parsed);
    return group_record{
        database, number_field(object, "term"), text_field(object, "primary"),
        flag_field(object, "steady"), text_field(object, "coordinator")};
}

std::string group_key(const std::string& database)
{
    return "groups/" + database;
}

} // namespace oleandergrade
