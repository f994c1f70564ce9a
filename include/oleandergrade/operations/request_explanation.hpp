/// Finds the lines of the fleet's logs that explain the outcome of one request.
#pragma once

#include <oleandergrade/operations/log_line.hpp>

#include <string>
#include <vector>

namespace oleandergrade
{

/// Log lines that concern a request, sorted by time.
struct request_explanation
{
    /// The lines that contain the request's identifier.
    std::vector<log_line> request_lines;
    /// Other lines from the same time: state changes of the VMs that handled
    /// the request, and events that concern all VMs.
    std::vector<log_line> context_lines;
};

/// Searches `lines` for a request. Lines up to `window_ms` before its first and
/// after its last line count as being from the same time. Both lists are empty
/// if no line names the request.
request_explanation explain_request(const std::vector<log_line>& lines,
                                    const std::string& request,
                                    std::int64_t window_ms);

/// Returns an explanation of a failed statement's reason with the next thing to
/// examine, or an empty text for reasons that it does not cover.
std::string advice_for(const log_line& failed);

} // namespace oleandergrade
