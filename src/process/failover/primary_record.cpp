#include <oleandergrade/process/failover/primary_record.hpp>

#include <oleandergrade/connection/json_fields.hpp>

namespace oleandergrade
{
namespace json = boost::json;

std::string serialize_primary_record(const primary_record& record)
{
    return json::serialize(
        json::object{{"group", record.group},
                     {"term", record.term},
                     {"target", record.target},
                     {"open", record.is_open},
                     {"planned", record.is_planned},
                     {"candidate", record.candidate},
                     {"known_term", record.known_position.term},
                     {"known_index", record.known_position.index}});
}

result<primary_record> parse_primary_record(const std::string& value,
                                            std::uint64_t revision)
{
    const auto parsed = parse_json_object(value);
    if (!succeeded(parsed))
        return error{error_kind::invalid, "parse primary record", "",
                     error_of(parsed).message};
    const auto& fields = value_of(parsed);
    primary_record record;
    record.group = string_field(fields, "group");
    record.term = unsigned_field(fields, "term");
    record.target = string_field(fields, "target");
    record.is_open = bool_field(fields, "open");
    record.is_planned = bool_field(fields, "planned");
    record.candidate = string_field(fields, "candidate");
    record.known_position = {unsigned_field(fields, "known_term"),
                             unsigned_field(fields, "known_index")};
    record.revision = revision;
    if (record.group.empty() || record.target.empty() || record.term == 0)
        return error{error_kind::invalid, "parse primary record", "",
                     "primary record lacks its group, target or term"};
    return record;
}

} // namespace oleandergrade
