#include <oleandergrade/process/own_settings.hpp>

namespace oleandergrade
{

namespace
{

constexpr std::uint64_t max_allowed_sessions = 1'000'000;
constexpr std::uint64_t max_allowed_held_mib = 65'536;
constexpr std::uint64_t max_allowed_log_lines = 100'000;
constexpr std::uint64_t max_allowed_relay_from = 1'000'000;
constexpr std::uint64_t max_allowed_dedicated_sessions = 1000;
constexpr std::uint64_t max_allowed_slices = 64;
constexpr std::uint64_t max_allowed_lenders = 1000;

using section_parser = void (*)(ini_section_reader& reader,
                                own_settings& settings);

void parse_http(ini_section_reader& reader, own_settings& settings)
{
    settings.http_address = reader.address("listen");
}

void parse_peers(ini_section_reader& reader, own_settings& settings)
{
    settings.advertised_peer_address = reader.address("advertise");
}

void parse_fleet(ini_section_reader& reader, own_settings& settings)
{
    settings.relay_from = reader.number("relay_from", settings.relay_from, 1,
                                        max_allowed_relay_from);
    auto& sharing = settings.sharing;
    sharing.min_vms = reader.number("share_sessions_from", sharing.min_vms, 1,
                                    max_allowed_relay_from);
    sharing.dedicated_sessions =
        reader.number("dedicated_sessions", sharing.dedicated_sessions, 1,
                      max_allowed_dedicated_sessions);
    sharing.slices =
        reader.number("slices", sharing.slices, 1, max_allowed_slices);
    settings.lenders_per_domain =
        reader.number("lenders_per_domain", settings.lenders_per_domain, 1,
                      max_allowed_lenders);
}

void parse_sessions(ini_section_reader& reader, own_settings& settings)
{
    settings.max_sessions =
        reader.number("most", settings.max_sessions, 1, max_allowed_sessions);
    settings.held_mib =
        reader.number("held_mib", settings.held_mib, 1, max_allowed_held_mib);
}

void parse_log(ini_section_reader& reader, own_settings& settings)
{
    settings.statement_lines = static_cast<std::uint32_t>(reader.number(
        "statement_lines", settings.statement_lines, 0, max_allowed_log_lines));
    settings.text_lines = static_cast<std::uint32_t>(reader.number(
        "text_lines", settings.text_lines, 0, max_allowed_log_lines));
    settings.event_lines = static_cast<std::uint32_t>(reader.number(
        "event_lines", settings.event_lines, 0, max_allowed_log_lines));
}

struct known_section
{
    const char* kind;
    section_parser parse;
};

constexpr known_section known_sections[] = {{"http", parse_http},
                                            {"peers", parse_peers},
                                            {"fleet", parse_fleet},
                                            {"sessions", parse_sessions},
                                            {"log", parse_log}};

} // namespace

std::variant<own_settings, std::vector<ini_problem>>
parse_own_settings(const std::string& file, const std::string& text)
{
    std::vector<ini_problem> problems;
    const auto document = parse_ini(file, text, problems);
    own_settings settings;
    for (const auto& section : document.sections)
    {
        const known_section* found = nullptr;
        for (const auto& candidate : known_sections)
            if (section.kind == candidate.kind && section.name.empty())
                found = &candidate;
        if (found == nullptr)
        {
            problems.push_back({file, section.line, section.kind,
                                "unknown section; allowed are [http], "
                                "[peers], [fleet], [sessions] and [log]"});
            continue;
        }
        ini_section_reader reader(document, section, problems);
        found->parse(reader, settings);
        reader.report_unknown_keys();
    }
    if (!problems.empty())
        return problems;
    return settings;
}

} // namespace oleandergrade
