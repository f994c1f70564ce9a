/// What this process knows of the fleet: configuration, VMs, leadership.
#pragma once

#include <oleandergrade/process/configuration_freshness.hpp>
#include <oleandergrade/request/router.hpp>
#include <oleandergrade/version/configuration.hpp>
#include <oleandergrade/version/vm_list.hpp>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Shared by all threads. Versions are swapped whole; routing state is kept
/// in shards by database, each under its own lock.
class fleet_view
{
public:
    explicit fleet_view(const std::string& own_domain);

    std::shared_ptr<const configuration> current_configuration() const;
    std::shared_ptr<const vm_list> vms() const;
    freshness_state freshness() const;
    /// The VM that leads a failure domain; empty if unknown.
    std::string lead_of(const std::string& failure_domain) const;

    /// Puts a configuration in force unless a newer one is; returns whether
    /// it did.
    bool use_configuration(const std::shared_ptr<const configuration>& value);
    void use_vms(std::shared_ptr<const vm_list> value);
    void use_freshness(const freshness_state& value);
    void use_lead(const std::string& failure_domain, const std::string& vm);

    bool learn_group(const group_record& record);
    group_record group(const std::string& database) const;
    std::vector<group_record> groups() const;
    void learn_position(const std::string& database, const std::string& target,
                        const log_position& position);
    void learn_behind(const std::string& database, const std::string& target);
    void learn_unreachable(const std::string& database,
                           const std::string& target);
    route_decision decide(const route_request& request);

private:
    static constexpr std::size_t shard_count = 16;

    struct shard
    {
        explicit shard(const std::string& own_domain) : routes(own_domain) {}

        mutable std::mutex mutex;
        router routes;
    };

    shard& shard_of(const std::string& database) const;

    mutable std::mutex mutex_;
    std::shared_ptr<const configuration> configuration_;
    std::shared_ptr<const vm_list> vms_;
    freshness_state freshness_;
    std::map<std::string, std::string> leads_;
    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace oleandergrade
