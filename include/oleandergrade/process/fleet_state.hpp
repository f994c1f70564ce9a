/// The state that the parts of one VM's process share.
#pragma once

#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/process/configuration/active_configuration.hpp>
#include <oleandergrade/process/configuration/metered_store.hpp>
#include <oleandergrade/process/failover/promotion_client.hpp>
#include <oleandergrade/process/forwarding/holder_selector.hpp>
#include <oleandergrade/process/limits/operation_limiter.hpp>
#include <oleandergrade/process/membership/member_list.hpp>
#include <oleandergrade/process/metadata_store.hpp>
#include <oleandergrade/process/serving/target_chooser.hpp>
#include <oleandergrade/process/serving/target_pool.hpp>
#include <oleandergrade/process/store_layout.hpp>
#include <oleandergrade/process/vm_settings.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oleandergrade
{

/// The platform's implementations of the interfaces that the process uses.
struct platform_parts
{
    std::unique_ptr<metadata_store> store;
    std::unique_ptr<promotion_client> promotions;
    std::unique_ptr<session_codec> codec;
    store_layout layout;
};

/// This VM's view of the fleet, its configuration and its connections. Exists
/// as long as the process and must be used on one executor only.
struct fleet_state
{
    fleet_state(boost::asio::any_io_executor executor,
                vm_settings initial_settings, platform_parts& parts);

    vm_settings settings;
    platform_parts& platform;
    /// The platform's store with metrics of its calls.
    metered_store store;
    /// Random number that identifies this incarnation of the process.
    const std::uint64_t incarnation;
    active_configuration configuration;
    serving_view view;
    target_pool pool;
    operation_limiter limiter;
    member_list members;
    /// A lower bound of the number of VMs while not all members are known.
    std::uint32_t min_member_count = 0;
    /// Which VMs hold the sessions at targets that the fleet shares.
    holder_selector holders;
    /// The targets' records by key, as they are in the store. They are copied
    /// to VMs that cannot reach the store.
    std::map<std::string, std::string> target_records;
    /// The process has received a signal to stop.
    bool is_stopping = false;

    /// Applies a holder table if it is newer than the present one, and closes
    /// the sessions that this VM may no longer keep.
    void apply_holder_table(const holder_table& table);
    /// Returns this VM's part in serving a group; no value if the sessions at
    /// its targets are not shared.
    std::optional<sharing_role> role_in(const std::string& group) const;

    /// Recomputes this VM's share of the connections to targets and updates the
    /// accounts' limits. Called after the configuration or the number of
    /// members has changed. Until the members are known, one connection to each
    /// target may be opened and the VM has no limits of its own.
    void update_limits();
};

} // namespace oleandergrade
