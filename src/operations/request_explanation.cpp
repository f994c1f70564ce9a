#include <oleandergrade/operations/request_explanation.hpp>

#include <oleandergrade/process/event_log.hpp>

#include <algorithm>
#include <array>

namespace oleandergrade
{

namespace
{

/// A fragment of the reason of a failed statement, and the advice for it.
struct known_reason
{
    std::string_view part;
    const char* advice;
};

/// The first entry whose fragment occurs in a reason applies.
constexpr std::array reasons{
    known_reason{"over the account's rate",
                 "The account sent more operations than its rate allows. "
                 "Compare its demand with its rate in the active "
                 "configuration."},
    known_reason{"being replaced",
                 "The group had no primary that could be used in time. Examine "
                 "the failover lines of the same time: which VMs lost the "
                 "primary, how long its record was closed, and when the grant "
                 "was lost."},
    known_reason{"was replaced",
                 "The primary was replaced while the write was in progress. A "
                 "write in doubt may have taken effect; read the data before "
                 "repeating the write."},
    known_reason{"session free",
                 "Every target that may serve the statement was busy. Compare "
                 "the metric oleander_statements_waiting with the targets' "
                 "slots."},
    known_reason{"key is not known",
                 "The key is not in the configuration that was active on this "
                 "VM; the line shows that configuration's version."},
    known_reason{"no route",
                 "The database is not in the configuration that was active on "
                 "this VM; the line shows that configuration's version."},
    known_reason{"timeout",
                 "The target did not answer in time. Search the logs "
                 "for other lines with this target."}};

/// Returns whether a line is about a VM's state instead of a statement.
bool is_belief(const log_line& line)
{
    return line.find("part") != statement_part;
}

/// Orders lines by time.
bool earlier(const log_line& a, const log_line& b)
{
    return a.at_ms() < b.at_ms();
}

} // namespace

request_explanation explain_request(const std::vector<log_line>& lines,
                                    const std::string& request,
                                    std::int64_t window_ms)
{
    request_explanation found;
    for (const auto& line : lines)
        if (line.find("request") == request)
            found.of_request.push_back(line);
    std::stable_sort(found.of_request.begin(), found.of_request.end(), earlier);
    if (found.of_request.empty())
        return found;
    const auto begin = found.of_request.front().at_ms() - window_ms;
    const auto end = found.of_request.back().at_ms() + window_ms;
    for (const auto& line : lines)
    {
        const bool same_vm =
            std::any_of(found.of_request.begin(), found.of_request.end(),
                        [&](const log_line& known)
                        { return known.find("vm") == line.find("vm"); });
        // Failover and changes of leadership concern every VM.
        const bool is_shared =
            line.find("part") == "failover" || line.find("part") == "duty";
        if (is_belief(line) && (same_vm || is_shared) &&
            line.at_ms() >= begin && line.at_ms() <= end)
            found.around.push_back(line);
    }
    std::stable_sort(found.around.begin(), found.around.end(), earlier);
    return found;
}

std::string advice_for(const log_line& failed)
{
    const auto reason = failed.find("reason");
    for (const auto& known : reasons)
        if (reason.find(known.part) != std::string_view::npos)
            return known.advice;
    return {};
}

} // namespace oleandergrade
