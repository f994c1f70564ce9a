/// Structured log lines through Boost.Log, with a fixed prefix per part.
#pragma once

#include <string>

namespace oleandergrade
{

enum class log_level
{
    trace,
    debug,
    info,
    warning,
    error
};

/// Writes lines to standard error. `node` stands in each line.
void start_logging(const std::string& node, const std::string& level);

/// Writes one short sentence. `part` is the fixed prefix, such as "owner".
void log(log_level level, const char* part, const std::string& sentence);

} // namespace oleandergrade
