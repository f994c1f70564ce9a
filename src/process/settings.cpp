#include <oleandergrade/process/settings.hpp>

#include <algorithm>
#include <array>

namespace oleandergrade
{

namespace
{

constexpr std::size_t max_threads = 64;
constexpr std::array<const char*, 5> log_levels{"trace", "debug", "info",
                                                "warning", "error"};

void parse_node(settings& value, ini_reader& reader)
{
    value.node = reader.required_text("id");
    value.failure_domain = reader.required_text("failure_domain");
    value.listen = reader.address("listen");
    value.peer_listen = reader.address("peer_listen");
    value.admin_listen = reader.address("admin_listen");
    value.threads = reader.number("threads", value.threads, 1, max_threads);
}

void parse_platform(settings& value, ini_reader& reader)
{
    value.platform_address = reader.address("address");
}

void parse_log(settings& value, ini_reader& reader)
{
    value.log_level = reader.text("level", value.log_level);
    if (std::find(log_levels.begin(), log_levels.end(), value.log_level) ==
        log_levels.end())
        reader.report("level", "'" + value.log_level +
                                   "' is not one of trace, debug, info, "
                                   "warning, error");
}

struct section_parser
{
    const char* kind;
    void (*parse)(settings&, ini_reader&);
    bool required;
};

constexpr section_parser sections[] = {{"node", parse_node, true},
                                       {"platform", parse_platform, true},
                                       {"log", parse_log, false}};

} // namespace

settings parse_settings(const std::string& file, const std::string& text,
                        std::vector<ini_problem>& problems)
{
    settings value;
    const auto document = parse_ini(file, text, problems);
    if (!problems.empty())
        return value;
    for (const auto& known : sections)
    {
        const auto found = std::find_if(
            document.sections.begin(), document.sections.end(),
            [&](const ini_section& s) { return s.kind == known.kind; });
        if (found == document.sections.end())
        {
            if (known.required)
                problems.push_back({file, 0,
                                    "[" + std::string(known.kind) + "]",
                                    "the section is missing"});
            continue;
        }
        ini_reader reader(document, *found, problems);
        known.parse(value, reader);
        reader.reject_unknown_keys();
    }
    for (const auto& section : document.sections)
        if (std::none_of(std::begin(sections), std::end(sections),
                         [&](const section_parser& known)
                         { return section.kind == known.kind; }))
            problems.push_back({file, section.line, "[" + section.kind + "]",
                                "unknown section; allowed are: node, "
                                "platform, log"});
    return value;
}

} // namespace oleandergrade
