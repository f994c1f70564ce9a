/// What the store shows of the configuration and of targets.
#pragma once

#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/process/configuration/store_follower.hpp>
#include <oleandergrade/process/fleet_state.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace oleandergrade
{

/// Follows the records of operators and targets, puts them into force at this
/// VM, and hands copies to VMs that the store turns away. All members run on
/// one executor.
class store_records
{
public:
    store_records(const boost::asio::any_io_executor& executor,
                  fleet_state& state);

    void start();
    /// A leaving target must be noticed this much before it gets no more work.
    static constexpr milliseconds drain_margin{1500};

    /// The targets are known, from the store or from another VM.
    bool has_targets() const { return has_targets_; }
    /// Follows the targets in the store, or leaves that to the duty's holder.
    void follow_targets(bool follow) { target_follower_.set_idle(!follow); }
    /// The store shows this VM all changes of targets.
    bool sees_targets() const
    {
        return !target_follower_.is_idle() && target_follower_.has_read() &&
               target_follower_.is_in_touch();
    }
    /// Forgets targets whose registration lapsed some time ago.
    void drop_lapsed(time_point now);

    /// Takes over what another VM knows and the store does not show.
    void use_snapshot(const fleet_snapshot& snapshot);
    /// The configuration is left out if it is not newer than `known_version`.
    fleet_snapshot make_snapshot(std::uint64_t known_version) const;

private:
    void use_configuration(const std::string& record, const char* source);
    void use_all_targets(const stored_range& range);
    void use_targets(const std::map<std::string, std::string>& records);
    void use_target(const std::string& key,
                    const std::optional<std::string>& value);
    void on_targets_changed();

    fleet_state& state_;
    store_follower configuration_follower_;
    store_follower target_follower_;
    bool has_targets_ = false;
};

} // namespace oleandergrade
