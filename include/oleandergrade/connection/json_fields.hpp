/// Reads typed fields from JSON objects received from outside.
#pragma once

#include <oleandergrade/error.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// Parses a JSON object. An empty text counts as an empty object.
result<boost::json::object> parse_json_object(const std::string& text);

/// The field's text, or `fallback` if it is absent or of another type.
std::string text_field(const boost::json::object& object, const char* name,
                       const std::string& fallback = "");

/// The field's number, or `fallback` if it is absent, negative or of another
/// type.
std::uint64_t number_field(const boost::json::object& object, const char* name,
                           std::uint64_t fallback = 0);

bool flag_field(const boost::json::object& object, const char* name,
                bool fallback = false);

} // namespace oleandergrade
