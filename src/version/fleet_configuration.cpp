#include <oleandergrade/version/fleet_configuration.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace oleandergrade
{

namespace
{

constexpr std::uint64_t longest_time_ms = 3'600'000;
constexpr std::uint64_t highest_rate = 10'000'000;
constexpr std::uint64_t most_connections = 100'000;
constexpr std::uint64_t lowest_priority = 100;
constexpr std::uint64_t most_replicas = 16;
constexpr std::uint64_t highest_version = 1ULL << 53;
/// Names of the consistencies, in the order of `read_consistency`.
constexpr std::array consistencies{"current", "own-writes", "bounded-age"};

/// Reads a time in milliseconds, at most one hour.
milliseconds time_of(ini_reader& reader, const char* key,
                     std::uint64_t fallback)
{
    return milliseconds(reader.number(key, fallback, 0, longest_time_ms));
}

void parse_fleet(ini_reader& reader, const std::string&, route_table& table)
{
    table.version = reader.number("version", 1, 1, highest_version);
    table.transaction_idle = time_of(reader, "transaction_idle_ms", 3000);
}

void parse_group(ini_reader& reader, const std::string& name,
                 route_table& table)
{
    group_limits group;
    group.name = name;
    group.connections_per_target = static_cast<std::uint32_t>(
        reader.number("connections", 20, 1, most_connections));
    group.synchronous_replicas = static_cast<std::uint32_t>(
        reader.number("synchronous_replicas", 0, 0, most_replicas));
    table.groups[name] = group;
}

void parse_route(ini_reader& reader, const std::string& name,
                 route_table& table)
{
    route parsed;
    parsed.database = name;
    parsed.group = reader.required_text("group");
    const auto consistency = reader.text("consistency", "current");
    const auto found =
        std::find(consistencies.begin(), consistencies.end(), consistency);
    if (found == consistencies.end())
        reader.report("consistency",
                      "must be one of current, own-writes and bounded-age");
    else
        parsed.consistency =
            static_cast<read_consistency>(found - consistencies.begin());
    parsed.max_age = time_of(reader, "max_age_ms", 0);
    parsed.statement_timeout = time_of(reader, "statement_timeout_ms", 1000);
    parsed.latency_objective = time_of(reader, "latency_objective_ms", 200);
    parsed.priority = static_cast<std::uint32_t>(
        reader.number("priority", 1, 0, lowest_priority));
    parsed.open_to_all = reader.flag("open", false);
    if (parsed.consistency != read_consistency::current &&
        parsed.max_age.count() == 0)
        reader.report("max_age_ms", "must be above 0 with the consistencies "
                                    "own-writes and bounded-age");
    table.routes[name] = parsed;
}

void parse_account(ini_reader& reader, const std::string& name,
                   route_table& table)
{
    route_account account;
    account.name = name;
    account.rate =
        static_cast<double>(reader.required_number("rate", 1, highest_rate));
    account.burst = static_cast<double>(reader.number(
        "burst", static_cast<std::uint64_t>(account.rate), 1, highest_rate));
    account.priority = static_cast<std::uint32_t>(
        reader.number("priority", 1, 0, lowest_priority));
    for (const auto& key : reader.list("keys"))
        if (!table.account_of_key.emplace(key, name).second)
            reader.report("keys", "contains a key that is also listed for "
                                  "another account, or twice");
    table.accounts[name] = account;
}

/// A kind of section and the function that parses it. `has_name` says whether
/// the title must contain a name or must not.
struct known_section
{
    const char* kind;
    bool has_name;
    void (*parse)(ini_reader& reader, const std::string& name,
                  route_table& table);
};

constexpr known_section known_sections[] = {{"fleet", false, parse_fleet},
                                            {"group", true, parse_group},
                                            {"route", true, parse_route},
                                            {"account", true, parse_account}};

/// Adds a line for each entry that was added, removed or changed between two
/// maps.
template <typename Value>
void compare(const char* kind,
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
std::map<std::string, std::size_t> keys_by_account(const route_table& table)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& [key, account] : table.account_of_key)
        ++counts[account];
    return counts;
}

} // namespace

std::variant<route_table, std::vector<ini_problem>>
parse_fleet_configuration(const std::string& file, const std::string& text)
{
    std::vector<ini_problem> problems;
    const auto document = parse_ini(file, text, problems);
    route_table table;
    for (const auto& section : document.sections)
    {
        const known_section* found = nullptr;
        for (const auto& known : known_sections)
            if (section.kind == known.kind &&
                section.name.empty() != known.has_name)
                found = &known;
        if (found == nullptr)
        {
            problems.push_back({file, section.line, section.kind,
                                "unknown section; expected one of [fleet], "
                                "[group NAME], [route DATABASE] and "
                                "[account NAME]"});
            continue;
        }
        ini_reader reader(document, section, problems);
        found->parse(reader, section.name, table);
        reader.reject_unknown_keys();
    }
    for (const auto& section : document.sections)
        if (section.kind == "route" && table.routes.contains(section.name) &&
            !table.groups.contains(table.routes[section.name].group))
            problems.push_back(
                {file, section.line, "group",
                 "'" + table.routes[section.name].group +
                     "' is not defined; the file has no such [group]"});
    if (!problems.empty())
        return problems;
    return table;
}

std::vector<std::string> compare_configurations(const route_table& before,
                                                const route_table& after)
{
    std::vector<std::string> lines;
    compare("group", before.groups, after.groups, lines);
    compare("route", before.routes, after.routes, lines);
    compare("account", before.accounts, after.accounts, lines);
    const auto keys_before = keys_by_account(before);
    for (const auto& [account, count] : keys_by_account(after))
    {
        const auto found = keys_before.find(account);
        const auto known = found == keys_before.end() ? 0 : found->second;
        if (before.accounts.contains(account) && known != count)
            lines.push_back("~ account " + account + ": " +
                            std::to_string(known) + " keys, then " +
                            std::to_string(count));
    }
    if (before.transaction_idle != after.transaction_idle)
        lines.emplace_back("~ fleet transaction_idle_ms");
    std::sort(lines.begin(), lines.end());
    return lines;
}

} // namespace oleandergrade
