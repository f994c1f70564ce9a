/// Coverage-guided fuzz target for each surface that takes bytes from outside.
/// The first byte chooses the surface.
#include "../../platform/configuration_decoder.hpp"
#include "../../platform/line_codec.hpp"
#include "../../platform/server_record_decoder.hpp"
#include "../../platform/settings_file.hpp"

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
#include <string>

using namespace oleandergrade;

namespace
{

const platform::line_codec codec;

void fuzz_sessions(const std::string& bytes)
{
    (void)codec.parse_caller_message(bytes);
    const auto message = codec.parse_target_message(bytes);
    if (succeeded(message))
        if (const auto* row = std::get_if<target_row>(&value_of(message)))
            (void)codec.row_text(*row);
    (void)codec.parse_target_report(bytes);
}

void fuzz_http(const std::string& bytes)
{
    for (const auto verb :
         {session_verb::read, session_verb::write, session_verb::commit})
        (void)parse_http_statement(verb, bytes, codec);
    (void)parse_session_position(bytes, "database");
}

void fuzz_settings(const std::string& bytes)
{
    (void)platform::parse_settings_file("fuzz", bytes);
    (void)parse_own_settings("fuzz", bytes);
    (void)parse_fleet_configuration("fuzz", bytes);
}

void fuzz_platform_records(const std::string& bytes)
{
    (void)platform::decode_configuration(bytes);
    (void)platform::decode_server_record("id", bytes);
}

void fuzz_own_records(const std::string& bytes)
{
    (void)parse_primary_record(bytes, 1);
    (void)parse_leader_identity(bytes);
    (void)parse_fleet_member(bytes);
    (void)parse_log_line(bytes);
}

void fuzz_peer_message(const std::string& bytes)
{
    const auto decoded = decode_peer_message(bytes);
    if (!succeeded(decoded))
        return;
    const auto again =
        decode_peer_message(encode_peer_message(value_of(decoded)));
    if (!succeeded(again) || !(value_of(again) == value_of(decoded)))
        std::abort();
}

using surface = void (*)(const std::string&);
constexpr surface surfaces[] = {fuzz_sessions,    fuzz_http,
                                fuzz_settings,    fuzz_platform_records,
                                fuzz_own_records, fuzz_peer_message};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    if (size == 0)
        return 0;
    const auto chosen = data[0] % std::size(surfaces);
    surfaces[chosen](
        std::string(reinterpret_cast<const char*>(data + 1), size - 1));
    return 0;
}
