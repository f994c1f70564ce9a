#include <oleandergrade/process/serving/slot_policy.hpp>

#include <algorithm>

namespace oleandergrade
{

bool may_occupy_slot(const slot_usage& usage, bool is_long_read,
                     bool higher_priority_waits)
{
    if (usage.running >= usage.slots)
        return false;
    if (!is_long_read)
        return true;
    if (usage.is_primary && usage.slots > 1 && usage.running + 1 >= usage.slots)
        return false;
    return !higher_priority_waits ||
           usage.running_long < std::max(usage.slots / 2, 1U);
}

} // namespace oleandergrade
