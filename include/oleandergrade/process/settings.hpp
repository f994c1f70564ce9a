/// The settings of one daemon process, read from an INI file.
#pragma once

#include <oleandergrade/version/ini_document.hpp>

#include <string>
#include <vector>

namespace oleandergrade
{

/// Settings as given by the VM's operators. Immutable after start.
struct settings
{
    /// Unique name of the VM.
    std::string node;
    std::string failure_domain;
    /// Where callers connect, "IP:PORT".
    std::string listen;
    /// Where other daemons connect.
    std::string peer_listen;
    /// Where operators' tools connect.
    std::string admin_listen;
    std::size_t threads = 2;
    std::string platform_address;
    /// One of trace, debug, info, warning, error.
    std::string log_level = "info";

    bool operator==(const settings&) const = default;
};

/// Parses a settings file and collects all problems. The result is
/// meaningful only if there are none.
settings parse_settings(const std::string& file, const std::string& text,
                        std::vector<ini_problem>& problems);

} // namespace oleandergrade
