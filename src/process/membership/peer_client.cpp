#include <oleandergrade/process/membership/peer_client.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;

peer_client::peer_client(asio::any_io_executor executor)
    : executor_(std::move(executor))
{
}

asio::awaitable<result<peer_body>> peer_client::call(std::string address,
                                                     peer_body body,
                                                     duration timeout,
                                                     duration part_timeout)
{
    auto& cached = links_[address];
    if (cached.link == nullptr)
        cached.link = std::make_shared<peer_link>(executor_, address);
    const auto link = cached.link;
    ++cached.calls_in_progress;
    auto outcome = co_await link->call(std::move(body), timeout, part_timeout);
    const auto found = links_.find(address);
    const bool is_cached = found != links_.end() && found->second.link == link;
    if (is_cached)
    {
        --found->second.calls_in_progress;
        found->second.last_used_at = current_time();
    }
    if (!succeeded(outcome))
    {
        link->close();
        if (is_cached)
            links_.erase(found);
    }
    co_return outcome;
}

void peer_client::close_idle(time_point now, duration idle_time)
{
    std::erase_if(links_,
                  [&](const auto& entry)
                  {
                      const auto& cached = entry.second;
                      if (cached.calls_in_progress > 0 ||
                          now - cached.last_used_at < idle_time)
                          return false;
                      cached.link->close();
                      return true;
                  });
}

} // namespace oleandergrade
