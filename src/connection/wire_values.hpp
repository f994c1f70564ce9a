/// Conversions that all encodings of peer messages share.
#pragma once

#include <oleandergrade/clock.hpp>

#include <capnp/blob.h>

#include <algorithm>
#include <string>

namespace oleandergrade
{

inline std::string text(capnp::Text::Reader reader)
{
    return {reader.cStr(), reader.size()};
}

inline std::string bytes(capnp::Data::Reader reader)
{
    return {reinterpret_cast<const char*>(reader.begin()), reader.size()};
}

inline capnp::Data::Reader to_data(const std::string& value)
{
    return {reinterpret_cast<const kj::byte*>(value.data()), value.size()};
}

/// A time in milliseconds, cut off where clocks would overflow.
inline milliseconds ms(std::uint64_t value)
{
    constexpr std::uint64_t highest = 1'000'000'000'000;
    return milliseconds(std::min(value, highest));
}

inline std::uint64_t count(milliseconds value)
{
    return value.count() < 0 ? 0 : static_cast<std::uint64_t>(value.count());
}

} // namespace oleandergrade
