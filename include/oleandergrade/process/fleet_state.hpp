/// What one VM of the fleet knows and believes.
#pragma once

#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/process/configuration/configuration_holder.hpp>
#include <oleandergrade/process/configuration/counted_store.hpp>
#include <oleandergrade/process/failover/promotion_client.hpp>
#include <oleandergrade/process/limits/operation_limiter.hpp>
#include <oleandergrade/process/membership/member_list.hpp>
#include <oleandergrade/process/metadata_store.hpp>
#include <oleandergrade/process/serving/target_chooser.hpp>
#include <oleandergrade/process/serving/target_pool.hpp>
#include <oleandergrade/process/store_layout.hpp>
#include <oleandergrade/process/vm_settings.hpp>

#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// The platform that a VM runs on, behind the product's interfaces.
struct platform_parts
{
    std::unique_ptr<metadata_store> store;
    std::unique_ptr<promotion_client> promotions;
    std::unique_ptr<session_codec> codec;
    store_layout layout;
};

/// Lives as long as the process; used on one executor only.
struct fleet_state
{
    fleet_state(boost::asio::any_io_executor executor, vm_settings given,
                platform_parts& parts);

    vm_settings settings;
    platform_parts& platform;
    /// The platform's store, with its calls counted.
    counted_store store;
    /// Random number of this run of the process.
    const std::uint64_t incarnation;
    configuration_holder configuration;
    serving_view view;
    target_pool pool;
    operation_limiter limiter;
    member_list members;
    /// Records of targets as the store holds them, for VMs that it turns away.
    std::map<std::string, std::string> target_values;
    /// The process is about to stop.
    bool stopping = false;

    /// Connections and limits follow from the configuration and the members.
    void share_limits();
};

} // namespace oleandergrade
