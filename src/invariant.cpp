#include <oleandergrade/invariant.hpp>

#include <oleandergrade/process/event_log.hpp>

#include <atomic>
#include <cstdlib>

namespace oleandergrade
{

namespace
{
std::atomic<std::uint64_t> failures{0};
std::atomic<bool> aborts{false};
} // namespace

void report_invariant_failure(const char* name, const std::string& detail)
{
    ++failures;
    log_event(event_level::error, "invariant", "check failed",
              {{"check", name}, {"detail", detail}});
    if (aborts)
        std::abort();
}

std::uint64_t invariant_failure_count()
{
    return failures;
}

void abort_on_invariant_failure(bool enabled)
{
    aborts = enabled;
}

} // namespace oleandergrade
