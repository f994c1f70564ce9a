#include <oleandergrade/connection/peer_message.hpp>

#include "fleet_message_codec.hpp"
#include "forwarded_statement_codec.hpp"
#include "peer_message.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <stdexcept>

namespace oleandergrade
{

namespace
{

/// Initial sizes of the message under construction and of the encoded frame.
/// Both grow if a message needs more.
constexpr std::size_t first_segment_words = 256;
constexpr std::size_t first_buffer_bytes = 1024;

/// Writes a body into the union member of its type.
struct body_writer
{
    wire::PeerMessage::Builder out;

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
    void operator()(const borrow_request& body)
    {
        write(out.initBorrowRequest(), body);
    }
    void operator()(const borrow_reply& body)
    {
        write(out.initBorrowReply(), body);
    }
    void operator()(const snapshot_request& body)
    {
        out.setSnapshotRequest(body.known_configuration_version);
    }
    void operator()(const fleet_snapshot& body)
    {
        write(out.initSnapshot(), body);
    }
    void operator()(const relay_request& body)
    {
        write(out.initRelayRequest(), body.report);
    }
    void operator()(const relayed_reports& body)
    {
        auto reports =
            out.initRelayedReports(static_cast<unsigned>(body.reports.size()));
        for (unsigned i = 0; i < body.reports.size(); ++i)
            write(reports[i], body.reports[i]);
    }
    void operator()(const relayed_grants& body)
    {
        write(out.initRelayedGrants(), body);
    }
    void operator()(const forwarded_statement& body)
    {
        write(out.initForwardedStatement(), body);
    }
    void operator()(const forwarded_answer& body)
    {
        write(out.initForwardedAnswer(), body);
    }
    void operator()(const forwarded_end& body)
    {
        write(out.initForwardedEnd(), body);
    }
    void operator()(const liveness_probe& body)
    {
        out.setLivenessProbe(body.number);
    }
    void operator()(const liveness_reply& body)
    {
        out.setLivenessReply(body.number);
    }
};

peer_body read_body(wire::PeerMessage::Reader in)
{
    switch (in.which())
    {
    case wire::PeerMessage::FLEET_REPORT:
        return read(in.getFleetReport());
    case wire::PeerMessage::FLEET_GRANT:
        return read(in.getFleetGrant());
    case wire::PeerMessage::PRIMARY_NOTICE:
        return read(in.getPrimaryNotice());
    case wire::PeerMessage::NOTICE_RECEIPT:
        return read(in.getNoticeReceipt());
    case wire::PeerMessage::BORROW_REQUEST:
        return read(in.getBorrowRequest());
    case wire::PeerMessage::BORROW_REPLY:
        return read(in.getBorrowReply());
    case wire::PeerMessage::SNAPSHOT_REQUEST:
        return snapshot_request{in.getSnapshotRequest()};
    case wire::PeerMessage::SNAPSHOT:
        return read(in.getSnapshot());
    case wire::PeerMessage::RELAY_REQUEST:
        return relay_request{read(in.getRelayRequest())};
    case wire::PeerMessage::RELAYED_REPORTS:
    {
        relayed_reports reports;
        for (const auto report : in.getRelayedReports())
            reports.reports.push_back(read(report));
        return reports;
    }
    case wire::PeerMessage::RELAYED_GRANTS:
        return read(in.getRelayedGrants());
    case wire::PeerMessage::FORWARDED_STATEMENT:
        return read(in.getForwardedStatement());
    case wire::PeerMessage::FORWARDED_ANSWER:
        return read(in.getForwardedAnswer());
    case wire::PeerMessage::FORWARDED_END:
        return read(in.getForwardedEnd());
    case wire::PeerMessage::LIVENESS_PROBE:
        return liveness_probe{in.getLivenessProbe()};
    case wire::PeerMessage::LIVENESS_REPLY:
        return liveness_reply{in.getLivenessReply()};
    }
    throw std::runtime_error("unknown type of peer message");
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
