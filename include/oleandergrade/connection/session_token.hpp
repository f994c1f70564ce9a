/// The signed token that carries a session's position between entry VMs.
#pragma once

#include <oleandergrade/error.hpp>
#include <oleandergrade/request/statement.hpp>

#include <string>

namespace oleandergrade
{

/// What a session has seen of one database.
struct session_token
{
    std::string account;
    std::string database;
    log_position position;
    /// A write of this session in `position.term` has an unknown outcome.
    bool unsettled = false;

    bool operator==(const session_token&) const = default;

    /// The token after an answer at another position. Positions only rise.
    session_token advanced_to(const log_position& seen) const;
    /// The token after a write in `term` whose outcome is unknown.
    session_token with_unknown_write(std::uint64_t term) const;
};

/// Encodes and signs a token; the text is opaque to callers.
std::string sign_session_token(const session_token& token,
                               const std::string& secret);

/// Checks the signature and decodes. Errors: step "verify session".
result<session_token> verify_session_token(const std::string& text,
                                           const std::string& secret);

} // namespace oleandergrade
