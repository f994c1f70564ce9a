/// Interface of the encoding of sessions, both with callers and with targets.
#pragma once

#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/error.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace oleandergrade
{

/// Maximum length of a message, without its line end. Longer ones are not read.
inline constexpr std::size_t max_session_message_bytes = 1024 * 1024;

/// The line end, which follows every message.
inline constexpr std::string_view session_line_end = "\r\n";

/// Encodes and decodes the messages of a session protocol. Each message is a
/// line. The functions that parse expect it without its line end; the functions
/// that append write the line end too. Immutable, so safe to use from several
/// threads.
class session_codec
{
public:
    virtual ~session_codec() = default;

    /// Parses a message of a caller. Fails with step "parse caller message" if
    /// it is not a message of the protocol. A statement that the protocol does
    /// not know is no error; its verb is `unknown`.
    virtual result<caller_message>
    parse_caller_message(std::string_view line) const = 0;
    /// Parses a message of a target. Fails with step "parse target message".
    virtual result<target_message>
    parse_target_message(std::string_view line) const = 0;
    /// Parses the row with which a target answers the statements of
    /// encode_report_request(), encode_fence() and encode_demote(). Fails with
    /// step "parse target report".
    virtual result<target_report>
    parse_target_report(std::string_view line) const = 0;

    /// Returns the data of a row, without the rest of the message.
    virtual std::string row_data(const target_row& row) const = 0;

    /// Appends the message that opens a session. With a target, it opens a
    /// session at this target of the group for a client account. With an empty
    /// target, it opens a session of a caller at a VM, and the two names are a
    /// database and the key of a client account.
    virtual void append_opening(std::string& out,
                                const std::string& group_or_database,
                                const std::string& account_or_key,
                                const std::string& target) const = 0;
    /// Appends a message with a statement: its identifier and its text. With
    /// `minimum`, the target answers `lagging` unless its log has reached this
    /// position.
    virtual void
    append_statement(std::string& out, const std::string& id,
                     const std::string& text,
                     const std::optional<log_position>& minimum) const = 0;

    /// These functions return the text of a statement, which append_statement()
    /// turns into a message. If the proxy sends the statement by itself, not
    /// for a caller, the identifier is proxy_statement_id().
    virtual std::string encode_begin(bool read_only) const = 0;
    /// Sets a value of the session.
    virtual std::string encode_set(const std::string& name,
                                   const std::string& value) const = 0;
    virtual std::string encode_prepare(const std::string& name, bool writes,
                                       const std::string& shape) const = 0;
    /// Returns the text of a caller's EXECUTE with `name` in place of the name
    /// of the prepared statement. All other bytes stay as they are.
    virtual std::string rename_prepared(const std::string& text,
                                        const std::string& name) const = 0;
    virtual std::string encode_rollback() const = 0;
    virtual std::string encode_commit() const = 0;
    virtual std::string encode_read(const std::string& item) const = 0;
    virtual std::string encode_write(const std::string& item,
                                     const std::string& data) const = 0;
    /// Discards all values and prepared statements of the session.
    virtual std::string encode_reset() const = 0;
    /// Requests a `target_report`.
    virtual std::string encode_report_request() const = 0;
    /// Makes a replica reject what primaries of terms below the given one
    /// commit.
    virtual std::string encode_fence(std::uint64_t term) const = 0;
    /// Encodes the request that ends the effect of encode_fence(). The answer
    /// contains no report.
    virtual std::string encode_resume() const = 0;
    /// Makes a target a replica if it is the primary of a lower term.
    virtual std::string encode_demote(std::uint64_t term) const = 0;
    /// The identifier of statements that the proxy sends by itself.
    virtual const std::string& proxy_statement_id() const = 0;

    /// Appends the end of a successful answer, with the target's proof that it
    /// ran the statement.
    virtual void append_completion(std::string& out,
                                   const std::string& proof) const = 0;
    /// Appends the end of a successful answer that the proxy gives by itself,
    /// without a target.
    virtual void append_proxy_completion(std::string& out) const = 0;
    /// Appends the end of an answer to a statement that failed.
    virtual void append_failure(std::string& out, session_error code,
                                const std::string& message) const = 0;
    /// Appends the message that the next statement is expected.
    virtual void append_readiness(std::string& out,
                                  transaction_state state) const = 0;
};

} // namespace oleandergrade
