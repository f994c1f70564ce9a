#include <oleandergrade/process/membership/isolation_monitor.hpp>

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/process/event_log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// Probes are counted this long after their timeout.
constexpr auto probe_count_delay = milliseconds(50);

} // namespace

isolation_monitor::isolation_monitor(asio::any_io_executor executor,
                                     fleet_state& state,
                                     const leader_tracker& leader,
                                     peer_client& peers,
                                     std::function<fleet_report()> make_probe)
    : executor_(std::move(executor)), state_(state), leader_(leader),
      peers_(peers), make_probe_(std::move(make_probe)),
      selection_(static_cast<std::minstd_rand::result_type>(state.incarnation))
{
}

void isolation_monitor::check(time_point now)
{
    if (leader_.is_grant_overdue(now) && !is_probing_)
        asio::co_spawn(executor_, probe_peers(), asio::detached);
}

asio::awaitable<void> isolation_monitor::probe_peers()
{
    is_probing_ = true;
    const auto addresses =
        selection_.addresses(state_.members, state_.settings.name);
    const auto answer_count = std::make_shared<std::size_t>(0);
    for (const auto& address : addresses)
        asio::co_spawn(executor_, probe_peer(address, answer_count),
                       asio::detached);
    co_await sleep_for(probe_timeout + probe_count_delay);
    set_isolated(leader_.is_grant_overdue(current_time()) &&
                     *answer_count * 2 < addresses.size(),
                 addresses.size(), *answer_count);
    is_probing_ = false;
}

asio::awaitable<void>
isolation_monitor::probe_peer(std::string address,
                              std::shared_ptr<std::size_t> answer_count)
{
    peer_body body = make_probe_();
    auto outcome =
        co_await peers_.call(address, std::move(body), probe_timeout);
    if (succeeded(outcome))
        ++*answer_count;
}

void isolation_monitor::on_grant()
{
    selection_.discard();
    set_isolated(false, 1, 1);
}

void isolation_monitor::set_isolated(bool isolated, std::size_t probed_vms,
                                     std::size_t answering_vms)
{
    if (std::exchange(isolated_, isolated) == isolated)
        return;
    // Failures to reach targets while this VM was isolated do not show that
    // those targets have failed.
    if (!isolated)
        state_.view.health.clear_failures();
    log_event(event_level::warning, "membership",
              isolated ? "VM isolated" : "VM no longer isolated",
              {{"asked", probed_vms}, {"answered", answering_vms}});
    if (on_change)
        on_change(isolated);
}

} // namespace oleandergrade
