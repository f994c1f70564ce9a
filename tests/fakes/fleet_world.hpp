/// Several VMs, one database group and the platform in virtual time: the real
/// logic of membership, duty, grants, failover, placement and retries over a
/// network with faults. Checks what callers see.
#pragma once

#include "virtual_network.hpp"

#include "group_model.hpp"
#include "store_model.hpp"

#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/process/failover/group_failover.hpp>
#include <oleandergrade/process/serving/target_chooser.hpp>

#include <set>

namespace fakes
{

/// Bugs that can be planted to show that the checks notice them.
enum class fleet_bug
{
    none,
    /// Orders a promotion before the closed record binds every VM.
    unbound_promotion,
    /// Confirms a closed record without acting on it.
    unheeded_closing,
    /// Uses primaries after its grant has run out.
    endless_grant,
    /// Passes on what a primary confirmed without looking at its record again.
    unchecked_answer,
    /// Sends a write whose answer was lost again.
    blind_retry,
    /// Reads replicas without regard to the session's own commits.
    forgotten_position,
    /// Reads replicas without regard to the age of their data.
    forgotten_age,
    /// Says of a write whose answer was lost that it has not run.
    false_denial,
    /// Goes on after its lease has ended, and writes records without regard to
    /// who holds the duty.
    unfenced_holder
};

/// Kinds of faults switched on in a run.
struct fleet_faults
{
    /// Messages that are lost or take up to 1.5 s.
    bool messages = false;
    /// VMs that are killed and come back without their memory.
    bool crashes = false;
    /// VMs that stand still for a while.
    bool pauses = false;
    /// Cuts between failure domains and towards the platform, also one way.
    bool cuts = false;
    /// The store is away or has lost its history.
    bool store = false;
    /// Leases of the store end before their time.
    bool lapses = false;
    /// Messages that take up to 350 ms, and still arrive in time.
    bool delays = false;
    /// Servers crash, come back, drain, stop receiving, or lag.
    bool targets = false;
};

/// What one run has shown.
struct fleet_outcome
{
    std::vector<std::string> violations;
    std::uint64_t acknowledged = 0;
    std::uint64_t in_doubt = 0;
    std::uint64_t refused = 0;
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    std::uint64_t promotions = 0;
    std::uint64_t faults = 0;
    /// Longest time without an acknowledged write after the first one.
    duration longest_gap{0};
    /// Writes were acknowledged again at the end.
    bool recovered = false;
};

/// Builds the world, runs it with faults, heals it and checks it.
class fleet_world
{
public:
    fleet_world(std::uint64_t seed, const fleet_faults& faults,
                fleet_bug bug = fleet_bug::none);
    ~fleet_world();

    fleet_outcome run(duration faulty_time);
    /// Kills the primary's server at this time after the start; it stays away.
    void kill_primary_after(duration delay);

private:
    struct vm;
    struct session;
    struct store_reply;
    struct server_reply;
    struct sent_statement;

    using vm_ptr = std::shared_ptr<vm>;
    using session_ptr = std::shared_ptr<session>;

    // The platform.
    std::shared_ptr<host> server_host(const std::string& id) const;
    void call_store(const vm_ptr& from, std::function<store_reply()> serve,
                    std::function<void(const result<store_reply>&)> done);
    void call_server(const vm_ptr& from, const std::string& id,
                     milliseconds timeout,
                     std::function<server_reply(standins::model_server&)> serve,
                     std::function<void(const result<server_reply>&)> done);
    store_reply
    write_store(const std::string& key, const std::string& value,
                std::uint64_t lease,
                std::vector<std::pair<std::string, std::uint64_t>> expected);
    static target_report report_of(const standins::model_server& server);

    // A VM. The functions follow what fleet_service and failover_driver do.
    void start_vm(const std::shared_ptr<host>& machine);
    void every(const vm_ptr& node, duration interval,
               std::function<void()> work);
    void register_member(const vm_ptr& node);
    void elect(const vm_ptr& node);
    void watch_store(const vm_ptr& node);
    void use_items(const vm_ptr& node,
                   const std::vector<standins::model_item>& items,
                   std::uint64_t as_of);
    void use_event(const vm_ptr& node, const standins::model_event& event);
    void use_record(const vm_ptr& node, const primary_record& record);
    void on_members_changed(const vm_ptr& node);
    void on_duty_changed(const vm_ptr& node);
    void report(const vm_ptr& node);
    void report_once(const vm_ptr& node);
    fleet_grant answer_report(const vm_ptr& holder, const fleet_report& report);
    void use_grant(const vm_ptr& node, const fleet_grant& grant,
                   time_point sent_at);
    void grant_to_self(const vm_ptr& node);
    milliseconds grant_validity(const vm_ptr& node) const;
    notice_receipt take_notice(const vm_ptr& node,
                               const primary_notice& notice);
    void step(const vm_ptr& node);
    group_observation sight_of(const vm_ptr& node) const;
    void carry_out(const vm_ptr& node, const group_action& action);
    void write_record(const vm_ptr& node, const write_primary_record& order);
    void promote(const vm_ptr& node, const std::string& target);
    void ask(const vm_ptr& node, const std::string& target,
             std::uint64_t demote_below);
    void ping(const vm_ptr& node);
    void notify_all(const vm_ptr& node);
    vm_ptr find_vm(const std::string& name) const;

    // Callers.
    void next_operation(const session_ptr& user);
    void attempt(const session_ptr& user);
    void send(const session_ptr& user, const placement_candidate& place);
    void on_answer(const session_ptr& user, const sent_statement& sent,
                   const result<server_reply>& outcome);
    void finish(const session_ptr& user, session_error failure, unsigned value);
    void check_read(const session& user, unsigned value);
    void check_logs();
    void violation(const std::string& line);
    /// Prints a line if OLEANDER_TRACE is set.
    void note(const std::string& line) const;

    // Faults.
    void inject_faults(time_point end);
    void inject_fault();
    void fail_vm();
    void fail_link();
    void fail_store();
    void fail_server();
    void restart_server(const std::string& id);
    void set_draining(const std::string& id, bool draining);
    bool is_group_whole() const;
    void heal();

    virtual_network network_;
    fleet_faults faults_;
    fleet_bug bug_;
    fleet_outcome outcome_;
    standins::store_model store_;
    standins::group_model group_;
    std::shared_ptr<host> platform_;
    std::map<std::string, std::shared_ptr<host>> servers_;
    std::vector<std::shared_ptr<host>> machines_;
    std::map<std::string, vm_ptr> vms_;
    std::vector<session_ptr> sessions_;
    time_point last_acknowledged_;
    bool has_cuts_ = false;
};

} // namespace fakes
