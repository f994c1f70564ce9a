#include <oleandergrade/invariant.hpp>

#include <oleandergrade/process/event_log.hpp>

#include <atomic>
#include <cstdlib>

namespace oleandergrade
{

namespace
{
std::atomic<std::uint64_t> failure_count{0};
std::atomic<bool> abort_enabled{false};
} // namespace

void report_invariant_failure(const char* name, const std::string& detail)
{
    ++failure_count;
    log_event(event_level::error, "invariant", "check failed",
              {{"check", name}, {"detail", detail}});
    if (abort_enabled)
        std::abort();
}

std::uint64_t invariant_failure_count()
{
    return failure_count;
}

void abort_on_invariant_failure(bool enabled)
{
    abort_enabled = enabled;
}

} // namespace oleandergrade
