#include <oleandergrade/version/fleet_configuration.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace oleandergrade
{

namespace
{

constexpr std::uint64_t max_time_ms = 3'600'000;
constexpr std::uint64_t max_operations_per_second = 10'000'000;
constexpr std::uint64_t max_connections = 100'000;
constexpr std::uint64_t max_priority_number = 100;
constexpr std::uint64_t max_synchronous_replicas = 16;
constexpr std::uint64_t max_version = 1ULL << 53;
/// Names of the consistencies, in the order of `read_consistency`.
constexpr std::array consistency_names{"current", "own-writes", "bounded-age"};

/// Reads a time in milliseconds, at most one hour.
milliseconds read_time(ini_section_reader& reader, const char* key,
                       std::uint64_t fallback)
{
    return milliseconds(reader.number(key, fallback, 0, max_time_ms));
}

void parse_fleet(ini_section_reader& reader, const std::string&,
                 route_table& table)
{
    table.version = reader.number("version", 1, 1, max_version);
    table.transaction_idle_timeout =
        read_time(reader, "transaction_idle_ms", 3000);
}

void parse_group(ini_section_reader& reader, const std::string& name,
                 route_table& table)
{
    group_limits group;
    group.name = name;
    group.max_connections_per_target = static_cast<std::uint32_t>(
        reader.number("connections", 20, 1, max_connections));
    group.synchronous_replicas = static_cast<std::uint32_t>(
        reader.number("synchronous_replicas", 0, 0, max_synchronous_replicas));
    table.groups[name] = group;
}

void parse_route(ini_section_reader& reader, const std::string& name,
                 route_table& table)
{
    route parsed;
    parsed.database = name;
    parsed.group = reader.required_text("group");
    const auto consistency_name = reader.text("consistency", "current");
    const auto found = std::find(consistency_names.begin(),
                                 consistency_names.end(), consistency_name);
    if (found == consistency_names.end())
        reader.add_problem(
            "consistency",
            "must be one of current, own-writes and bounded-age");
    else
        parsed.consistency =
            static_cast<read_consistency>(found - consistency_names.begin());
    parsed.max_age = read_time(reader, "max_age_ms", 0);
    parsed.statement_timeout = read_time(reader, "statement_timeout_ms", 1000);
    parsed.latency_objective = read_time(reader, "latency_objective_ms", 200);
    parsed.priority = static_cast<std::uint32_t>(
        reader.number("priority", 1, 0, max_priority_number));
    parsed.is_public = reader.flag("open", false);
    if (parsed.consistency != read_consistency::current &&
        parsed.max_age.count() == 0)
        reader.add_problem("max_age_ms",
                           "must be above 0 with the consistencies "
                           "own-writes and bounded-age");
    table.routes[name] = parsed;
}

void parse_account(ini_section_reader& reader, const std::string& name,
                   route_table& table)
{
    client_account account;
    account.name = name;
    account.rate = static_cast<double>(
        reader.required_number("rate", 1, max_operations_per_second));
    account.burst = static_cast<double>(
        reader.number("burst", static_cast<std::uint64_t>(account.rate), 1,
                      max_operations_per_second));
    account.priority = static_cast<std::uint32_t>(
        reader.number("priority", 1, 0, max_priority_number));
    for (const auto& key : reader.list("keys"))
        if (!table.account_by_key.emplace(key, name).second)
            reader.add_problem("keys", "contains a key that is also listed for "
                                       "another account, or twice");
    table.accounts[name] = account;
}

/// A kind of section and the function that parses it. If `has_name` is set, the
/// title must contain a name, otherwise it must not.
struct section_parser
{
    const char* kind;
    bool has_name;
    void (*parse)(ini_section_reader& reader, const std::string& name,
                  route_table& table);
};

constexpr section_parser section_parsers[] = {{"fleet", false, parse_fleet},
                                              {"group", true, parse_group},
                                              {"route", true, parse_route},
                                              {"account", true, parse_account}};

/// Adds a line for each entry that was added, removed or changed between two
/// maps.
template <typename Value>
void append_differences(const char* kind,
                        const std::unordered_map<std::string, Value>& before,
                        const std::unordered_map<std::string, Value>& after,
                        std::vector<std::string>& lines)
{
    for (const auto& [name, value] : before)
    {
        const auto found = after.find(name);
        if (found == after.end())
            lines.push_back(std::string("- ") + kind + " " + name);
        else if (!(found->second == value))
            lines.push_back(std::string("~ ") + kind + " " + name);
    }
    for (const auto& [name, value] : after)
        if (!before.contains(name))
            lines.push_back(std::string("+ ") + kind + " " + name);
}

/// Returns the number of keys of each client account.
std::map<std::string, std::size_t>
key_counts_by_account(const route_table& table)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& [key, account] : table.account_by_key)
        ++counts[account];
    return counts;
}

} // namespace

std::variant<route_table, std::vector<ini_problem>>
parse_fleet_configuration(const std::string& file_name, const std::string& text)
{
    std::vector<ini_problem> problems;
    const auto document = parse_ini(file_name, text, problems);
    route_table table;
    for (const auto& section : document.sections)
    {
        const section_parser* parser = nullptr;
        for (const auto& candidate : section_parsers)
            if (section.kind == candidate.kind &&
                section.name.empty() != candidate.has_name)
                parser = &candidate;
        if (parser == nullptr)
        {
            problems.push_back({file_name, section.line, section.kind,
                                "unknown section; expected one of [fleet], "
                                "[group NAME], [route DATABASE] and "
                                "[account NAME]"});
            continue;
        }
        ini_section_reader reader(document, section, problems);
        parser->parse(reader, section.name, table);
        reader.report_unknown_keys();
    }
    for (const auto& section : document.sections)
        if (section.kind == "route" && table.routes.contains(section.name) &&
            !table.groups.contains(table.routes[section.name].group))
            problems.push_back(
                {file_name, section.line, "group",
                 "'" + table.routes[section.name].group +
                     "' is not defined; the file has no such [group]"});
    if (!problems.empty())
        return problems;
    return table;
}

std::vector<std::string> list_configuration_changes(const route_table& before,
                                                    const route_table& after)
{
    std::vector<std::string> lines;
    append_differences("group", before.groups, after.groups, lines);
    append_differences("route", before.routes, after.routes, lines);
    append_differences("account", before.accounts, after.accounts, lines);
    const auto keys_before = key_counts_by_account(before);
    for (const auto& [account, count] : key_counts_by_account(after))
    {
        const auto found = keys_before.find(account);
        const auto count_before =
            found == keys_before.end() ? 0 : found->second;
        if (before.accounts.contains(account) && count_before != count)
            lines.push_back("~ account " + account + ": " +
                            std::to_string(count_before) + " keys, then " +
                            std::to_string(count));
    }
    if (before.transaction_idle_timeout != after.transaction_idle_timeout)
        lines.emplace_back("~ fleet transaction_idle_ms");
    std::sort(lines.begin(), lines.end());
    return lines;
}

} // namespace oleandergrade
