/// Control planes of a whole fleet in one process, to measure what they spend.
#pragma once

#include "platform_store.hpp"

#include <oleandergrade/connection/peer_message.hpp>
#include <oleandergrade/process/control_plane.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace capacity
{

using namespace oleandergrade;

/// Processor time that this process has used.
double cpu_seconds();

/// What the control planes of one fleet spend.
struct control_cost
{
    double bytes_per_node_second = 0;
    double lead_bytes_per_second = 0;
    double messages_per_node_second = 0;
    double core_percent_per_node = 0;
    double lead_core_percent = 0;
    double platform_calls_per_second = 0;
    double spread_seconds = 0;
};

/// A fleet of control planes whose messages arrive at once.
class control_fleet
{
public:
    control_fleet(std::size_t nodes, std::size_t domains,
                  std::size_t databases);
    control_cost run(double seconds);

private:
    struct member
    {
        std::string name;
        std::string domain;
        std::unique_ptr<control_plane> plane;
        double bytes = 0;
        double messages = 0;
        double cpu = 0;
    };

    void tick(member& each);
    void perform(member& each, const control_action& action);
    void run_election(member& each, election_call call);
    std::size_t transfer(const peer_body& body);
    void spread(member& each);

    time_point now_{seconds(1000)};
    std::vector<std::string> domains_;
    std::vector<member> members_;
    std::map<std::string, member*> by_name_;
    standins::platform_store store_;
    std::uint64_t version_ = 1;
    std::map<std::string, std::uint64_t> versions_;
    std::uint64_t platform_reads_ = 0;
};

} // namespace capacity
