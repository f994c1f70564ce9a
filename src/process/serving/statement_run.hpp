/// What the sources of statement_runner share; private to them.
#pragma once

#include <oleandergrade/process/serving/statement_runner.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace oleandergrade
{

/// The least time that an exchange with a target gets.
inline constexpr auto least_exchange = milliseconds(5);

inline milliseconds left_until(time_point deadline)
{
    return std::max<milliseconds>(
        std::chrono::duration_cast<milliseconds>(deadline - current_time()),
        least_exchange);
}

/// What one statement needs while it is under way.
struct statement_runner::run_state
{
    run_state(served_session& owner, const session_statement& statement)
        : session(owner), call(statement), arrived(current_time())
    {
    }

    served_session& session;
    const session_statement& call;
    time_point arrived;
    time_point deadline;
    const route* used_route = nullptr;
    route_table_ptr table;
    std::string account;
    /// The statement prepared under the name that it executes.
    const prepared_statement* prepared = nullptr;
    bool writes = false;
    std::set<std::string> excluded;
    std::string reply;
    statement_outcome outcome;
    bool answered = false;
};

} // namespace oleandergrade
