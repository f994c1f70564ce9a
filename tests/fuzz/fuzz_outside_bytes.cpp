/// Coverage-guided fuzz target for the parsers of data that comes from outside
/// the process. The first byte of an input chooses the group of parsers, the
/// other bytes are the data. A sanitizer report, a crash, or a peer message or
/// a caller's statement that changes when it is read and written again is a
/// failure.
#include "../../platform/configuration_decoder.hpp"
#include "../../platform/line_codec.hpp"
#include "../../platform/server_record_decoder.hpp"
#include "../../platform/settings_file.hpp"
#include "../fakes/rewritten_statement.hpp"

#include <oleandergrade/connection/http_statement.hpp>
#include <oleandergrade/connection/peer_message.hpp>
#include <oleandergrade/operations/log_line.hpp>
#include <oleandergrade/process/failover/primary_record.hpp>
#include <oleandergrade/process/membership/leader_election.hpp>
#include <oleandergrade/process/membership/member_list.hpp>
#include <oleandergrade/process/own_settings.hpp>
#include <oleandergrade/version/fleet_configuration.hpp>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

using namespace oleandergrade;

namespace
{

const platform::line_codec codec;

/// Ends the process if the problem is not empty.
void abort_if(const std::string& problem)
{
    if (problem.empty())
        return;
    std::cerr << problem << "\n";
    std::abort();
}

/// Messages of the session protocol: from callers, from targets, and the
/// targets' reports on themselves. A statement must be sent to targets with the
/// bytes that its caller sent.
void fuzz_session_messages(const std::string& bytes)
{
    abort_if(fakes::find_changed_statement(
        codec, bytes.substr(0, bytes.find(session_line_end))));
    const auto message = codec.parse_target_message(bytes);
    if (succeeded(message))
        if (const auto* row = std::get_if<target_row>(&value_of(message)))
            (void)codec.row_data(*row);
    (void)codec.parse_target_report(bytes);
}

/// Statements and session positions in HTTP requests of callers. The text that
/// is written for a target must be one line that says the same.
void fuzz_http_requests(const std::string& bytes)
{
    for (const auto verb :
         {session_verb::read, session_verb::write, session_verb::commit})
    {
        const auto request = parse_http_statement(verb, bytes, codec);
        if (!succeeded(request))
            continue;
        const auto& call = value_of(request).call;
        if (call.text.find(session_line_end) != std::string::npos)
            abort_if("an HTTP request writes more than one line");
        const auto line = codec.parse_caller_message("QUERY 1 " + call.text);
        const auto& parsed = std::get<session_statement>(value_of(line));
        if (parsed.verb != verb || parsed.item_or_shape != call.item_or_shape ||
            parsed.data != call.data)
            abort_if("'" + call.text + "' is not what the request says");
    }
    (void)parse_session_token(bytes, "database");
}

/// Settings files of a VM and the fleet configuration.
void fuzz_settings(const std::string& bytes)
{
    (void)platform::parse_settings_file("fuzz", bytes);
    (void)parse_own_settings("fuzz", bytes);
    (void)parse_fleet_configuration("fuzz", bytes);
}

/// Records that the platform writes to the metadata store.
void fuzz_platform_records(const std::string& bytes)
{
    (void)platform::decode_configuration(bytes);
    (void)platform::decode_server_record("id", bytes);
}

/// Records that VMs write to the metadata store, and lines of VM logs.
void fuzz_vm_records(const std::string& bytes)
{
    (void)parse_primary_record(bytes, 1);
    (void)parse_leader_identity(bytes);
    (void)parse_fleet_member(bytes);
    (void)parse_log_line(bytes);
}

/// Messages between VMs. A message that can be decoded must stay the same when
/// it is encoded and decoded again.
void fuzz_peer_message(const std::string& bytes)
{
    const auto decoded = decode_peer_message(bytes);
    if (!succeeded(decoded))
        return;
    const auto decoded_again =
        decode_peer_message(encode_peer_message(value_of(decoded)));
    if (!succeeded(decoded_again) ||
        !(value_of(decoded_again) == value_of(decoded)))
        std::abort();
}

/// Passes data to the parsers of one group.
using fuzz_function = void (*)(const std::string&);
constexpr fuzz_function fuzz_functions[] = {
    fuzz_session_messages, fuzz_http_requests, fuzz_settings,
    fuzz_platform_records, fuzz_vm_records,    fuzz_peer_message};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    if (size == 0)
        return 0;
    const auto function_index = data[0] % std::size(fuzz_functions);
    fuzz_functions[function_index](
        std::string(reinterpret_cast<const char*>(data + 1), size - 1));
    return 0;
}
