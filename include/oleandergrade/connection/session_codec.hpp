/// Encoding of sessions, towards callers and towards targets.
#pragma once

#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/error.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace oleandergrade
{

/// Longest message that is read, in bytes.
inline constexpr std::size_t max_session_message_bytes = 1024 * 1024;

/// Ends every message.
inline constexpr std::string_view session_line_end = "\r\n";

/// Immutable and safe to use from several threads. Messages are lines; the
/// functions take them without their ending and write them with it.
class session_codec
{
public:
    virtual ~session_codec() = default;

    /// Errors: step "parse caller message".
    virtual result<caller_message>
    parse_caller_message(std::string_view line) const = 0;
    /// Errors: step "parse target message".
    virtual result<target_message>
    parse_target_message(std::string_view line) const = 0;
    /// Reads the row that answers a question for a target's report.
    virtual result<target_report>
    parse_target_report(std::string_view line) const = 0;

    /// The data of a row.
    virtual std::string row_text(const target_row& row) const = 0;

    /// Opens a session at a target for an account. Without a target, the names
    /// are a database and a key: a caller opens its session.
    virtual void append_opening(std::string& out, const std::string& group,
                                const std::string& account,
                                const std::string& target) const = 0;
    /// A statement of a caller, with its own identifier and text. `minimum`
    /// is the position that the target's log must have.
    virtual void
    append_statement(std::string& out, const std::string& id,
                     const std::string& text,
                     const std::optional<log_position>& minimum) const = 0;

    /// Texts of the statements that the product sends by itself; their
    /// identifier is `own_statement_id`.
    virtual std::string begin_text(bool read_only) const = 0;
    virtual std::string set_text(const std::string& name,
                                 const std::string& value) const = 0;
    virtual std::string prepare_text(const std::string& name, bool writes,
                                     const std::string& shape) const = 0;
    virtual std::string execute_text(const std::string& name,
                                     const session_statement& call) const = 0;
    virtual std::string rollback_text() const = 0;
    virtual std::string commit_text() const = 0;
    virtual std::string read_text(const std::string& item) const = 0;
    virtual std::string write_text(const std::string& item,
                                   const std::string& data) const = 0;
    virtual std::string reset_text() const = 0;
    virtual std::string report_text() const = 0;
    /// Stops a replica from following any term below the given one.
    virtual std::string fence_text(std::uint64_t term) const = 0;
    /// Makes a primary of a lower term a replica.
    virtual std::string demote_text(std::uint64_t term) const = 0;
    virtual const std::string& own_statement_id() const = 0;

    /// Ends an answer with what the target proved it by.
    virtual void append_completion(std::string& out,
                                   const std::string& proof) const = 0;
    /// Ends an answer to a caller that the product gives by itself.
    virtual void append_own_completion(std::string& out) const = 0;
    virtual void append_failure(std::string& out, session_error code,
                                const std::string& text) const = 0;
    virtual void append_readiness(std::string& out,
                                  transaction_state state) const = 0;
};

} // namespace oleandergrade
