/// Keys of the store and the decoders of records that others write to it.
#pragma once

#include <oleandergrade/error.hpp>
#include <oleandergrade/process/serving/target_record.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <functional>
#include <string>

namespace oleandergrade
{

/// Prefix of all keys that the proxy itself writes to the store.
inline constexpr const char* own_prefix = "oleander/";
/// Key whose value identifies the leader. It is bound to the leader's lease and
/// deleted when that ends.
inline constexpr const char* leader_key = "oleander/duty";
/// Prefix of the VMs' membership records, followed by the VM's name.
inline constexpr const char* members_prefix = "oleander/vm/";
/// Prefix of the primary records, followed by the group's name.
inline constexpr const char* primaries_prefix = "oleander/primary/";
/// Key of the lender table.
inline constexpr const char* lenders_key = "oleander/lenders";

/// Keys that the platform uses in the store, and decoders of their values.
struct store_layout
{
    std::string configuration_prefix;
    std::string configuration_key;
    /// Prefix of the keys that order the evacuation of a failure domain,
    /// followed by the domain. It is below `configuration_prefix`.
    std::string evacuation_prefix;
    /// Prefix of the targets' registrations, followed by the target's
    /// identifier.
    std::string targets_prefix;
    std::function<result<route_table_ptr>(const std::string& record)>
        decode_configuration;
    std::function<result<target_record>(const std::string& id,
                                        const std::string& record)>
        decode_target;
};

} // namespace oleandergrade
