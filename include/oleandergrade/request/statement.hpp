/// A caller's statement and its answer, as they pass through the fleet.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// What a statement does. `begin`, `commit` and `rollback` frame an
/// interactive transaction; the transaction kinds run inside one.
enum class statement_kind : std::uint8_t
{
    read,
    write,
    begin,
    transaction_read,
    transaction_write,
    commit,
    rollback
};

const char* to_string(statement_kind kind);

/// Whether a statement may change data when it reaches a target.
constexpr bool changes_data(statement_kind kind)
{
    return kind == statement_kind::write || kind == statement_kind::commit;
}

/// Whether the request ran. Only `not_run` promises that it had no effect.
enum class run_status : std::uint8_t
{
    ran,
    not_run,
    outcome_unknown
};

const char* to_string(run_status run);

/// Why a request was refused, or `none`.
enum class refusal_code : std::uint8_t
{
    none,
    bad_request,
    unknown_key,
    key_withdrawn,
    database_not_allowed,
    unknown_database,
    bad_session,
    over_rate,
    stale_configuration,
    overloaded,
    deadline,
    no_primary,
    not_owner,
    wrong_term,
    behind,
    target_unreachable,
    target_refused,
    unknown_transaction,
    transaction_lost,
    connection_lost,
    unconfirmed,
    stopping
};

/// Number of refusal codes, for tables indexed by code.
constexpr std::size_t refusal_code_count =
    static_cast<std::size_t>(refusal_code::stopping) + 1;

/// Stable name of a code, as written in answers, logs and metrics.
const char* to_string(refusal_code code);

/// A place in the log of a database group.
struct log_position
{
    std::uint64_t term = 0;
    std::uint64_t position = 0;

    auto operator<=>(const log_position&) const = default;
};

/// A statement on its way to one target.
struct statement
{
    /// Number given by the entry VM, for tracing.
    std::string request_number;
    std::string account;
    /// Identifier of the key that admitted it; never the key itself.
    std::string key_id;
    std::string database;
    std::string target;
    statement_kind kind = statement_kind::read;
    /// Opaque JSON text for the target.
    std::string text;
    /// Makes a write idempotent; empty if the caller gave none.
    std::string request_id;
    std::uint64_t term = 0;
    std::uint64_t min_position = 0;
    /// Accepted age of the data; zero means current as far as the session
    /// has seen.
    milliseconds max_age{0};
    /// Time left until the caller's deadline.
    milliseconds budget{0};
    /// Identifier of the interactive transaction; empty outside one.
    std::string transaction;

    bool operator==(const statement&) const = default;
};

/// The answer to a statement, or the reason why there is none.
struct answer
{
    run_status run = run_status::not_run;
    refusal_code code = refusal_code::none;
    std::string value;
    log_position position;
    /// The operation that failed and the peer it failed at.
    std::string step;
    std::string peer;
    std::string message;
    /// When to try again; zero if a repeat is useless or was not needed.
    milliseconds retry_after{0};
    std::string transaction;
    /// The request identifier had been recorded before.
    bool repeated = false;
    /// The target that served the statement.
    std::string served_by;
    /// Time spent in the owner's queue.
    milliseconds queued{0};

    bool operator==(const answer&) const = default;
};

/// An answer that promises that the request had no effect.
answer refuse(refusal_code code, std::string step, std::string peer,
              std::string message, milliseconds retry_after = {});

/// An answer for a request whose effect cannot be known.
answer unknown_outcome(refusal_code code, std::string step, std::string peer,
                       std::string message);

} // namespace oleandergrade
