/// The actors of a fleet_world; private to its sources.
#pragma once

#include "fleet_world.hpp"

#include <oleandergrade/process/failover/vm_report_tracker.hpp>
#include <oleandergrade/process/membership/leader_tracker.hpp>
#include <oleandergrade/process/serving/attempt_policy.hpp>

namespace fakes
{

inline constexpr const char* group_name = "g";
inline constexpr auto most_age = milliseconds(1500);

struct fleet_world::store_reply
{
    standins::model_outcome outcome = standins::model_outcome::done;
    std::uint64_t revision = 0;
    std::vector<standins::model_item> items;
    std::vector<standins::model_event> events;
};

struct fleet_world::server_reply
{
    session_error failure = session_error::none;
    /// Highest number of the item that the server's log shows.
    unsigned value = 0;
    log_position position;
    target_report report;
};

/// One run of a VM's process.
struct fleet_world::vm
{
    vm(std::shared_ptr<host> where, std::uint64_t number)
        : machine(std::move(where)), run(machine->run), incarnation(number),
          duty({machine->name, number, machine->name})
    {
    }

    std::shared_ptr<host> machine;
    std::uint64_t run;
    std::uint64_t incarnation;
    leader_election duty;
    grant_tracker ledger;
    vm_report_tracker contacts;
    leader_tracker holder;
    group_failover failover{group_name};
    serving_view view;
    member_list members;
    bool registering = false;
    bool registered = false;
    bool held_duty = false;
    bool watching = false;
    std::uint64_t watched = 0;
    bool pinging = false;
    time_point next_ping;
    std::optional<time_point> primary_failing_since;
    std::set<std::string> asking;
    std::map<std::string, time_point> next_notice;
};

enum class operation_kind
{
    write,
    strict_read,
    own_read,
    aged_read
};

struct fleet_world::session
{
    unsigned index = 0;
    vm_ptr entry;
    operation_kind kind = operation_kind::write;
    /// The session whose item is read.
    unsigned subject = 0;
    unsigned number = 0;
    /// The least number that the read must show.
    unsigned floor = 0;
    time_point started_at;
    unsigned attempts = 0;
    std::set<std::string> excluded;
    /// Tells late answers from those of the operation under way.
    std::uint64_t operation = 0;
    std::optional<log_position> position;
    /// Highest number acknowledged since the session was opened.
    unsigned own_floor = 0;
    std::map<unsigned, time_point> acknowledged;
    std::set<unsigned> denied;
};

struct fleet_world::sent_statement
{
    std::uint64_t operation = 0;
    std::string target;
    bool is_primary = false;
    std::uint64_t revision = 0;
    std::uint64_t term = 0;
    time_point sent_at;
};

} // namespace fakes
