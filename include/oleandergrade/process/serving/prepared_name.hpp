/// Names of prepared statements at targets.
#pragma once

#include <oleandergrade/connection/caller_session.hpp>

#include <string>

namespace oleandergrade
{

/// Returns the name under which the statement is prepared at targets. It
/// depends only on the statement's shape and on whether it writes, not on the
/// caller's name for it, so that callers that take turns on a target session
/// share its prepared statements. Two statements that differ have different
/// names, whatever bytes their shapes hold. Consists of at most 66 ASCII
/// letters and digits.
std::string prepared_name_at_target(const prepared_statement& statement);

} // namespace oleandergrade
