/// Reads typed fields from JSON objects that come from other programs.
#pragma once

#include <oleandergrade/error.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// Parses a JSON object. An empty text yields an empty object. Fails with step
/// "parse" for invalid JSON, for other JSON values than objects and for more
/// than 32 levels of nesting.
result<boost::json::object> parse_json_object(const std::string& text);

/// Returns the text of a string field, or `fallback` if the field is absent or
/// of another type.
std::string string_field(const boost::json::object& object, const char* name,
                         const std::string& fallback = "");

/// Returns the value of a whole-number field, or `fallback` if the field is
/// absent, negative or of another type.
std::uint64_t unsigned_field(const boost::json::object& object,
                             const char* name, std::uint64_t fallback = 0);

/// Returns the value of a boolean field, or `fallback` if the field is absent
/// or of another type.
bool bool_field(const boost::json::object& object, const char* name,
                bool fallback = false);

} // namespace oleandergrade
