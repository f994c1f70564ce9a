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

void trace_sent_text(const sent_text& text)
{
    if (!is_text_traced(text.request))
        return;
    log_event(event_level::info, text_part, "sent",
              {{"request", text.request},
               {"target", text.target},
               {"received", text_fingerprint(text.received)},
               {"sent", text_fingerprint(text.sent)},
               {"name", text_fingerprint(text.name)},
               {"shape", text_fingerprint(text.shape)}});
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
