#include <oleandergrade/process/membership/copy_fetcher.hpp>

#include <oleandergrade/process/event_log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// In a large fleet, the fraction of the time for applying a configuration
/// after which a VM that has not received it from the store fetches a copy.
constexpr int fetch_delay_divisor = 4;
/// A VM that its relay does not bring up to date within this time fetches
/// copies from the leader.
constexpr auto relay_copy_timeout = milliseconds(1000);
constexpr auto copy_timeout = milliseconds(1500);
/// How long a copy may pause while it arrives.
constexpr auto copy_part_timeout = milliseconds(1000);

} // namespace

copy_fetcher::copy_fetcher(asio::any_io_executor executor, fleet_state& state,
                           store_mirror& mirror, const store_follower& own_keys,
                           peer_client& peers,
                           std::function<std::string()> leader_address)
    : executor_(std::move(executor)), state_(state), mirror_(mirror),
      own_keys_(own_keys), peers_(peers), configuration_peers_(executor_),
      leader_address_(std::move(leader_address))
{
}

milliseconds copy_fetcher::configuration_delay() const
{
    return state_.members.size() < large_fleet_size ||
                   !mirror_.is_configuration_connected()
               ? configuration_fetch_delay
               : state_.settings.configuration_apply_timeout /
                     fetch_delay_divisor;
}

std::string copy_fetcher::source_address(const std::string& sender_address,
                                         time_point behind_since,
                                         time_point now) const
{
    auto leader_address = leader_address_();
    return now - behind_since < relay_copy_timeout || leader_address.empty()
               ? sender_address
               : leader_address;
}

void copy_fetcher::compare_configuration(std::uint64_t version,
                                         const std::string& sender_address,
                                         time_point now)
{
    if (version >
        std::max(newest_known_version_, state_.configuration.version()))
        log_event(event_level::info, "configuration", "behind another VM",
                  {{"version", state_.configuration.version()},
                   {"newer", version},
                   {"address", sender_address}});
    newest_known_version_ = std::max(newest_known_version_, version);
    if (newest_known_version_ <= state_.configuration.version())
        return configuration_behind_since_.reset();
    if (!configuration_behind_since_)
    {
        configuration_behind_since_ = now;
        mirror_.refresh_configuration();
    }
    const bool is_sender_newer = version > state_.configuration.version();
    if (is_sender_newer &&
        now - *configuration_behind_since_ >= configuration_delay())
        fetch_from(
            source_address(sender_address, *configuration_behind_since_, now));
}

void copy_fetcher::set_lacks_targets(bool lacks_targets,
                                     const std::string& sender_address,
                                     time_point now)
{
    if (!lacks_targets)
        return targets_behind_since_.reset();
    if (!targets_behind_since_)
        targets_behind_since_ = now;
    fetch_from(source_address(sender_address, *targets_behind_since_, now));
}

void copy_fetcher::fetch_from(const std::string& address)
{
    if (!is_fetching_)
        asio::co_spawn(executor_, fetch(address), asio::detached);
}

asio::awaitable<void> copy_fetcher::fetch(std::string address)
{
    is_fetching_ = true;
    peer_body body = snapshot_request{state_.configuration.version()};
    const bool lacks_newer_configuration =
        state_.configuration.version() != 0 &&
        state_.configuration.version() < newest_known_version_;
    auto& peers = lacks_newer_configuration ? configuration_peers_ : peers_;
    auto outcome = co_await peers.call(std::move(address), std::move(body),
                                       copy_timeout, copy_part_timeout);
    is_fetching_ = false;
    if (!succeeded(outcome))
        co_return log_event(event_level::info, "configuration",
                            "copy not received",
                            {{"error", to_string(error_of(outcome))}});
    const auto* snapshot = std::get_if<fleet_snapshot>(&value_of(outcome));
    if (snapshot == nullptr)
        co_return;
    ++fetched_count_;
    mirror_.apply_snapshot(*snapshot);
    if (own_keys_.has_read() && !own_keys_.is_paused())
        co_return;
    for (const auto& item : snapshot->members)
        if (auto member = parse_fleet_member(item.value); succeeded(member))
            state_.members.put(value_of(member));
    on_members_applied();
}

} // namespace oleandergrade
