/// Decides what follows the attempt of an entry VM to have another VM run a
/// statement. Without I/O.
#pragma once

#include <oleandergrade/connection/forwarded_statement.hpp>
#include <oleandergrade/error.hpp>

#include <cstdint>

namespace oleandergrade
{

/// The next step of the entry VM for a statement that it has forwarded.
enum class forwarding_step : std::uint8_t
{
    /// Deliver the answer to the caller.
    deliver_answer,
    /// Forward the statement to the standby.
    try_standby,
    /// Run the statement at this VM, which refuses it as not run if no time is
    /// left.
    run_here,
    /// Report that the whole transaction was rolled back.
    report_aborted,
    /// Report that the outcome of the write or of the transaction is unknown.
    report_in_doubt,
    /// Report that no answer arrived in time.
    report_timeout
};

/// The part of a transaction that a statement is.
enum class transaction_part : std::uint8_t
{
    /// The statement belongs to no transaction.
    none,
    /// The first statement of its transaction that is forwarded.
    first,
    /// A later statement other than COMMIT. Also ROLLBACK.
    later,
    commit
};

/// The facts about a forwarded statement that determine the next step.
struct forwarding_facts
{
    /// The statement may write; for COMMIT, the transaction may have written.
    bool writes = false;
    transaction_part part = transaction_part::none;
    /// The time left for the statement allows another attempt.
    bool may_retry = false;
    /// The slice has a standby other than this VM, which is not avoided and to
    /// which this statement has not been forwarded.
    bool standby_available = false;
};

/// Returns the part of a transaction that a forwarded statement is.
transaction_part part_of_transaction(const forwarded_statement& statement);

/// Returns the next step after a statement was forwarded with this outcome. An
/// error of the kind `unreachable` means that no connection was made, so that
/// nothing was sent; after any other error the statement may have run.
forwarding_step
next_step_after_forwarding(const result<forwarded_answer>& outcome,
                           const forwarding_facts& facts);

} // namespace oleandergrade
