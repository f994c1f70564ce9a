/// Interface through which a target is promoted to its group's primary.
#pragma once

#include <oleandergrade/error.hpp>
#include <oleandergrade/process/failover/order_authority.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace oleandergrade
{

/// An order to promote a target.
struct promotion_order
{
    std::string group;
    std::string target;
    /// Name of the VM that is the leader.
    std::string leader;
    /// The leader's fencing token.
    std::uint64_t token = 0;

    bool operator==(const promotion_order&) const = default;
};

/// Implemented by each platform.
class promotion_client
{
public:
    virtual ~promotion_client() = default;

    /// Orders a promotion, unless the authority is no longer valid when the
    /// order can be written. The call ends with the authority. Errors:
    /// "unreachable" means that nothing was sent; "refused" that the promotion
    /// does not take place, because the target is not running or because calls
    /// came too often; after "broken" and "timeout" the promotion may or may
    /// not take effect.
    virtual boost::asio::awaitable<result<bool>>
    promote(promotion_order order,
            std::shared_ptr<order_authority> authority) = 0;
};

} // namespace oleandergrade
