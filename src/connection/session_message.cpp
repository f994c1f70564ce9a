#include <oleandergrade/connection/session_message.hpp>

#include <array>

namespace oleandergrade
{

const char* to_string(session_error code)
{
    static constexpr std::array<const char*, session_error_count> names{
        "none",
        "busy",
        "aborted",
        "lagging",
        "read-only",
        "wrong-target",
        "connection-limit",
        "failed",
        "in-doubt",
        "timeout",
        "unknown-database",
        "unauthorized",
        "malformed",
        "unknown-prepared",
        "other"};
    return names[static_cast<std::size_t>(code)];
}

bool guarantees_not_applied(session_error code)
{
    switch (code)
    {
    case session_error::busy:
    case session_error::aborted:
    case session_error::lagging:
    case session_error::read_only:
    case session_error::wrong_target:
    case session_error::connection_limit:
        return true;
    default:
        return false;
    }
}

} // namespace oleandergrade
