/// What others keep in the store, and how it is read.
#pragma once

#include <oleandergrade/error.hpp>
#include <oleandergrade/process/serving/target_record.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <functional>
#include <string>

namespace oleandergrade
{

/// Prefix of everything that the product itself keeps in the store.
inline constexpr const char* own_prefix = "oleander/";
/// Key of the fleet's one duty.
inline constexpr const char* duty_key = "oleander/duty";
/// Followed by a VM's name: its membership.
inline constexpr const char* members_prefix = "oleander/vm/";
/// Followed by a group's name: its primary record.
inline constexpr const char* primaries_prefix = "oleander/primary/";

/// Keys and decoders of the platform that the product runs on.
struct store_layout
{
    std::string configuration_prefix;
    std::string configuration_key;
    /// Followed by a target's identifier.
    std::string targets_prefix;
    std::function<result<route_table_ptr>(const std::string& record)>
        decode_configuration;
    std::function<result<target_record>(const std::string& id,
                                        const std::string& record)>
        decode_target;
};

} // namespace oleandergrade
