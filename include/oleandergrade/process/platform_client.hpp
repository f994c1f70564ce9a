/// The interface towards the platform's key-value service, and its HTTP
/// implementation.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A value kept in the platform. Revision 0 stands for an absent key.
struct platform_value
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;

    bool operator==(const platform_value&) const = default;
};

/// Calls to the platform. An error of kind "conflict" says that nothing was
/// changed; "broken" and "timeout" leave open whether the change was made.
class platform_client
{
public:
    virtual ~platform_client() = default;

    virtual boost::asio::awaitable<result<platform_value>>
    get(std::string key) = 0;
    virtual boost::asio::awaitable<result<std::vector<platform_value>>>
    list(std::string prefix) = 0;
    /// Returns the new revision.
    virtual boost::asio::awaitable<result<std::uint64_t>>
    compare_and_swap(std::string key, std::uint64_t expected, std::string value,
                     milliseconds lease) = 0;
    virtual boost::asio::awaitable<result<bool>>
    renew(std::string key, std::uint64_t revision, milliseconds lease) = 0;
    /// Waits until something below the prefix is newer than `after`, and
    /// returns the latest revision.
    virtual boost::asio::awaitable<result<std::uint64_t>>
    watch(std::string prefix, std::uint64_t after, milliseconds wait) = 0;
    /// The lagging list of VMs as JSON text.
    virtual boost::asio::awaitable<result<std::string>> vms() = 0;
};

/// A client whose calls may overlap. `failure_domain` is sent along with each
/// call.
std::unique_ptr<platform_client>
make_platform_client(const boost::asio::any_io_executor& executor,
                     const std::string& address,
                     const std::string& failure_domain);

} // namespace oleandergrade
