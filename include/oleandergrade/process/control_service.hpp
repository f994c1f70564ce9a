/// Runs the control plane of one process: heartbeats, leadership of the
/// failure domain, configuration, VM list and group records.
#pragma once

#include <oleandergrade/process/admission_service.hpp>
#include <oleandergrade/process/bank_service.hpp>
#include <oleandergrade/process/control_plane.hpp>
#include <oleandergrade/process/failover_service.hpp>
#include <oleandergrade/process/owner_service.hpp>
#include <oleandergrade/process/peer_directory.hpp>
#include <oleandergrade/process/platform_client.hpp>
#include <oleandergrade/process/process_context.hpp>
#include <oleandergrade/process/timer_service.hpp>

#include <boost/json/object.hpp>

#include <random>

namespace oleandergrade
{

/// All members run on the executor given to the constructor, unless they say
/// otherwise.
class control_service
{
public:
    control_service(process_context& context, owner_service& owner,
                    bank_service& bank, admission_service& admission,
                    const boost::asio::any_io_executor& executor,
                    peer_directory& peers);

    void start();

    /// Answers a control message of a peer.
    boost::asio::awaitable<peer_body> serve(peer_body body);

    /// Replaces the configuration in the platform if its version is still
    /// `expected`, and waits until a majority of the failure domains has it
    /// in force. Errors carry the step at which the change stopped.
    boost::asio::awaitable<result<std::uint64_t>> apply(configuration next,
                                                        std::uint64_t expected);

    boost::json::object dump() const;

private:
    void tick(time_point now);
    void run(const control_action& action);
    void take_in_news();
    boost::asio::awaitable<void> run_election(election_call call);
    boost::asio::awaitable<void> send_heartbeat(std::string vm,
                                                heartbeat state);
    boost::asio::awaitable<void> read_platform();
    boost::asio::awaitable<bool> read_configuration();
    boost::asio::awaitable<void> read_vms();
    boost::asio::awaitable<void> read_groups();
    boost::asio::awaitable<void> pull_configuration(std::string vm);
    boost::asio::awaitable<void> send_announcement(vm peer,
                                                   group_record record);
    boost::asio::awaitable<bool> await_majority(std::uint64_t version);
    bool use_configuration_record(const std::string& value);
    void use_vms(const std::shared_ptr<const vm_list>& list);
    void use_group(const group_record& record);
    void announce(const group_record& record);

    process_context& context_;
    owner_service& owner_;
    bank_service& bank_;
    admission_service& admission_;
    boost::asio::any_io_executor executor_;
    peer_directory& peers_;
    std::unique_ptr<platform_client> platform_;
    control_plane plane_;
    failover_service failover_;
    timer_service timers_;
    std::minstd_rand random_;
    std::string configuration_record_;
    std::uint64_t configuration_revision_ = 0;
    std::uint64_t groups_revision_ = 0;
    bool reading_platform_ = false;
    bool pulling_ = false;
    bool led_before_ = false;
};

} // namespace oleandergrade
