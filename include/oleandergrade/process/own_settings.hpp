/// The proxy's own settings file, in addition to the platform's settings.
#pragma once

#include <oleandergrade/process/forwarding/sharing_policy.hpp>
#include <oleandergrade/version/ini_document.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oleandergrade
{

/// The contents of an INI file with these sections and keys, all of which are
/// optional. The numbers shown are the defaults; the addresses are examples.
/// Not changed after parsing.
///
///     [http]
///     listen = 127.0.0.1:8080
///     [peers]
///     advertise = 127.0.0.1:9000
///     [fleet]
///     relay_from = 100
///     share_sessions_from = 5
///     dedicated_sessions = 4
///     slices = 2
///     lenders_per_domain = 5
///     [sessions]
///     most = 3500
///     held_mib = 64
///     [log]
///     statement_lines = 20
///     event_lines = 50
///     text_lines = 5
struct own_settings
{
    /// Address on which callers' HTTP requests are accepted; empty if none are.
    std::string http_address;
    /// Address at which other VMs connect to this one; empty if that is the
    /// address on which it listens.
    std::string advertised_peer_address;
    /// Number of VMs in the fleet from which on reports are relayed.
    std::size_t relay_from = 100;
    /// When the VMs of the fleet share sessions at targets.
    sharing_policy sharing;
    /// Number of VMs of a failure domain that a leader lists as lenders.
    std::size_t lenders_per_domain = 5;
    /// Maximum number of callers' sessions that are open at one VM.
    std::size_t max_sessions = 3500;
    /// Maximum number of MiB that their values and prepared statements take.
    std::size_t held_mib = 64;
    /// Maximum number of log lines per second, for single statements, for
    /// everything else, and for the texts of statements.
    std::uint32_t statement_lines = 20;
    std::uint32_t event_lines = 50;
    std::uint32_t text_lines = 5;

    bool operator==(const own_settings&) const = default;
};

/// Returns the settings, or all problems of the file, each with file, line and
/// key. Unknown sections and keys are problems. `file` is used in the problems
/// only.
std::variant<own_settings, std::vector<ini_problem>>
parse_own_settings(const std::string& file, const std::string& text);

} // namespace oleandergrade
