/// Parses and compares the operators' configuration, an INI file.
#pragma once

#include <oleandergrade/version/ini_document.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <string>
#include <variant>
#include <vector>

namespace oleandergrade
{

/// Parses a configuration with the sections `[fleet]`, `[group NAME]`,
/// `[route DATABASE]` and `[account NAME]`; docs/operators/configuration.md
/// lists their keys. `file_name` is the name used in problems. Returns the
/// configuration, or all problems found in the file, each with file, line and
/// key.
std::variant<route_table, std::vector<ini_problem>>
parse_fleet_configuration(const std::string& file_name,
                          const std::string& text);

/// Lists the differences between two configurations, one line each in sorted
/// order. A line begins with + (added), - (removed) or ~ (changed). The client
/// accounts' keys are not shown, only their number.
std::vector<std::string> list_configuration_changes(const route_table& before,
                                                    const route_table& after);

} // namespace oleandergrade
