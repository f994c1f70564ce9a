#include <oleandergrade/process/serving/statement_stages.hpp>

#include <algorithm>

namespace oleandergrade
{

const char* to_string(statement_stage stage)
{
    constexpr std::array<const char*, statement_stage_count> names{
        "limit", "queue", "preparing", "forwarding", "target"};
    return names[static_cast<std::size_t>(stage)];
}

statement_stage stage_times::longest() const
{
    return static_cast<statement_stage>(
        std::max_element(times_.begin(), times_.end()) - times_.begin());
}

} // namespace oleandergrade
