/// Client for calls to other VMs by their addresses.
#pragma once

#include <oleandergrade/connection/peer_link.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// Keeps one link per address, which is created by the first call. A link is
/// closed after a failed call, and the next call creates a new one: the old
/// connection may be broken although the operating system has not detected it.
class peer_client
{
public:
    explicit peer_client(boost::asio::any_io_executor executor);

    /// Sends a message to `address` and returns the reply. Fails like
    /// `peer_link::call`.
    boost::asio::awaitable<result<peer_body>>
    call(std::string address, peer_body body, duration timeout,
         duration part_timeout = duration(0));
    /// Closes the links that no call has used for at least `idle_time`.
    void close_idle(time_point now, duration idle_time);

    std::size_t link_count() const { return links_.size(); }

private:
    struct cached_link
    {
        std::shared_ptr<peer_link> link;
        unsigned calls_in_progress = 0;
        time_point last_used_at = {};
    };

    boost::asio::any_io_executor executor_;
    /// Links by address.
    std::map<std::string, cached_link> links_;
};

} // namespace oleandergrade
