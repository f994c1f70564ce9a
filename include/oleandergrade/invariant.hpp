/// Named checks of the decision logic. A failed check is counted and logged
/// and, in tests, aborts the process.
#pragma once

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// Counts and logs a failed check. Aborts the process if that was enabled with
/// abort_on_invariant_failure().
void report_invariant_failure(const char* name, const std::string& detail);

/// Reports a failure if `condition`, which must always be true, is
/// false.
inline void check_invariant(bool condition, const char* name,
                            const std::string& detail = "")
{
    if (!condition)
        report_invariant_failure(name, detail);
}

/// Returns the number of failed checks since the process started.
std::uint64_t invariant_failure_count();

/// Sets whether a failed check aborts the process. Used by tests.
void abort_on_invariant_failure(bool enabled);

} // namespace oleandergrade
