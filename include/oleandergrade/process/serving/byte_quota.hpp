/// Limits the memory that a VM holds for its callers.
#pragma once

#include <cstddef>
#include <memory>

namespace oleandergrade
{

/// A number of bytes that several holders share.
struct byte_quota
{
    std::size_t limit = 0;
    std::size_t used = 0;
};

/// The part of a quota that one holder uses. It is given back when the object
/// is destroyed.
class byte_reservation
{
public:
    byte_reservation() = default;
    ~byte_reservation();
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;

    /// Changes the number of bytes that are reserved. Returns false, and
    /// changes nothing, if the quota has not enough bytes left; a smaller
    /// number is always granted. All calls must name the same quota.
    bool resize(const std::shared_ptr<byte_quota>& quota, std::size_t bytes);

    std::size_t bytes() const { return bytes_; }

private:
    std::shared_ptr<byte_quota> quota_;
    std::size_t bytes_ = 0;
};

} // namespace oleandergrade
