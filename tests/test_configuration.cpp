/// Tests of the operators' configuration and the product's own settings.
#include <oleandergrade/process/own_settings.hpp>
#include <oleandergrade/version/fleet_configuration.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace oleandergrade;

namespace
{

const std::string valid_text = R"(
[fleet]
version = 7
transaction_idle_ms = 2000
[group g]
connections = 21
[route intake]
group = g
consistency = own-writes
max_age_ms = 2500
priority = 0
[account gate]
keys = k1, k2
rate = 40
)";

/// Returns the problems in a configuration, or none if it is valid.
std::vector<ini_problem> problems_of(const std::string& text)
{
    const auto parsed = parse_fleet_configuration("f.ini", text);
    const auto* problems = std::get_if<std::vector<ini_problem>>(&parsed);
    return problems == nullptr ? std::vector<ini_problem>{} : *problems;
}

/// Parses a configuration that must be valid.
route_table table_of(const std::string& text)
{
    return std::get<route_table>(parse_fleet_configuration("f.ini", text));
}

/// Returns whether a problem was reported for a line and a key that ends with
/// `key`.
bool has_problem(const std::vector<ini_problem>& problems, unsigned line,
                 const char* key)
{
    return std::any_of(problems.begin(), problems.end(),
                       [&](const ini_problem& problem)
                       {
                           return problem.file == "f.ini" &&
                                  problem.line == line &&
                                  problem.key.ends_with(key);
                       });
}

} // namespace

Test(configuration, a_file_becomes_a_route_table)
{
    const auto table = table_of(valid_text);
    cr_assert(table.version == 7);
    cr_assert(table.transaction_idle_timeout == milliseconds(2000));
    cr_assert(table.find_group("g")->max_connections_per_target == 21);
    const auto* found_route = table.find_route("intake");
    cr_assert(found_route->consistency == read_consistency::own_writes);
    cr_assert(found_route->max_age == milliseconds(2500) &&
              found_route->priority == 0);
    const auto* account = table.find_account_by_key("k2");
    cr_assert(account->name == "gate" && account->burst == 40);
}

Test(configuration, all_problems_are_reported_with_file_line_and_key)
{
    const auto problems = problems_of("[group g]\nconnections = many\n"
                                      "[route r]\ngroup = h\n"
                                      "consistency = sometimes\n"
                                      "[account a]\ncolour = red\n");
    cr_assert(has_problem(problems, 2, "connections"));
    cr_assert(has_problem(problems, 5, "consistency"));
    cr_assert(has_problem(problems, 3, "group"));
    cr_assert(has_problem(problems, 7, "colour"));
    cr_assert(has_problem(problems, 6, "rate"));
}

Test(configuration, a_key_belongs_to_one_account)
{
    const auto problems = problems_of(
        "[account a]\nrate = 1\nkeys = k\n[account b]\nrate = 1\nkeys = k\n");
    cr_assert(has_problem(problems, 6, "keys"));
}

Test(configuration, bounded_age_routes_require_a_maximum_age)
{
    const auto problems = problems_of(
        "[group g]\n[route r]\ngroup = g\nconsistency = bounded-age\n");
    cr_assert(problems.size() == 1 && problems[0].key.ends_with("max_age_ms"));
}

Test(configuration, changes_are_listed_without_keys)
{
    const auto before = table_of(valid_text);
    auto after = before;
    after.accounts["gate"].rate = 60;
    after.account_by_key.erase("k2");
    after.routes["bins"] = after.routes["intake"];
    after.groups.erase("g");
    const auto lines = list_configuration_changes(before, after);
    const std::vector<std::string> expected{"+ route bins", "- group g",
                                            "~ account gate",
                                            "~ account gate: 2 keys, then 1"};
    cr_assert(lines == expected);
    cr_assert(list_configuration_changes(before, before).empty());
}

Test(configuration, own_settings_have_defaults_and_refuse_unknown_keys)
{
    const auto defaults = parse_own_settings("o.ini", "");
    cr_assert(std::get<own_settings>(defaults) == own_settings{});
    const auto customized = parse_own_settings(
        "o.ini", "[http]\nlisten = 127.0.0.1:80\n[log]\nevent_lines = 5\n");
    cr_assert(std::get<own_settings>(customized).http_address ==
              "127.0.0.1:80");
    cr_assert(std::get<own_settings>(customized).event_lines == 5);
    const auto relayed =
        parse_own_settings("o.ini", "[fleet]\nrelay_from = 12\n");
    cr_assert(std::get<own_settings>(relayed).relay_from == 12);
    const auto refused =
        parse_own_settings("o.ini", "[fleet]\nrelay_from = 0\n");
    cr_assert(std::holds_alternative<std::vector<ini_problem>>(refused));
    const auto invalid = parse_own_settings(
        "o.ini", "[http]\nlisten = here\ncolour = red\n[disk]\n");
    const auto& problems = std::get<std::vector<ini_problem>>(invalid);
    cr_assert(problems.size() == 3);
    cr_assert(problems[0].line == 2 && problems[0].key.ends_with("listen"));
}
