#include <oleandergrade/process/event_log.hpp>

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>

#include <boost/make_shared.hpp>

#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace oleandergrade
{
namespace logging = boost::log;

namespace
{

/// Maximum length of a line in bytes. A pipe that poll() reports as writable
/// accepts this much without blocking.
constexpr std::size_t max_line_bytes = 4096;

struct log_state
{
    std::mutex lock;
    bool started = false;
    std::string vm;
    event_log_budget budget;
    std::uint64_t dropped = 0;
    std::uint64_t dropped_unreported = 0;
    time_point window_start;
    unsigned statements_in_window = 0;
    unsigned texts_in_window = 0;
    unsigned events_in_window = 0;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

/// Returns false if standard output is not ready or the line was not written
/// completely.
bool write_without_blocking(const std::string& line)
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
        return false;
    return ::write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
}

/// Writes formatted records to standard output. Counts them as dropped if that
/// would block.
class nonblocking_output : public logging::sinks::basic_formatted_sink_backend<
                               char, logging::sinks::concurrent_feeding>
{
public:
    void consume(const logging::record_view&, const string_type& text)
    {
        if (!write_without_blocking(text + "\n"))
            ++state().dropped;
    }
};

const char* name_of(event_level level)
{
    switch (level)
    {
    case event_level::info:
        return "info";
    case event_level::warning:
        return "warning";
    case event_level::error:
        return "error";
    }
    return "info";
}

// Empty values and values with blanks, quotes or other special characters are
// written in quotes.
void append_value(std::string& line, std::string_view value)
{
    const bool is_plain = !value.empty() && value.find_first_of(" \"\\=\r\n") ==
                                                std::string_view::npos;
    if (is_plain)
    {
        line.append(value);
        return;
    }
    line += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

void append_field(std::string& line, std::string_view name,
                  std::string_view value)
{
    line.append(" ").append(name).append("=");
    append_value(line, value);
}

/// Uses one line of the budget of the current second. Returns false, and counts
/// the line as dropped, if there is none left.
bool consume_budget(log_state& log, std::string_view part)
{
    const auto now = current_time();
    if (now - log.window_start >= seconds(1))
    {
        log.window_start = now;
        log.statements_in_window = 0;
        log.texts_in_window = 0;
        log.events_in_window = 0;
    }
    const bool is_statement = part == statement_part;
    const bool is_text = part == text_part;
    auto& used_lines = is_statement ? log.statements_in_window
                       : is_text    ? log.texts_in_window
                                    : log.events_in_window;
    const auto budget = is_statement ? log.budget.statement_lines
                        : is_text    ? log.budget.text_lines
                                     : log.budget.event_lines;
    if (used_lines < budget)
    {
        ++used_lines;
        return true;
    }
    // These lines are a sample anyway.
    if (is_text)
        return false;
    ++log.dropped;
    ++log.dropped_unreported;
    return false;
}

} // namespace

void start_event_log(const std::string& vm, event_log_budget budget)
{
    auto& log = state();
    const std::lock_guard guard(log.lock);
    log.vm = vm;
    log.budget = budget;
    log.started = true;
    using sink = logging::sinks::unlocked_sink<nonblocking_output>;
    logging::core::get()->add_sink(boost::make_shared<sink>());
}

void log_event(event_level level, std::string_view part, std::string_view event,
               std::initializer_list<event_field> fields)
{
    auto& log = state();
    const std::lock_guard guard(log.lock);
    if (!log.started || !consume_budget(log, part))
        return;
    std::string line = "level=";
    line.append(name_of(level));
    append_field(line, "at_ms",
                 std::to_string(to_milliseconds(
                     std::chrono::system_clock::now().time_since_epoch())));
    append_field(line, "vm", log.vm);
    append_field(line, "part", part);
    append_field(line, "event", event);
    for (const auto& field : fields)
        append_field(line, field.name, field.value);
    if (log.dropped_unreported > 0)
        append_field(line, "left_out",
                     std::to_string(std::exchange(log.dropped_unreported, 0)));
    if (line.size() >= max_line_bytes)
        line.resize(max_line_bytes - 1);
    static logging::sources::logger source;
    BOOST_LOG(source) << line;
}

std::uint64_t dropped_event_lines()
{
    auto& log = state();
    const std::lock_guard guard(log.lock);
    return log.dropped;
}

} // namespace oleandergrade
