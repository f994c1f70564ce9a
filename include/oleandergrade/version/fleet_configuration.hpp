/// The operators' configuration as an INI file.
#pragma once

#include <oleandergrade/version/ini_document.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <string>
#include <variant>
#include <vector>

namespace oleandergrade
{

/// Sections `[fleet]`, `[group NAME]`, `[route DATABASE]`, `[account NAME]`;
/// docs/operators/configuration.md lists their keys. Returns all problems at
/// once, with file, line and key.
std::variant<route_table, std::vector<ini_problem>>
parse_fleet_configuration(const std::string& file, const std::string& text);

/// What changes from one configuration to another, a line each; keys are not
/// shown.
std::vector<std::string> compare_configurations(const route_table& before,
                                                const route_table& after);

} // namespace oleandergrade
