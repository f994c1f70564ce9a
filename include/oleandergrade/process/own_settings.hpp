/// Settings of the product's own, besides those that the platform gives.
#pragma once

#include <oleandergrade/version/ini_document.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oleandergrade
{

/// Immutable. An INI file with these sections and keys, all of them optional:
///
///     [http]
///     listen = 127.0.0.1:8080
///     [peers]
///     advertise = 127.0.0.1:9000
///     [sessions]
///     most = 3500
///     [log]
///     statement_lines = 20
///     event_lines = 50
struct own_settings
{
    /// Where callers' HTTP requests arrive; empty if they are not taken.
    std::string http_address;
    /// Where other VMs are to call; empty if that is the address it listens
    /// on.
    std::string advertised_peer_address;
    /// Callers' sessions that one VM holds at the same time.
    std::size_t most_sessions = 3500;
    /// Log lines per second of statements, and of all else.
    std::uint32_t statement_lines = 20;
    std::uint32_t event_lines = 50;

    bool operator==(const own_settings&) const = default;
};

/// Returns all problems at once, with file, line and key. Unknown sections and
/// keys are problems.
std::variant<own_settings, std::vector<ini_problem>>
parse_own_settings(const std::string& file, const std::string& text);

} // namespace oleandergrade
