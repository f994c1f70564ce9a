#include <oleandergrade/process/serving/byte_quota.hpp>

namespace oleandergrade
{

byte_reservation::~byte_reservation()
{
    if (quota_ != nullptr)
        quota_->used -= bytes_;
}

bool byte_reservation::resize(const std::shared_ptr<byte_quota>& quota,
                              std::size_t bytes)
{
    const auto used_by_others = quota->used - bytes_;
    if (bytes > bytes_ && used_by_others + bytes > quota->limit)
        return false;
    quota->used = used_by_others + bytes;
    quota_ = quota;
    bytes_ = bytes;
    return true;
}

} // namespace oleandergrade
