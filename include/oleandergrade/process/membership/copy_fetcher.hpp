/// Fetches copies of the store's records from other VMs.
#pragma once

#include <oleandergrade/process/configuration/store_follower.hpp>
#include <oleandergrade/process/configuration/store_mirror.hpp>
#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/membership/peer_client.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace oleandergrade
{

/// Compares what this VM knows with the versions that the grants name, and
/// fetches copies of what it has lacked for too long. All members must be
/// called on one executor.
class copy_fetcher
{
public:
    /// When another VM has a newer configuration, this VM waits this long to
    /// receive it from the store before it fetches it from that VM. In a large
    /// fleet it waits longer, because all VMs read from the store at once,
    /// unless its last call for the configuration has failed.
    static constexpr milliseconds configuration_fetch_delay{300};

    /// The references must outlive the object. `leader_address` returns the
    /// address of the leader, or an empty text if it is not known.
    copy_fetcher(boost::asio::any_io_executor executor, fleet_state& state,
                 store_mirror& mirror, const store_follower& own_keys,
                 peer_client& peers,
                 std::function<std::string()> leader_address);

    /// Called after the members of a copy were applied.
    std::function<void()> on_members_applied;

    /// Another VM, the sender of a grant or answer, has this version of the
    /// configuration.
    void compare_configuration(std::uint64_t version,
                               const std::string& sender_address,
                               time_point now);
    /// Tells whether the sender of a grant knows other targets, or more
    /// members, than this VM.
    void set_lacks_targets(bool lacks_targets,
                           const std::string& sender_address, time_point now);
    /// Fetches a copy from this VM unless one is being fetched.
    void fetch_from(const std::string& address);
    /// Closes the links that no copy has used for at least `idle_time`.
    void close_idle_links(time_point now, duration idle_time)
    {
        configuration_peers_.close_idle(now, idle_time);
    }

    std::uint64_t fetched_count() const { return fetched_count_; }
    /// The newest version of the configuration that another VM has named; 0 if
    /// none has.
    std::uint64_t newest_known_version() const { return newest_known_version_; }

private:
    boost::asio::awaitable<void> fetch(std::string address);
    /// How long this VM waits for a newer configuration from the store before
    /// it fetches a copy.
    milliseconds configuration_delay() const;
    /// Returns the address of the VM to fetch copies from that this VM has
    /// lacked since `behind_since`.
    std::string source_address(const std::string& sender_address,
                               time_point behind_since, time_point now) const;

    boost::asio::any_io_executor executor_;
    fleet_state& state_;
    store_mirror& mirror_;
    const store_follower& own_keys_;
    peer_client& peers_;
    /// Links for copies of newer configurations. A large one would delay the
    /// reports, whose timeout closes their link.
    peer_client configuration_peers_;
    std::function<std::string()> leader_address_;
    bool is_fetching_ = false;
    /// Since when other VMs have had a newer configuration than this VM.
    std::optional<time_point> configuration_behind_since_;
    /// Since when the leader has had other targets or more members than this
    /// VM.
    std::optional<time_point> targets_behind_since_;
    std::uint64_t fetched_count_ = 0;
    std::uint64_t newest_known_version_ = 0;
};

} // namespace oleandergrade
