/// The messages of sessions with callers and with targets, independent of their
/// encoding.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/log_position.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace oleandergrade
{

/// The kinds of statements of a session.
enum class session_verb : std::uint8_t
{
    begin,
    begin_read_only,
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    /// The statement is none of those above, or its operands are invalid.
    unknown
};

/// Why a statement of a session failed. These errors are part of the session
/// protocol. "Not applied" in a comment means that the error guarantees that
/// the statement has had no effect, so it may be sent again.
enum class session_error : std::uint8_t
{
    none,
    /// Not applied: too much load, the client account is over its rate, or no
    /// primary is usable. Try again later.
    busy,
    /// Not applied: the whole transaction was rolled back.
    aborted,
    /// Not applied: the target's log has not reached the required position.
    lagging,
    /// Not applied: the target is not the primary of its group.
    read_only,
    /// Not applied: another target than the expected one answers at the
    /// address.
    wrong_target,
    /// Not applied: the target has too many connections.
    connection_limit,
    /// The target ran the statement, which failed.
    failed,
    /// A write may or may not have been applied; the outcome is unknown.
    in_doubt,
    /// There was no answer in time; the statement may have run.
    timeout,
    /// No route has the name of the database.
    unknown_database,
    /// The key belongs to no client account.
    unauthorized,
    /// The message or the statement is invalid, or not allowed in the present
    /// state of the session.
    malformed,
    /// No statement is prepared under this name in the session.
    unknown_prepared,
    /// An error of a target that is none of those above. Its effect is unknown.
    other
};

/// Number of values of `session_error`, for tables indexed by them.
inline constexpr std::size_t session_error_count =
    static_cast<std::size_t>(session_error::other) + 1;

/// Returns the name of an error as written in answers, logs and metrics. These
/// names must not change.
const char* to_string(session_error code);

/// Whether the error guarantees that the statement was not applied.
bool guarantees_not_applied(session_error code);

/// The transaction state of a session between two statements.
enum class transaction_state : std::uint8_t
{
    /// No transaction is open.
    none,
    open,
    /// The transaction has failed. It ends with a rollback, or with a commit,
    /// which then rolls back.
    failed
};

/// The message with which a caller opens its session.
struct session_opening
{
    std::string database;
    /// Key of the client account; may be empty if the route is public.
    std::string account_key;

    bool operator==(const session_opening&) const = default;
};

/// A statement of a caller.
struct session_statement
{
    /// Identifier that the caller chose, or for HTTP that the VM assigned.
    std::string id;
    session_verb verb = session_verb::unknown;
    /// Name of a session value (SET) or of a prepared statement (PREPARE,
    /// EXECUTE, DEALLOC).
    std::string name;
    /// The item that is read or written; for PREPARE, the shape of the prepared
    /// statement; for EXECUTE, everything that follows the name.
    std::string item_or_shape;
    /// The session value to set, or the data to write.
    std::string data;
    /// For PREPARE: the prepared statement writes.
    bool prepares_write = false;
    /// The text of the whole statement as received. It is sent to the target
    /// unchanged, but for EXECUTE, where the target has its own name for the
    /// prepared statement.
    std::string text;
    /// Timeout that the caller requested, which can only shorten the timeout
    /// of the route; zero if it requested none.
    milliseconds caller_timeout{0};

    bool operator==(const session_statement&) const = default;
};

/// The message with which a caller ends its session.
struct session_ending
{
    bool operator==(const session_ending&) const = default;
};

using caller_message =
    std::variant<session_opening, session_statement, session_ending>;

/// A row of an answer.
struct target_row
{
    /// The whole message as received, without its line end.
    std::string line;
};

/// The message that the statement succeeded.
struct target_completion
{
    /// With this opaque text the target proves that it ran the statement. It is
    /// forwarded to the caller unchanged.
    std::string execution_proof;
};

/// The message that the statement failed, or that the target refuses the
/// session.
struct target_failure
{
    session_error code = session_error::other;
    /// The whole message as received, without its line end.
    std::string line;
};

/// The message that ends every answer: the target expects the next statement.
struct target_readiness
{
    transaction_state transaction = transaction_state::none;
    /// The log position that the target's data had reached, including a write
    /// of this answer. Empty if the target gives none.
    std::optional<log_position> position;
};

using target_message = std::variant<target_row, target_completion,
                                    target_failure, target_readiness>;

/// The state of a target as the target itself reports it.
struct target_report
{
    bool is_primary = false;
    /// Latest term that the target has reached.
    std::uint64_t term = 0;
    /// End of the target's log as received. A replica may have applied less.
    log_position received_position;
    /// Number of statements that the target is running.
    std::uint64_t busy_slots = 0;
    /// Number of open connections to the target.
    std::uint64_t connections = 0;

    bool operator==(const target_report&) const = default;
};

} // namespace oleandergrade
