/// Finds what the fleet's logs tell of one request.
#pragma once

#include <oleandergrade/operations/log_line.hpp>

#include <string>
#include <vector>

namespace oleandergrade
{

/// The lines that name the request, and those that tell what its VM believed
/// at that time, in the order of their time.
struct request_explanation
{
    std::vector<log_line> of_request;
    std::vector<log_line> around;
};

/// `window_ms` before and after the request's lines count as the same time.
request_explanation explain_request(const std::vector<log_line>& lines,
                                    const std::string& request,
                                    std::int64_t window_ms);

/// What the reason of a failed statement means, and where to look next; empty
/// for reasons that are not known.
std::string advice_for(const log_line& failed);

} // namespace oleandergrade
