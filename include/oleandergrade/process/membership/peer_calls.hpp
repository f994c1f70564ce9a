/// Calls to other VMs by their addresses.
#pragma once

#include <oleandergrade/connection/peer_link.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// Opens one link per address when it is first needed. A link whose call got
/// no answer is replaced: it may have gone silent for good.
class peer_calls
{
public:
    explicit peer_calls(boost::asio::any_io_executor executor);

    boost::asio::awaitable<result<peer_body>>
    call(std::string address, peer_body body, duration timeout);

private:
    boost::asio::any_io_executor executor_;
    std::map<std::string, std::shared_ptr<peer_link>> links_;
};

} // namespace oleandergrade
