#include <oleandergrade/operations/request_explanation.hpp>

#include <oleandergrade/process/event_log.hpp>

#include <algorithm>
#include <array>

namespace oleandergrade
{

namespace
{

/// A fragment of the reason of a failed statement, and the advice for it.
struct reason_advice
{
    std::string_view reason_fragment;
    const char* advice;
};

/// The first entry whose fragment occurs in a reason applies.
constexpr std::array reason_advices{
    reason_advice{"over the account's rate",
                  "The account sent more operations than its rate allows. "
                  "Compare its demand with its rate in the active "
                  "configuration."},
    reason_advice{"number of VMs is not known",
                  "The VM had not received the list of members, by which the "
                  "limits are divided. Examine its store lines for the prefix "
                  "oleander/."},
    reason_advice{
        "being replaced",
        "The group had no primary that could be used in time. Examine "
        "the failover lines of the same time: which VMs lost the "
        "primary, how long its record was closed, and when the grant "
        "was lost."},
    reason_advice{"was replaced",
                  "The primary was replaced while the write was in progress. A "
                  "write in doubt may have taken effect; read the data before "
                  "repeating the write."},
    reason_advice{"session free",
                  "Every target that may serve the statement was busy. Compare "
                  "the metric oleander_statements_waiting with the targets' "
                  "slots."},
    reason_advice{"key is not known",
                  "The key is not in the configuration that was active on this "
                  "VM; the line shows that configuration's version."},
    reason_advice{"no route",
                  "The database is not in the configuration that was active on "
                  "this VM; the line shows that configuration's version."},
    reason_advice{"timeout",
                  "The target did not answer in time. Search the logs "
                  "for other lines with this target."}};

/// Returns whether a line is about a VM's state instead of a statement.
bool is_vm_state_line(const log_line& line)
{
    return line.value_of_field("part") != statement_part;
}

/// Orders lines by time.
bool is_earlier(const log_line& a, const log_line& b)
{
    return a.time_ms() < b.time_ms();
}

} // namespace

request_explanation explain_request(const std::vector<log_line>& lines,
                                    const std::string& request,
                                    std::int64_t window_ms)
{
    request_explanation explanation;
    for (const auto& line : lines)
        if (line.value_of_field("request") == request)
            explanation.request_lines.push_back(line);
    std::stable_sort(explanation.request_lines.begin(),
                     explanation.request_lines.end(), is_earlier);
    if (explanation.request_lines.empty())
        return explanation;
    const auto begin = explanation.request_lines.front().time_ms() - window_ms;
    const auto end = explanation.request_lines.back().time_ms() + window_ms;
    for (const auto& line : lines)
    {
        const bool is_same_vm = std::any_of(
            explanation.request_lines.begin(), explanation.request_lines.end(),
            [&](const log_line& request_line) {
                return request_line.value_of_field("vm") ==
                       line.value_of_field("vm");
            });
        // Failover and changes of leadership concern every VM.
        const bool concerns_all_vms =
            line.value_of_field("part") == "failover" ||
            line.value_of_field("part") == "duty";
        if (is_vm_state_line(line) && (is_same_vm || concerns_all_vms) &&
            line.time_ms() >= begin && line.time_ms() <= end)
            explanation.context_lines.push_back(line);
    }
    std::stable_sort(explanation.context_lines.begin(),
                     explanation.context_lines.end(), is_earlier);
    return explanation;
}

std::string advice_for(const log_line& failed)
{
    const auto reason = failed.value_of_field("reason");
    for (const auto& entry : reason_advices)
        if (reason.find(entry.reason_fragment) != std::string_view::npos)
            return entry.advice;
    return {};
}

} // namespace oleandergrade
