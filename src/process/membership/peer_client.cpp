#include <oleandergrade/process/membership/peer_client.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;

peer_client::peer_client(asio::any_io_executor executor)
    : executor_(std::move(executor))
{
}

asio::awaitable<result<peer_body>>
peer_client::call(std::string address, peer_body body, duration timeout)
{
    auto& cached_link = links_[address];
    if (cached_link == nullptr)
        cached_link = std::make_shared<peer_link>(executor_, address);
    const auto link = cached_link;
    auto outcome = co_await link->call(std::move(body), timeout);
    if (!succeeded(outcome))
    {
        link->close();
        const auto found = links_.find(address);
        if (found != links_.end() && found->second == link)
            links_.erase(found);
    }
    co_return outcome;
}

} // namespace oleandergrade
