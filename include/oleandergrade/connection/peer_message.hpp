/// Messages between VMs and their Cap'n Proto encoding.
#pragma once

#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/connection/forwarded_statement.hpp>
#include <oleandergrade/error.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace oleandergrade
{

/// The content of a message: a request or a reply.
using peer_body =
    std::variant<fleet_report, fleet_grant, primary_notice, notice_receipt,
                 borrow_request, borrow_reply, snapshot_request, fleet_snapshot,
                 relay_request, relayed_reports, relayed_grants,
                 forwarded_statement, forwarded_answer, forwarded_end,
                 liveness_probe, liveness_reply>;

/// The content of one frame. A reply has the number of its request.
struct peer_message
{
    std::uint64_t id = 0;
    peer_body body;

    bool operator==(const peer_message&) const = default;
};

/// Size limit of received frames in bytes, without the length prefix.
inline constexpr std::size_t max_peer_frame_bytes = 8 * 1024 * 1024;

/// Encodes a message without its length prefix.
std::string encode_peer_message(const peer_message& message);
/// Decodes a frame without its length prefix. Fails with step "decode peer
/// message" if it is malformed or of an unknown type.
result<peer_message> decode_peer_message(const std::string& frame);

} // namespace oleandergrade
