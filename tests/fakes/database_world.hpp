/// One database group, the VMs that coordinate it, the platform, and sessions
/// that use it, over a virtual network.
#pragma once

#include "virtual_network.hpp"

#include "database_server.hpp"
#include "platform_store.hpp"

#include <oleandergrade/process/failover_coordinator.hpp>
#include <oleandergrade/request/retry_policy.hpp>
#include <oleandergrade/request/router.hpp>

#include <set>

namespace fakes
{

/// Bugs that can be planted to show that the checks notice them.
enum class planted_bug
{
    none,
    /// Answers a write before a majority has confirmed it.
    early_acknowledgement,
    /// Sends a write without a request identifier again.
    blind_retry,
    /// Reads without regard to the session's position.
    forgotten_position,
    /// Reads replicas without regard to the age of their data.
    forgotten_age,
    /// Says "not run" of a write whose answer was lost.
    false_denial
};

/// Faults switched on in a run.
struct world_faults
{
    bool messages = false;
    bool crashes = false;
    bool pauses = false;
    bool cuts = false;
    bool platform = false;
    bool lag = false;
};

/// What one run has shown.
struct world_outcome
{
    std::vector<std::string> violations;
    std::uint64_t acknowledged = 0;
    std::uint64_t unknown = 0;
    std::uint64_t not_run = 0;
    std::uint64_t reads = 0;
    std::uint64_t replica_reads = 0;
    std::uint64_t promotions = 0;
    std::uint64_t faults = 0;
    /// The group had a primary in step with its replicas at the end.
    bool recovered = false;
    std::vector<std::string> log;
};

/// Builds the world, runs it with faults, heals it and checks it.
class database_world
{
public:
    database_world(std::uint64_t seed, const world_faults& faults,
                   planted_bug bug = planted_bug::none);
    ~database_world();

    world_outcome run(duration faulty_time, bool keeps_log = false);

private:
    struct server;
    struct node;
    struct session;

    void set_up();
    void tick_node(const std::shared_ptr<node>& vm);
    void watch_records(const std::shared_ptr<node>& vm);
    void start_node(const std::shared_ptr<node>& vm);
    void perform(const std::shared_ptr<node>& vm,
                 const std::vector<failover_action>& actions);
    void perform_one(const std::shared_ptr<node>& vm,
                     const failover_action& action);
    void pull(const std::shared_ptr<server>& replica);
    void inject_faults(time_point end);
    void inject_fault();
    void heal();

    void next_operation(const std::shared_ptr<session>& user);
    void attempt(const std::shared_ptr<session>& user);
    void retry_after(const std::shared_ptr<session>& user, duration delay);
    void execute(const std::shared_ptr<session>& user, const route& chosen);
    void confirm(const std::shared_ptr<session>& user, answer done,
                 const route& chosen);
    void finish(const std::shared_ptr<session>& user, answer outcome);
    void check_read(const std::shared_ptr<session>& user,
                    const std::string& value);
    void check_age(const std::shared_ptr<session>& user,
                   const std::string& value);
    void check_at_end();
    void note_answer(const session& user, const answer& outcome);
    void note(const std::string& line);
    void violation(const std::string& line);
    std::shared_ptr<server> find_server(const std::string& name) const;

    virtual_network network_;
    world_faults faults_;
    planted_bug bug_;
    world_outcome outcome_;
    bool keeps_log_ = false;
    bool faulty_ = true;
    std::shared_ptr<host> platform_;
    standins::platform_store store_;
    std::vector<target> targets_;
    std::vector<std::shared_ptr<server>> servers_;
    std::vector<std::shared_ptr<node>> nodes_;
    std::vector<std::shared_ptr<session>> sessions_;
    std::map<std::uint64_t, std::string> primary_of_term_;
    configuration configuration_;
};

} // namespace fakes
