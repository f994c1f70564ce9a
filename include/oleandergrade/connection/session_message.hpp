/// What callers and targets say to each other on a session, free of its
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

/// What a statement of a session does.
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
    /// None of the known statements.
    unknown
};

/// Why a statement of a session failed, as callers and targets see it.
enum class session_error : std::uint8_t
{
    none,
    /// Promises that nothing is kept: too much work, try again later.
    busy,
    /// Promises that nothing is kept: the transaction was rolled back.
    aborted,
    /// Promises that nothing is kept: the log lacks the wanted position.
    lagging,
    /// Promises that nothing is kept: the target does not lead its group.
    read_only,
    /// Promises that nothing is kept: another target answers at the address.
    wrong_target,
    /// Promises that nothing is kept: the target has too many connections.
    connection_limit,
    /// The statement ran and failed.
    failed,
    /// The outcome of a write cannot be known.
    in_doubt,
    /// No answer in time; the statement may have run.
    timeout,
    unknown_database,
    unauthorized,
    malformed,
    /// The name was never prepared on this session.
    unknown_prepared,
    /// An error that is not listed here.
    other
};

/// Number of errors, for tables indexed by error.
inline constexpr std::size_t session_error_count =
    static_cast<std::size_t>(session_error::other) + 1;

/// Stable name of an error, as written in logs and metrics.
const char* to_string(session_error code);

/// Whether the error promises that the statement left nothing behind.
bool promises_nothing_kept(session_error code);

/// State of a session between two statements.
enum class transaction_state : std::uint8_t
{
    none,
    open,
    /// Only a rollback, or a commit that rolls back, ends it.
    failed
};

/// The first message of a caller.
struct session_opening
{
    std::string database;
    /// Identifies the account; empty on sessions of open routes.
    std::string key;

    bool operator==(const session_opening&) const = default;
};

/// One statement of a caller.
struct session_statement
{
    std::string id;
    session_verb verb = session_verb::unknown;
    /// Name of a value or of a prepared statement.
    std::string name;
    /// A prepared statement's shape, or the item that a statement names.
    std::string subject;
    /// Value to set, or data to write.
    std::string data;
    /// The prepared statement writes.
    bool prepares_write = false;
    /// The statement's text as the caller sent it.
    std::string text;
    /// A time limit of the caller's own, below the route's; zero if none.
    milliseconds time_limit{0};

    bool operator==(const session_statement&) const = default;
};

/// The caller ends its session.
struct session_ending
{
    bool operator==(const session_ending&) const = default;
};

using caller_message =
    std::variant<session_opening, session_statement, session_ending>;

/// One row of an answer, undecoded.
struct target_row
{
    std::string line;
};

/// The statement ended well. `proof` is passed on to the caller unchanged.
struct target_completion
{
    std::string proof;
};

/// The statement failed, or the session was refused.
struct target_failure
{
    session_error code = session_error::other;
    std::string line;
};

/// The target awaits the next statement.
struct target_readiness
{
    transaction_state state = transaction_state::none;
    std::optional<log_position> position;
};

using target_message = std::variant<target_row, target_completion,
                                    target_failure, target_readiness>;

/// What a target tells of itself.
struct target_report
{
    bool is_primary = false;
    std::uint64_t term = 0;
    /// End of the log as received, which may be ahead of what is applied.
    log_position received;
    std::uint64_t busy_slots = 0;
    std::uint64_t connections = 0;

    bool operator==(const target_report&) const = default;
};

} // namespace oleandergrade
