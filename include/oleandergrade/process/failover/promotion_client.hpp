/// The interface through which a target is made its group's primary.
#pragma once

#include <oleandergrade/error.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// One order to promote a target.
struct promotion_order
{
    std::string group;
    std::string target;
    /// The VM that holds the duty, and its fencing token.
    std::string holder;
    std::uint64_t token = 0;

    bool operator==(const promotion_order&) const = default;
};

/// Errors: "refused" says that the target does not run or that the call came
/// too often, "broken" and "timeout" leave open whether it is carried out.
class promotion_client
{
public:
    virtual ~promotion_client() = default;

    virtual boost::asio::awaitable<result<bool>>
    promote(promotion_order order) = 0;
};

} // namespace oleandergrade
