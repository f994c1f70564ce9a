#include <oleandergrade/connection/peer_message.hpp>

#include "fleet_message_codec.hpp"
#include "peer_message.capnp.h"
#include "wire_values.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>

namespace oleandergrade
{

namespace
{

// The overloads below would hide those of the fleet's messages.
using oleandergrade::read;
using oleandergrade::write;

constexpr std::size_t first_segment_words = 256;
constexpr std::size_t first_buffer_bytes = 1024;

void write(wire::Statement::Builder out, const statement& in)
{
    out.setRequestNumber(in.request_number);
    out.setAccount(in.account);
    out.setKeyId(in.key_id);
    out.setDatabase(in.database);
    out.setTarget(in.target);
    out.setKind(static_cast<std::uint8_t>(in.kind));
    out.setText(in.text);
    out.setRequestId(in.request_id);
    out.setTerm(in.term);
    out.setMinPosition(in.min_position);
    out.setMaxAge(count(in.max_age));
    out.setBudget(count(in.budget));
    out.setTransaction(in.transaction);
}

statement read(wire::Statement::Reader in)
{
    statement out;
    out.request_number = text(in.getRequestNumber());
    out.account = text(in.getAccount());
    out.key_id = text(in.getKeyId());
    out.database = text(in.getDatabase());
    out.target = text(in.getTarget());
    out.kind = static_cast<statement_kind>(std::min(
        in.getKind(), static_cast<std::uint8_t>(statement_kind::rollback)));
    out.text = text(in.getText());
    out.request_id = text(in.getRequestId());
    out.term = in.getTerm();
    out.min_position = in.getMinPosition();
    out.max_age = ms(in.getMaxAge());
    out.budget = ms(in.getBudget());
    out.transaction = text(in.getTransaction());
    return out;
}

void write(wire::Answer::Builder out, const answer& in)
{
    out.setRun(static_cast<std::uint8_t>(in.run));
    out.setCode(static_cast<std::uint8_t>(in.code));
    out.setValue(in.value);
    out.setTerm(in.position.term);
    out.setPosition(in.position.position);
    out.setStep(in.step);
    out.setPeer(in.peer);
    out.setMessage(in.message);
    out.setRetryAfter(count(in.retry_after));
    out.setTransaction(in.transaction);
    out.setRepeated(in.repeated);
    out.setServedBy(in.served_by);
    out.setQueued(count(in.queued));
}

answer read(wire::Answer::Reader in)
{
    answer out;
    out.run = static_cast<run_status>(std::min(
        in.getRun(), static_cast<std::uint8_t>(run_status::outcome_unknown)));
    out.code = static_cast<refusal_code>(std::min(
        in.getCode(), static_cast<std::uint8_t>(refusal_code::stopping)));
    out.value = text(in.getValue());
    out.position = {in.getTerm(), in.getPosition()};
    out.step = text(in.getStep());
    out.peer = text(in.getPeer());
    out.message = text(in.getMessage());
    out.retry_after = ms(in.getRetryAfter());
    out.transaction = text(in.getTransaction());
    out.repeated = in.getRepeated();
    out.served_by = text(in.getServedBy());
    out.queued = ms(in.getQueued());
    return out;
}

void write(wire::TokenRequest::Builder out, const token_request& in)
{
    out.setBorrower(in.borrower);
    out.setAccount(in.account);
    out.setWanted(in.wanted);
    auto reports = out.initReports(static_cast<unsigned>(in.reports.size()));
    for (unsigned i = 0; i < reports.size(); ++i)
    {
        reports[i].setBatch(in.reports[i].batch);
        reports[i].setSpent(in.reports[i].spent);
        reports[i].setReturned(in.reports[i].returned);
    }
}

token_request read(wire::TokenRequest::Reader in)
{
    token_request out;
    out.borrower = text(in.getBorrower());
    out.account = text(in.getAccount());
    out.wanted = in.getWanted();
    for (const auto report : in.getReports())
        out.reports.push_back(
            {report.getBatch(), report.getSpent(), report.getReturned()});
    return out;
}

void write(wire::TokenGrant::Builder out, const token_grant& in)
{
    out.setAccount(in.account);
    out.setBatch(in.batch);
    out.setUnits(in.units);
    out.setValidity(count(in.validity));
    out.setRetryAfter(count(in.retry_after));
    out.setAccepted(in.accepted);
}

token_grant read(wire::TokenGrant::Reader in)
{
    return {text(in.getAccount()), in.getBatch(),          in.getUnits(),
            ms(in.getValidity()),  ms(in.getRetryAfter()), in.getAccepted()};
}

void write(wire::GroupRecord::Builder out, const group_record& in)
{
    out.setDatabase(in.database);
    out.setTerm(in.term);
    out.setPrimary(in.primary);
    out.setSteady(in.steady);
}

group_record read(wire::GroupRecord::Reader in)
{
    return {text(in.getDatabase()), in.getTerm(), text(in.getPrimary()),
            in.getSteady(), ""};
}

void write(wire::Heartbeat::Builder out, const heartbeat& in)
{
    out.setNode(in.node);
    out.setFailureDomain(in.failure_domain);
    out.setIncarnation(in.incarnation);
    out.setConfigurationVersion(in.configuration_version);
    out.setConfirmationAge(count(in.confirmation_age));
    out.setPlatformAge(count(in.platform_age));
    out.setMajorityAge(count(in.majority_age));
    out.setLead(in.lead);
    out.setEpoch(in.epoch);
    out.setClock(in.clock);
    out.setEcho(in.echo);
    out.setVmsDigest(in.held.vms);
    out.setLeadsDigest(in.held.leads);
    out.setGroupsDigest(in.held.groups);
    if (!in.vms.empty())
        out.setVms(in.vms);
    if (!in.leads.empty())
    {
        auto leads = out.initLeads(static_cast<unsigned>(in.leads.size()));
        for (unsigned i = 0; i < leads.size(); ++i)
        {
            leads[i].setFailureDomain(in.leads[i].failure_domain);
            leads[i].setVm(in.leads[i].vm);
        }
    }
    if (in.groups.empty())
        return;
    auto groups = out.initGroups(static_cast<unsigned>(in.groups.size()));
    for (unsigned i = 0; i < groups.size(); ++i)
        write(groups[i], in.groups[i]);
}

heartbeat read(wire::Heartbeat::Reader in)
{
    heartbeat out;
    out.node = text(in.getNode());
    out.failure_domain = text(in.getFailureDomain());
    out.incarnation = in.getIncarnation();
    out.configuration_version = in.getConfigurationVersion();
    out.confirmation_age = ms(in.getConfirmationAge());
    out.platform_age = ms(in.getPlatformAge());
    out.majority_age = ms(in.getMajorityAge());
    out.lead = text(in.getLead());
    out.epoch = in.getEpoch();
    out.clock = in.getClock();
    out.echo = in.getEcho();
    out.held = {in.getVmsDigest(), in.getLeadsDigest(), in.getGroupsDigest()};
    out.vms = text(in.getVms());
    for (const auto lead : in.getLeads())
        out.leads.push_back(
            {text(lead.getFailureDomain()), text(lead.getVm())});
    for (const auto group : in.getGroups())
        out.groups.push_back(read(group));
    return out;
}

/// Writes each kind of body into its member of the union.
struct body_writer
{
    wire::PeerMessage::Builder out;

