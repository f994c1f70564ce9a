#include <oleandergrade/connection/json_fields.hpp>

namespace oleandergrade
{
namespace json = boost::json;

result<json::object> parse_json_object(const std::string& text)
{
    if (text.empty())
        return json::object();
    json::parse_options options;
    options.max_depth = 32;
    boost::system::error_code failure;
    auto value = json::parse(text, failure, {}, options);
    if (failure)
        return error{error_kind::invalid, "parse", "", failure.message()};
    if (!value.is_object())
        return error{error_kind::invalid, "parse", "",
                     "expected a JSON object"};
    return std::move(value.as_object());
}

std::string string_field(const json::object& object, const char* name,
                         const std::string& fallback)
{
    const auto* value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
        return fallback;
    return std::string(value->as_string());
}

std::uint64_t unsigned_field(const json::object& object, const char* name,
                             std::uint64_t fallback)
{
    const auto* value = object.if_contains(name);
    if (value == nullptr)
        return fallback;
    if (value->is_uint64())
        return value->as_uint64();
    if (value->is_int64() && value->as_int64() >= 0)
        return static_cast<std::uint64_t>(value->as_int64());
    return fallback;
}

bool bool_field(const json::object& object, const char* name, bool fallback)
{
    const auto* value = object.if_contains(name);
    if (value == nullptr || !value->is_bool())
        return fallback;
    return value->as_bool();
}

} // namespace oleandergrade
