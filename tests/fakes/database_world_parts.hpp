/// The actors of a database_world; private to its sources.
#pragma once

#include "database_world.hpp"

namespace fakes
{

struct database_world::server
{
    std::shared_ptr<host> machine;
    standins::database_server state;
    duration apply_delay{0};
    bool receives = true;
};

struct database_world::node
{
    std::shared_ptr<host> machine;
    std::size_t rank = 0;
    std::unique_ptr<failover_coordinator> coordinator;
    std::unique_ptr<router> routes;

    std::string identity() const
    {
        return machine->name + "#" + std::to_string(machine->run);
    }
};

struct database_world::session
{
    std::string name;
    std::shared_ptr<node> entry;
    std::optional<session_token> token;
    statement sent;
    time_point deadline;
    std::vector<std::string> excluded;
    bool may_have_run = false;
    unsigned attempts = 0;
    unsigned number = 0;
    std::set<unsigned> acknowledged;
    std::map<unsigned, time_point> acknowledged_at;
    std::set<unsigned> unknown;
    time_point started_at;
    /// The read states an age and brings no session.
    bool browses = false;
    /// Number of the operation under way; what belongs to an earlier one is
    /// ignored.
    std::uint64_t operation = 0;
};

target_status to_target_status(const standins::server_status& status);

} // namespace fakes
