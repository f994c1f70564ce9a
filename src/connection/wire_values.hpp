/// Converts values between Cap'n Proto messages and the types of the program.
#pragma once

#include <oleandergrade/clock.hpp>

#include <capnp/blob.h>

#include <algorithm>
#include <string>

namespace oleandergrade
{

/// Copies a received text.
inline std::string string_from_wire(capnp::Text::Reader value)
{
    return {value.cStr(), value.size()};
}

/// Copies received bytes.
inline std::string bytes_from_wire(capnp::Data::Reader value)
{
    return {reinterpret_cast<const char*>(value.begin()), value.size()};
}

/// Returns the bytes to send. The result refers to `value` and does not copy
/// it.
inline capnp::Data::Reader bytes_to_wire(const std::string& value)
{
    return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

/// Returns the text to send, NUL bytes included. The result refers to `value`
/// and does not copy it.
inline capnp::Text::Reader text_to_wire(const std::string& value)
{
    return {value.c_str(), value.size()};
}

/// Converts a received number of milliseconds. It is limited to about 31 years,
/// so that adding it to a time does not overflow.
inline milliseconds milliseconds_from_wire(std::uint64_t value)
{
    constexpr std::uint64_t max_ms = 1'000'000'000'000;
    return milliseconds(std::min(value, max_ms));
}

/// Returns the number of milliseconds to send; negative durations become 0.
inline std::uint64_t milliseconds_to_wire(milliseconds value)
{
    return value.count() < 0 ? 0 : static_cast<std::uint64_t>(value.count());
}

} // namespace oleandergrade
