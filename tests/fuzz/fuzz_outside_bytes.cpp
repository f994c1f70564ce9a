/// Coverage-guided fuzz target for each surface that takes bytes from outside.
/// The first byte chooses the surface.
#include <oleandergrade/connection/peer_message.hpp>
#include <oleandergrade/connection/session_token.hpp>
#include <oleandergrade/process/settings.hpp>
#include <oleandergrade/request/caller_request.hpp>
#include <oleandergrade/version/configuration.hpp>
#include <oleandergrade/version/group_record.hpp>
#include <oleandergrade/version/key_check.hpp>
#include <oleandergrade/version/vm_list.hpp>

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace oleandergrade;

namespace
{

void fuzz_caller_request(const std::string& bytes)
{
    for (const auto kind :
         {statement_kind::read, statement_kind::write, statement_kind::commit})
        (void)parse_caller_request(kind, bytes);
}

void fuzz_session_token(const std::string& bytes)
{
    if (succeeded(verify_session_token(bytes, "secret")))
        std::abort(); // The fuzzer cannot know the secret.
}

void fuzz_settings(const std::string& bytes)
{
    std::vector<ini_problem> problems;
    (void)parse_settings("fuzz", bytes, problems);
}

void fuzz_configuration(const std::string& bytes)
{
    std::vector<ini_problem> problems;
    const auto parsed = parse_configuration("fuzz", bytes, problems);
    if (!problems.empty())
        return;
    // What is accepted must survive being kept.
    const auto kept =
        parse_configuration_record(serialize_configuration(parsed));
    if (!succeeded(kept))
        std::abort();
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

void fuzz_platform_values(const std::string& bytes)
{
    (void)parse_configuration_record(bytes);
    (void)parse_group_record("d", bytes);
    (void)parse_vm_list(bytes);
    (void)check_key(configuration{}, bytes);
}

using surface = void (*)(const std::string&);
constexpr surface surfaces[] = {fuzz_caller_request, fuzz_session_token,
                                fuzz_settings,       fuzz_configuration,
                                fuzz_peer_message,   fuzz_platform_values};

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
