/// What the parts of one daemon process share.
#pragma once

#include <oleandergrade/process/fleet_view.hpp>
#include <oleandergrade/process/metrics.hpp>
#include <oleandergrade/process/settings.hpp>
#include <oleandergrade/process/trace_store.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// Lives as long as the process; every member is safe to use from several
/// threads.
struct process_context
{
    explicit process_context(const settings& given);

    const settings own;
    /// Random number of this run of the process. A restarted process is a
    /// new one, since it has forgotten everything.
    const std::uint64_t incarnation;
    fleet_view view;
    metrics measured;
    trace_store traces;
};

} // namespace oleandergrade