    void operator()(const statement& body) { write(out.initStatement(), body); }
    void operator()(const answer& body) { write(out.initAnswer(), body); }
    void operator()(const token_request& body)
    {
        write(out.initTokenRequest(), body);
    }
    void operator()(const token_grant& body)
    {
        write(out.initTokenGrant(), body);
    }
    void operator()(const heartbeat& body) { write(out.initHeartbeat(), body); }
    void operator()(const heartbeat_reply& body)
    {
        write(out.initHeartbeatReply(), body.state);
    }
    void operator()(const group_announcement& body)
    {
        write(out.initGroupAnnouncement(), body.record);
    }
    void operator()(const configuration_request& body)
    {
        out.setConfigurationRequest(body.known_version);
    }
    void operator()(const configuration_reply& body)
    {
        auto record = out.initConfiguration();
        record.setVersion(body.version);
        record.setValue(body.value);
    }
    void operator()(const trace_request& body)
    {
        out.setTraceRequest(body.request_number);
    }
    void operator()(const trace_reply& body) { out.setTraceReply(body.events); }
    void operator()(const fleet_report& body)
    {
        write(out.initFleetReport(), body);
    }
    void operator()(const fleet_grant& body)
    {
        write(out.initFleetGrant(), body);
    }
    void operator()(const primary_notice& body)
    {
        write(out.initPrimaryNotice(), body);
    }
    void operator()(const notice_receipt& body)
    {
        write(out.initNoticeReceipt(), body);
    }
    void operator()(const snapshot_request& body)
    {
        out.setSnapshotRequest(body.known_version);
    }
    void operator()(const fleet_snapshot& body)
    {
        write(out.initSnapshot(), body);
    }
};

peer_body read_body(wire::PeerMessage::Reader in)
{
    switch (in.which())
    {
    case wire::PeerMessage::STATEMENT:
        return read(in.getStatement());
    case wire::PeerMessage::ANSWER:
        return read(in.getAnswer());
    case wire::PeerMessage::TOKEN_REQUEST:
        return read(in.getTokenRequest());
    case wire::PeerMessage::TOKEN_GRANT:
        return read(in.getTokenGrant());
    case wire::PeerMessage::HEARTBEAT:
        return read(in.getHeartbeat());
    case wire::PeerMessage::HEARTBEAT_REPLY:
        return heartbeat_reply{read(in.getHeartbeatReply())};
    case wire::PeerMessage::GROUP_ANNOUNCEMENT:
        return group_announcement{read(in.getGroupAnnouncement())};
    case wire::PeerMessage::CONFIGURATION_REQUEST:
        return configuration_request{in.getConfigurationRequest()};
    case wire::PeerMessage::CONFIGURATION:
        return configuration_reply{in.getConfiguration().getVersion(),
                                   text(in.getConfiguration().getValue())};
    case wire::PeerMessage::TRACE_REQUEST:
        return trace_request{text(in.getTraceRequest())};
    case wire::PeerMessage::TRACE_REPLY:
        return trace_reply{text(in.getTraceReply())};
    case wire::PeerMessage::FLEET_REPORT:
        return read(in.getFleetReport());
    case wire::PeerMessage::FLEET_GRANT:
        return read(in.getFleetGrant());
    case wire::PeerMessage::PRIMARY_NOTICE:
        return read(in.getPrimaryNotice());
    case wire::PeerMessage::NOTICE_RECEIPT:
        return read(in.getNoticeReceipt());
    case wire::PeerMessage::SNAPSHOT_REQUEST:
        return snapshot_request{in.getSnapshotRequest()};
    case wire::PeerMessage::SNAPSHOT:
        return read(in.getSnapshot());
    }
    throw std::runtime_error("unknown kind of message");
}

error decode_failure(const std::string& message)
{
    return {error_kind::invalid, "decode peer message", "", message};
}

} // namespace

std::string encode_peer_message(const peer_message& message)
{
    capnp::MallocMessageBuilder builder(first_segment_words);
    auto root = builder.initRoot<wire::PeerMessage>();
    root.setId(message.id);
    std::visit(body_writer{root}, message.body);
    kj::VectorOutputStream output(first_buffer_bytes);
    capnp::writePackedMessage(output, builder);
    const auto bytes = output.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

result<peer_message> decode_peer_message(const std::string& frame)
{
    try
    {
        kj::ArrayInputStream input(kj::arrayPtr(
            reinterpret_cast<const kj::byte*>(frame.data()), frame.size()));
        capnp::PackedMessageReader reader(input);
        const auto root = reader.getRoot<wire::PeerMessage>();
        return peer_message{root.getId(), read_body(root)};
    }
    catch (const kj::Exception& failure)
    {
        return decode_failure(failure.getDescription().cStr());
    }
    catch (const std::runtime_error& failure)
    {
        return decode_failure(failure.what());
    }
}

} // namespace oleandergrade
