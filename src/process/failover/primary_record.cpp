#include <oleandergrade/process/failover/primary_record.hpp>

#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/process/store_revision.hpp>

#include <tuple>

namespace oleandergrade
{
namespace json = boost::json;

namespace
{

quorum_state parse_quorum(const json::object& fields)
{
    quorum_state quorum;
    quorum.synchronous_replicas = static_cast<std::uint32_t>(
        unsigned_field(fields, "synchronous_replicas"));
    const auto* replicas = fields.if_contains("replicas");
    if (replicas == nullptr || !replicas->is_array())
        return quorum;
    for (const auto& entry : replicas->as_array())
    {
        if (!entry.is_object())
            continue;
        const auto& replica = entry.as_object();
        quorum.replicas.push_back(
            {string_field(replica, "id"), unsigned_field(replica, "started_at"),
             string_field(replica, "address"), bool_field(replica, "drained")});
    }
    return quorum;
}

} // namespace

bool is_newer(const primary_record& left, const primary_record& right)
{
    const auto rank = [](const primary_record& record)
    {
        return std::tuple(record.term, record.revision, !record.is_open,
                          !record.candidate.empty(), record.known_position,
                          std::tie(record.candidate, record.target),
                          record.is_planned);
    };
    return rank(left) > rank(right);
}

bool stored_primary_record::may_be_superseded() const
{
    return origin.generation != store_generation(store_revision);
}

std::string serialize_primary_record(const primary_record& record,
                                     const record_origin& origin)
{
    json::object fields{{"group", record.group},
                        {"term", record.term},
                        {"target", record.target},
                        {"open", record.is_open},
                        {"planned", record.is_planned},
                        {"candidate", record.candidate},
                        {"known_term", record.known_position.term},
                        {"known_index", record.known_position.index}};
    if (origin.predecessor != 0)
        fields["predecessor"] = origin.predecessor;
    if (origin.revision != 0)
        fields["revision"] = origin.revision;
    if (origin.generation != 0)
        fields["generation"] = origin.generation;
    // Groups without synchronous replicas lose what they lose.
    if (origin.quorum.synchronous_replicas != 0)
    {
        json::array replicas;
        for (const auto& replica : origin.quorum.replicas)
            replicas.push_back({{"id", replica.id},
                                {"started_at", replica.started_at},
                                {"address", replica.address},
                                {"drained", replica.has_drained}});
        fields["synchronous_replicas"] = origin.quorum.synchronous_replicas;
        fields["replicas"] = std::move(replicas);
    }
    return json::serialize(fields);
}

result<primary_record> parse_primary_record(const std::string& value,
                                            std::uint64_t store_revision)
{
    auto stored = parse_stored_primary_record(value, store_revision);
    if (!succeeded(stored))
        return error_of(stored);
    return std::move(value_of(stored).record);
}

result<stored_primary_record>
parse_stored_primary_record(const std::string& value,
                            std::uint64_t store_revision)
{
    const auto parsed = parse_json_object(value);
    if (!succeeded(parsed))
        return error{error_kind::invalid, "parse primary record", "",
                     error_of(parsed).message};
    const auto& fields = value_of(parsed);
    stored_primary_record stored;
    stored.store_revision = store_revision;
    stored.origin = {unsigned_field(fields, "predecessor"),
                     unsigned_field(fields, "revision"),
                     unsigned_field(fields, "generation"),
                     parse_quorum(fields)};
    auto& record = stored.record;
    record.group = string_field(fields, "group");
    record.term = unsigned_field(fields, "term");
    record.target = string_field(fields, "target");
    record.is_open = bool_field(fields, "open");
    record.is_planned = bool_field(fields, "planned");
    record.candidate = string_field(fields, "candidate");
    record.known_position = {unsigned_field(fields, "known_term"),
                             unsigned_field(fields, "known_index")};
    record.revision =
        stored.origin.revision != 0
            ? stored.origin.revision
            : rising_number(store_revision, stored.origin.predecessor);
    if (record.group.empty() || record.target.empty() || record.term == 0)
        return error{error_kind::invalid, "parse primary record", "",
                     "primary record lacks its group, target or term"};
    return stored;
}

} // namespace oleandergrade
