/// The VMs, sessions and messages of the fleet simulation; included only by its
/// sources.
#pragma once

#include "fleet_world.hpp"

#include <oleandergrade/process/failover/vm_report_tracker.hpp>
#include <oleandergrade/process/membership/leader_tracker.hpp>
#include <oleandergrade/process/serving/attempt_policy.hpp>

namespace fakes
{

inline constexpr const char* group_name = "g";
/// Reads of bounded age allow data that is at most this old.
inline constexpr auto most_age = milliseconds(1500);

/// An answer of the store.
struct fleet_world::store_reply
{
    standins::store_outcome outcome = standins::store_outcome::done;
    /// Revision of the store, or the id of the lease that was created.
    std::uint64_t revision = 0;
    std::vector<standins::store_entry> items;
    std::vector<standins::store_event> events;
};

/// An answer of a database server.
struct fleet_world::server_reply
{
    session_error failure = session_error::none;
    /// Highest number that has been written to the item that was read, among
    /// the commits that the server has applied; 0 if there is none.
    unsigned value = 0;
    /// The last commit in the server's log.
    log_position position;
    target_report report;
};

/// One process of a VM, from its start to the crash or restart of the machine.
struct fleet_world::vm
{
    vm(std::shared_ptr<host> where, std::uint64_t number)
        : machine(std::move(where)), run(machine->run), incarnation(number),
          duty({machine->name, number, machine->name})
    {
    }

    std::shared_ptr<host> machine;
    /// Number of the machine's start at which this process was started.
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
    /// Whether this VM was the leader when its leadership was last examined.
    bool held_duty = false;
    /// A read of the store's changes is in progress.
    bool watching = false;
    /// Revision of the store up to which changes have been applied; 0 if all
    /// items are to be read.
    std::uint64_t watched = 0;
    bool pinging = false;
    time_point next_ping;
    /// When the first of the leader's pings that failed in a row was sent.
    std::optional<time_point> primary_failing_since;
    /// Targets to which a request for a report is in progress.
    std::set<std::string> asking;
    /// When the next notification may be sent, by the name of the VM.
    std::map<std::string, time_point> next_notice;
};

enum class operation_kind
{
    write,
    /// Must show all writes acknowledged before the read started.
    strict_read,
    /// Must show the session's own writes.
    own_read,
    /// Must show all writes acknowledged longer ago than the allowed age.
    aged_read
};

/// A caller and its current operation.
struct fleet_world::session
{
    unsigned index = 0;
    /// The VM to which the session is connected.
    vm_ptr entry;
    operation_kind kind = operation_kind::write;
    /// Index of the session whose item is read.
    unsigned subject = 0;
    /// Number of the session's last write, which is the data that it writes.
    unsigned number = 0;
    /// Lowest number that the current read may return.
    unsigned floor = 0;
    time_point started_at;
    unsigned attempts = 0;
    /// Targets that the current operation must not be sent to again.
    std::set<std::string> excluded;
    /// Identifies the current operation; answers that arrive after their
    /// operation has ended are recognized by it and ignored.
    std::uint64_t operation = 0;
    /// Log position of the session's last acknowledged write.
    std::optional<log_position> position;
    /// Highest number acknowledged since the session was opened.
    unsigned own_floor = 0;
    /// When each of the session's writes was acknowledged, by number.
    std::map<unsigned, time_point> acknowledged;
    /// Numbers of the writes that were reported as not executed.
    std::set<unsigned> denied;
};

/// A statement that was sent to a database server.
struct fleet_world::sent_statement
{
    /// The operation of the session that the statement belongs to.
    std::uint64_t operation = 0;
    std::string target;
    /// The target was chosen as the primary.
    bool is_primary = false;
    /// Revision and term of the primary record under which it was sent.
    std::uint64_t revision = 0;
    std::uint64_t term = 0;
    time_point sent_at;
};

} // namespace fakes
