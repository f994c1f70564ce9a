#include <oleandergrade/process/peer_directory.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{
constexpr auto suspect_period = milliseconds(300);
} // namespace

peer_directory::peer_directory(asio::any_io_executor executor)
    : executor_(std::move(executor))
{
}

asio::awaitable<result<peer_body>>
peer_directory::call(const vm& peer, peer_body body, duration timeout)
{
    const auto id = peer.id;
    auto& known = entries_[id];
    if (!known.link || known.address != peer.peer_address)
    {
        known.address = peer.peer_address;
        known.link = std::make_shared<peer_link>(executor_, known.address);
    }
    const auto link = known.link;
    auto outcome = co_await link->call(std::move(body), timeout);
    auto& after = entries_[id];
    after.suspect_until =
        succeeded(outcome) ? time_point{} : clock::now() + suspect_period;
    co_return outcome;
}

bool peer_directory::is_suspect(const std::string& vm_id) const
{
    const auto found = entries_.find(vm_id);
    return found != entries_.end() &&
           found->second.suspect_until > clock::now();
}

} // namespace oleandergrade
