/// Messages between daemons and their Cap'n Proto encoding.
#pragma once

#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/process/heartbeat.hpp>
#include <oleandergrade/process/token_messages.hpp>
#include <oleandergrade/request/statement.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace oleandergrade
{

/// The answer to a heartbeat: the receiver's own heartbeat.
struct heartbeat_reply
{
    heartbeat state;

    bool operator==(const heartbeat_reply&) const = default;
};

/// Spreads the outcome of a promotion.
struct group_announcement
{
    group_record record;

    bool operator==(const group_announcement&) const = default;
};

/// Asks for the configuration if it is newer than the given version.
struct configuration_request
{
    std::uint64_t known_version = 0;

    bool operator==(const configuration_request&) const = default;
};

/// A configuration record as kept in the platform, or version 0.
struct configuration_reply
{
    std::uint64_t version = 0;
    std::string value;

    bool operator==(const configuration_reply&) const = default;
};

/// Asks what the receiver did with one request.
struct trace_request
{
    std::string request_number;

    bool operator==(const trace_request&) const = default;
};

/// The receiver's trace as JSON text.
struct trace_reply
{
    std::string events;

    bool operator==(const trace_reply&) const = default;
};

using peer_body =
    std::variant<statement, answer, token_request, token_grant, heartbeat,
                 heartbeat_reply, group_announcement, configuration_request,
                 configuration_reply, trace_request, trace_reply, fleet_report,
                 fleet_grant, primary_notice, notice_receipt, snapshot_request,
                 fleet_snapshot>;

/// One frame. An answer carries the number of its question.
struct peer_message
{
    std::uint64_t id = 0;
    peer_body body;

    bool operator==(const peer_message&) const = default;
};

/// Largest frame that is read, in bytes.
inline constexpr std::size_t max_peer_frame_bytes = 8 * 1024 * 1024;

/// Encodes a message without its length prefix.
std::string encode_peer_message(const peer_message& message);
/// Errors: step "decode peer message".
result<peer_message> decode_peer_message(const std::string& frame);

} // namespace oleandergrade
