/// Declarations that the source files of statement_runner share. Private to
/// them.
#pragma once

#include <oleandergrade/process/serving/statement_runner.hpp>
#include <oleandergrade/process/serving/statement_stages.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace oleandergrade
{

/// Minimum timeout of an exchange with a target, also when the deadline is
/// closer or has passed.
inline constexpr auto min_exchange_timeout = milliseconds(5);

/// Retry time for callers whose values and prepared statements the VM has no
/// room for.
inline constexpr auto held_bytes_retry_after = milliseconds(1000);

/// Returns the timeout of an exchange that should end by `deadline`.
inline milliseconds exchange_timeout_until(time_point deadline)
{
    return std::max<milliseconds>(
        std::chrono::duration_cast<milliseconds>(deadline - current_time()),
        min_exchange_timeout);
}

/// Marks a caller's session as in use while the object exists. Uses may be
/// nested.
class session_use_mark
{
public:
    explicit session_use_mark(served_session& session)
        : session_(session), was_in_use_(session.is_in_use)
    {
        session_.is_in_use = true;
    }
    ~session_use_mark() { session_.is_in_use = was_in_use_; }
    session_use_mark(const session_use_mark&) = delete;
    session_use_mark& operator=(const session_use_mark&) = delete;

private:
    served_session& session_;
    bool was_in_use_;
};

/// The state of one statement while it is under way.
struct statement_runner::run_state
{
    run_state(served_session& owner, const session_statement& statement)
        : session(owner), use(owner), call(statement),
          arrived_at(current_time())
    {
    }

    served_session& session;
    session_use_mark use;
    const session_statement& call;
    /// When the statement was received.
    time_point arrived_at;
    time_point deadline;
    /// Null if the database has no route. Points into `table` or `session`.
    const route* matched_route = nullptr;
    /// Keeps the configuration alive while the statement is under way.
    route_table_ptr table;
    /// Name of the client account.
    std::string account;
    /// The prepared statement that an EXECUTE names; null for all other
    /// statements.
    const prepared_statement* prepared = nullptr;
    /// Another VM has forwarded the statement to this one.
    bool is_from_other_vm = false;
    /// The statement may write.
    bool writes = false;
    /// The statement cannot be sent with a position that the target's log must
    /// have reached, since its line would be too long.
    bool is_too_long_for_position = false;
    /// Identifiers of targets that further attempts must not use.
    std::set<std::string> excluded_targets;
    /// The encoded answer to the caller, as far as it is complete.
    std::string reply;
    statement_outcome outcome;
    stage_times stages;
    /// The outcome is final; no further attempt follows.
    bool answered = false;
};

} // namespace oleandergrade
