/// Runs the failover coordinators of the groups this VM takes care of.
#pragma once

#include <oleandergrade/connection/target_connection.hpp>
#include <oleandergrade/process/failover_coordinator.hpp>
#include <oleandergrade/process/platform_client.hpp>
#include <oleandergrade/process/process_context.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/json/array.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// A VM coordinates the groups of which it owns a target in first place. All
/// members run on the executor given to the constructor.
class failover_service
{
public:
    /// `announce` spreads a new record to the other VMs.
    failover_service(process_context& context,
                     boost::asio::any_io_executor executor,
                     std::function<void(const group_record&)> announce);

    /// Takes in a new configuration or VM list.
    void refresh();
    /// Takes in a record that another VM announced.
    void learn(const group_record& record);
    void tick(time_point now);
    boost::json::array dump() const;

private:
    struct coordinated_group;
    using group_handle = std::shared_ptr<coordinated_group>;

    void run(const group_handle& group,
             const std::vector<failover_action>& actions);
    boost::asio::awaitable<void> run_probe(group_handle group,
                                           probe_action action);
    boost::asio::awaitable<void> run_read(group_handle group,
                                          read_record_action action);
    boost::asio::awaitable<void> run_swap(group_handle group,
                                          swap_record_action action);
    boost::asio::awaitable<void> run_fence(group_handle group,
                                           fence_action action);
    boost::asio::awaitable<void> run_promote(group_handle group,
                                             promote_action action);
    boost::asio::awaitable<void> run_follow(follow_action action);
    std::string address_of(const std::string& target) const;

    process_context& context_;
    boost::asio::any_io_executor executor_;
    std::function<void(const group_record&)> announce_;
    std::unique_ptr<platform_client> platform_;
    std::string self_;
    std::map<std::string, group_handle> groups_;
};

} // namespace oleandergrade
