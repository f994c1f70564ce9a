/// Named checks of the decision logic that count, log and, in test builds,
/// abort.
#pragma once

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// Reports a failed check. Aborts if `abort_on_invariant_failure` was called.
void report_invariant_failure(const char* name, const std::string& detail);

/// Checks a condition that must always hold.
inline void check_invariant(bool holds, const char* name,
                            const std::string& detail = "")
{
    if (!holds)
        report_invariant_failure(name, detail);
}

/// Failed checks since the process started.
std::uint64_t invariant_failure_count();

/// Makes every failed check end the process; used by tests.
void abort_on_invariant_failure(bool enabled);

} // namespace oleandergrade
