/// Applies the configuration and the targets that are kept in the store.
#pragma once

#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/process/configuration/store_follower.hpp>
#include <oleandergrade/process/fleet_state.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Watches the configuration and the target registrations in the store, applies
/// them at this VM, and provides copies for VMs that cannot reach the store.
/// All members must be called on one executor.
class store_mirror
{
public:
    store_mirror(const boost::asio::any_io_executor& executor,
                 fleet_state& state);

    /// Called when a call to the store has ended, before the delay after a
    /// failed one is chosen. May be empty.
    std::function<void()> on_call_ended;

    /// Starts to watch the store.
    void start();
    /// Returns how often a VM that no other VM assists confirms what it has
    /// received from the store. A lost answer is noticed after this interval
    /// and the timeout of one call, and all VMs must have received the change
    /// before the shorter of the two times that the settings allow for changes
    /// of the configuration and for draining targets.
    static milliseconds confirmation_interval(const vm_settings& settings);

    /// Returns the longest delay between failed calls of a VM that the store
    /// answers otherwise. Several of them fit into the shorter of the two times
    /// that the settings allow for changes.
    static milliseconds max_retry_delay(const vm_settings& settings);

    /// Returns whether the list of targets has been received, from the store or
    /// from another VM.
    bool has_target_list() const { return has_target_list_; }
    /// Sets whether this VM confirms the state of the store itself. Otherwise
    /// other VMs provide the targets and tell whether it is behind with the
    /// configuration.
    void set_follow_mode(follow_mode mode);
    /// Returns whether this VM receives all changes of the targets from the
    /// store.
    bool receives_targets() const { return target_follower_.is_current(); }
    /// Returns whether this VM receives all changes of the configuration and of
    /// the targets from the store.
    bool is_current() const
    {
        return configuration_follower_.is_current() &&
               target_follower_.is_current();
    }
    /// Another VM has a newer configuration than this one. Looks for it in the
    /// store at once.
    void refresh_configuration()
    {
        configuration_follower_.refresh("another VM has a newer one");
    }
    /// Gives up the watches that are waiting and sends the next ones at once.
    void refresh(const char* reason)
    {
        configuration_follower_.refresh(reason);
        target_follower_.refresh(reason);
    }
    /// Sets the delays between failed calls for one prefix; with a limit of 0
    /// those of the mode apply.
    void set_retry_delays(milliseconds initial, milliseconds limit)
    {
        configuration_follower_.set_retry_delays(initial, limit);
        target_follower_.set_retry_delays(initial, limit);
    }
    /// Returns whether the store has answered the last call for the
    /// configuration.
    bool is_configuration_connected() const
    {
        return configuration_follower_.is_connected();
    }
    /// Removes targets whose registration lapsed more than
    /// `target_registry::lapsed_retention` ago.
    void discard_lapsed_targets(time_point now);

    /// Returns what is known of the configuration and the targets.
    std::vector<followed_prefix> followed_prefixes(time_point now) const
    {
        return {configuration_follower_.status(now),
                target_follower_.status(now)};
    }

    /// Acts on a change of the evacuated failure domains: closes idle sessions
    /// there, and serves the requests that wait elsewhere.
    void on_evacuations_changed();

    /// Applies another VM's copy: the configuration if it is newer, and the
    /// targets unless this VM receives them from the store.
    void apply_snapshot(const fleet_snapshot& snapshot);
    /// Returns a copy of the configuration, the targets and the members. The
    /// configuration is left out if it is not newer than `known_version`.
    fleet_snapshot make_snapshot(std::uint64_t known_version) const;

private:
    /// Applies all keys, or one changed key, of the operators.
    void apply_operator_range(const stored_range& range);
    void apply_operator_key(const stored_change& change);
    /// Decodes and applies a record; `source` is written to the log.
    void apply_configuration(const std::string& record, const char* source);
    /// These two replace all targets: by the items of a read, or by records by
    /// key.
    void apply_target_range(const stored_range& range);
    void apply_targets(const std::map<std::string, std::string>& records);
    /// Applies one target's record, or its removal if there is no value.
    void apply_target(const std::string& key,
                      const std::optional<std::string>& value);
    void on_targets_changed();
    void report_call_ended();

    fleet_state& state_;
    store_follower configuration_follower_;
    store_follower target_follower_;
    bool has_target_list_ = false;
};

} // namespace oleandergrade
