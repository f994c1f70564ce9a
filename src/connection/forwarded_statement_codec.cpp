#include "forwarded_statement_codec.hpp"

#include "wire_values.hpp"

#include <stdexcept>

namespace oleandergrade
{

namespace
{

/// Converts the number of an enumerator. Throws std::runtime_error if there is
/// none with this number.
template <typename Enum> Enum enum_from_wire(std::uint8_t value, Enum last)
{
    if (value > static_cast<std::uint8_t>(last))
        throw std::runtime_error("unknown enumerator in a peer message");
    return static_cast<Enum>(value);
}

template <typename Builder>
void write_position(Builder out, const std::optional<log_position>& in)
{
    out.setHasPosition(in.has_value());
    if (!in)
        return;
    out.setPositionTerm(in->term);
    out.setPositionIndex(in->index);
}

template <typename Reader> std::optional<log_position> read_position(Reader in)
{
    if (!in.getHasPosition())
        return std::nullopt;
    return log_position{in.getPositionTerm(), in.getPositionIndex()};
}

template <typename Builder>
void write_session(Builder out, const forwarded_session_id& in)
{
    out.setVm(text_to_wire(in.vm));
    out.setIncarnation(in.incarnation);
    out.setSession(in.session);
}

template <typename Reader> forwarded_session_id read_session(Reader in)
{
    return {string_from_wire(in.getVm()), in.getIncarnation(), in.getSession()};
}

} // namespace

void write(wire::HolderTable::Builder out, const holder_table& in)
{
    out.setVersion(in.version);
    auto groups = out.initGroups(static_cast<unsigned>(in.groups.size()));
    unsigned index = 0;
    for (const auto& [group, holders] : in.groups)
    {
        auto entry = groups[index++];
        entry.setGroup(text_to_wire(group));
        auto slices = entry.initSlices(static_cast<unsigned>(holders.size()));
        for (unsigned i = 0; i < holders.size(); ++i)
        {
            slices[i].setHolder(text_to_wire(holders[i].holder));
            slices[i].setStandby(text_to_wire(holders[i].standby));
        }
    }
}

holder_table read(wire::HolderTable::Reader in)
{
    holder_table out;
    out.version = in.getVersion();
    for (const auto entry : in.getGroups())
    {
        auto& holders = out.groups[string_from_wire(entry.getGroup())];
        for (const auto slice : entry.getSlices())
            holders.push_back({string_from_wire(slice.getHolder()),
                               string_from_wire(slice.getStandby())});
    }
    return out;
}

void write(wire::ForwardedStatement::Builder out, const forwarded_statement& in)
{
    write_session(out, in.session);
    out.setRequest(text_to_wire(in.statement.id));
    out.setVerb(static_cast<std::uint8_t>(in.statement.verb));
    out.setName(text_to_wire(in.statement.name));
    out.setItem(text_to_wire(in.statement.item_or_shape));
    out.setData(bytes_to_wire(in.statement.data));
    out.setText(bytes_to_wire(in.statement.text));
    out.setHasPrepared(in.prepared.has_value());
    if (in.prepared)
    {
        out.setPreparedWrites(in.prepared->writes);
        out.setPreparedShape(bytes_to_wire(in.prepared->shape));
    }
    auto values =
        out.initValues(static_cast<unsigned>(in.session_values.size()));
    unsigned index = 0;
    for (const auto& [name, value] : in.session_values)
    {
        values[index].setName(text_to_wire(name));
        values[index++].setValue(bytes_to_wire(value));
    }
    out.setAccount(text_to_wire(in.account));
    out.setDatabase(text_to_wire(in.matched_route.database));
    out.setGroup(text_to_wire(in.matched_route.group));
    out.setConsistency(static_cast<std::uint8_t>(in.matched_route.consistency));
    out.setMaxAge(milliseconds_to_wire(in.matched_route.max_age));
    out.setPriority(in.matched_route.priority);
    out.setStatementTimeout(
        milliseconds_to_wire(in.matched_route.statement_timeout));
    out.setLatencyObjective(
        milliseconds_to_wire(in.matched_route.latency_objective));
    out.setTimeLeft(milliseconds_to_wire(in.time_left));
    out.setTimeSpent(milliseconds_to_wire(in.time_spent));
    write_position(out, in.session_position);
    out.setInTransaction(in.in_transaction);
    out.setBeginsTransaction(in.begins_transaction);
    out.setIsReadOnly(in.is_read_only);
}

forwarded_statement read(wire::ForwardedStatement::Reader in)
{
    forwarded_statement out;
    out.session = read_session(in);
    out.statement.id = string_from_wire(in.getRequest());
    out.statement.verb = enum_from_wire(in.getVerb(), session_verb::unknown);
    out.statement.name = string_from_wire(in.getName());
    out.statement.item_or_shape = string_from_wire(in.getItem());
    out.statement.data = bytes_from_wire(in.getData());
    out.statement.text = bytes_from_wire(in.getText());
    if (in.getHasPrepared())
        out.prepared = {in.getPreparedWrites(),
                        bytes_from_wire(in.getPreparedShape())};
    for (const auto value : in.getValues())
        out.session_values[string_from_wire(value.getName())] =
            bytes_from_wire(value.getValue());
    out.account = string_from_wire(in.getAccount());
    out.matched_route.database = string_from_wire(in.getDatabase());
    out.matched_route.group = string_from_wire(in.getGroup());
    out.matched_route.consistency =
        enum_from_wire(in.getConsistency(), read_consistency::bounded_age);
    out.matched_route.max_age = milliseconds_from_wire(in.getMaxAge());
    out.matched_route.priority = in.getPriority();
    out.matched_route.statement_timeout =
        milliseconds_from_wire(in.getStatementTimeout());
    out.matched_route.latency_objective =
        milliseconds_from_wire(in.getLatencyObjective());
    out.time_left = milliseconds_from_wire(in.getTimeLeft());
    out.time_spent = milliseconds_from_wire(in.getTimeSpent());
    out.session_position = read_position(in);
    out.in_transaction = in.getInTransaction();
    out.begins_transaction = in.getBeginsTransaction();
    out.is_read_only = in.getIsReadOnly();
    return out;
}

void write(wire::ForwardedAnswer::Builder out, const forwarded_answer& in)
{
    out.setAccepted(in.accepted);
    out.setAnswer(bytes_to_wire(in.answer));
    out.setFailure(static_cast<std::uint8_t>(in.failure));
    out.setReason(text_to_wire(in.reason));
    out.setTarget(text_to_wire(in.target));
    out.setAttempts(in.attempts);
    out.setRetryAfter(milliseconds_to_wire(in.retry_after));
    out.setTransaction(static_cast<std::uint8_t>(in.transaction));
    write_position(out, in.commit_position);
}

forwarded_answer read(wire::ForwardedAnswer::Reader in)
{
    forwarded_answer out;
    out.accepted = in.getAccepted();
    out.answer = bytes_from_wire(in.getAnswer());
    out.failure = enum_from_wire(in.getFailure(), session_error::other);
    out.reason = string_from_wire(in.getReason());
    out.target = string_from_wire(in.getTarget());
    out.attempts = in.getAttempts();
    out.retry_after = milliseconds_from_wire(in.getRetryAfter());
    out.transaction =
        enum_from_wire(in.getTransaction(), transaction_state::failed);
    out.commit_position = read_position(in);
    return out;
}

void write(wire::ForwardedEnd::Builder out, const forwarded_end& in)
{
    write_session(out, in.session);
}

forwarded_end read(wire::ForwardedEnd::Reader in)
{
    return {read_session(in)};
}

} // namespace oleandergrade
