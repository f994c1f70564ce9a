#include <oleandergrade/process/serving/statement_text_trace.hpp>

#include <oleandergrade/process/event_log.hpp>

#include <xxhash.h>

#include <sstream>

namespace oleandergrade
{

namespace
{

/// One in this many identifiers is traced.
constexpr std::uint64_t traced_share = 32;

} // namespace

std::string text_fingerprint(std::string_view text)
{
    std::ostringstream out;
    out << text.size() << "-" << std::hex << XXH64(text.data(), text.size(), 0);
    return out.str();
}

bool is_text_traced(std::string_view request)
{
    return XXH64(request.data(), request.size(), 0) % traced_share == 0;
}

void trace_sent_text(const std::string& request, const std::string& target,
                     std::string_view received, std::string_view sent,
                     std::string_view prepared)
{
    if (!is_text_traced(request))
        return;
    log_event(event_level::info, text_part, "sent",
              {{"request", request},
               {"target", target},
               {"received", text_fingerprint(received)},
               {"sent", text_fingerprint(sent)},
               {"shape", text_fingerprint(prepared)}});
}

void trace_forwarded_text(const std::string& request,
                          const std::string& address, std::string_view received)
{
    if (!is_text_traced(request))
        return;
    log_event(event_level::info, text_part, "forwarded",
              {{"request", request},
               {"address", address},
               {"received", text_fingerprint(received)}});
}

} // namespace oleandergrade
