#include <oleandergrade/process/failover_action.hpp>

namespace oleandergrade
{

std::string to_string(const failover_action& action)
{
    struct printer
    {
        std::string operator()(const probe_action& a) const
        {
            return "probe " + a.target;
        }
        std::string operator()(const read_record_action&) const
        {
            return "read record";
        }
        std::string operator()(const swap_record_action& a) const
        {
            return "swap record at revision " +
                   std::to_string(a.expected_revision) + " to term " +
                   std::to_string(a.record.term) +
                   (a.record.steady ? ", primary " + a.record.primary
                                    : ", being decided");
        }
        std::string operator()(const fence_action& a) const
        {
            return "fence " + a.target + " in term " + std::to_string(a.term);
        }
        std::string operator()(const promote_action& a) const
        {
            return "promote " + a.target + " in term " + std::to_string(a.term);
        }
        std::string operator()(const follow_action& a) const
        {
            return "let " + a.target + " follow " + a.primary + " in term " +
                   std::to_string(a.term);
        }
        std::string operator()(const announce_action& a) const
        {
            return "announce " + a.record.primary + " in term " +
                   std::to_string(a.record.term);
        }
    };
    return std::visit(printer{}, action);
}

} // namespace oleandergrade
