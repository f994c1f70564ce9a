/// Messages with which one VM has another run a caller's statement.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/caller_session.hpp>
#include <oleandergrade/connection/log_position.hpp>
#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace oleandergrade
{

/// Identifies a caller's session at an entry VM.
struct forwarded_session_id
{
    std::string vm;
    /// Incarnation of the entry VM's process.
    std::uint64_t incarnation = 0;
    /// Number of the session at the entry VM; never used again there.
    std::uint64_t session = 0;

    auto operator<=>(const forwarded_session_id&) const = default;
};

/// A statement with everything that a VM needs to run it at a target. The entry
/// VM has checked the route, the key and the account's rate.
struct forwarded_statement
{
    forwarded_session_id session;
    session_statement statement;
    /// The prepared statement that an EXECUTE names.
    std::optional<prepared_statement> prepared;
    std::map<std::string, std::string> session_values;
    std::string account;
    /// The route that the entry VM has found. `is_public` is not sent.
    route matched_route;
    /// Time until the statement's deadline, counted from when the message is
    /// written.
    milliseconds time_left{0};
    /// Time that the statement has spent at the entry VM.
    milliseconds time_spent{0};
    /// Position of the session's last commit.
    std::optional<log_position> session_position;
    bool in_transaction = false;
    /// This is the first statement of its transaction that is forwarded.
    bool begins_transaction = false;
    /// The transaction was begun as read-only.
    bool is_read_only = false;

    bool operator==(const forwarded_statement&) const = default;
};

/// The answer to a forwarded statement.
struct forwarded_answer
{
    /// False: the statement has not run, and nothing is left of a transaction
    /// that it was to begin. The entry VM may have it run elsewhere.
    bool accepted = false;
    /// The encoded answer for the caller, without the state of its session.
    std::string answer;
    session_error failure = session_error::none;
    /// Why the statement failed, or why it was not accepted.
    std::string reason;
    /// Identifier of the target of the last attempt.
    std::string target;
    std::uint32_t attempts = 0;
    milliseconds retry_after{0};
    /// State of the transaction after the statement.
    transaction_state transaction = transaction_state::none;
    /// Position of a commit that the statement made.
    std::optional<log_position> commit_position;

    bool operator==(const forwarded_answer&) const = default;
};

/// Rolls back the forwarded transaction of a session. The answer is a
/// `forwarded_answer`.
struct forwarded_end
{
    forwarded_session_id session;

    bool operator==(const forwarded_end&) const = default;
};

/// Asks whether the receiver is alive. The answer is a `liveness_reply` with
/// the same number.
struct liveness_probe
{
    std::uint64_t number = 0;

    bool operator==(const liveness_probe&) const = default;
};

struct liveness_reply
{
    std::uint64_t number = 0;

    bool operator==(const liveness_reply&) const = default;
};

} // namespace oleandergrade
