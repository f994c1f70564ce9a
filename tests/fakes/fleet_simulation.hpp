/// Simulates several VMs, one database group and the platform in virtual time
/// over a network with faults, and checks the results that callers get.
#pragma once

#include "virtual_network.hpp"

#include "group_model.hpp"
#include "store_model.hpp"

#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/connection/forwarded_statement.hpp>
#include <oleandergrade/connection/holder_table.hpp>
#include <oleandergrade/process/failover/group_failover.hpp>
#include <oleandergrade/process/serving/target_chooser.hpp>

#include <deque>
#include <set>

namespace fakes
{

/// Defects that can be injected into the simulated VMs to show that the checks
/// detect them.
enum class injected_defect
{
    none,
    /// The leader orders a promotion although some VM may still use the old
    /// primary: it neither confirmed the closed record nor lost its grant.
    promotion_before_binding,
    /// A VM confirms a closed record but continues to use its primary.
    closed_record_ignored,
    /// A VM uses primaries after its grant has expired.
    grant_without_expiry,
    /// A VM forwards the answer of a primary without checking that the
    /// primary's record is still usable.
    answer_without_record_check,
    /// A VM retries a write whose answer was lost, although the write may have
    /// been executed.
    unsafe_write_retry,
    /// A VM reads from replicas that may lack the session's own commits.
    session_position_ignored,
    /// A VM reads from replicas whose data may be older than the caller allows.
    max_age_ignored,
    /// A VM reports that a write was not executed although its answer was lost
    /// and its outcome is unknown.
    unknown_outcome_as_refusal,
    /// A relay answers a report with a grant that the leader gave for an
    /// earlier one.
    relay_extends_grant,
    /// The leader grants to a VM that it has not seen registered in the store,
    /// so that it does not wait for the grant of that VM.
    grant_to_unlisted_vm,
    /// A leader continues after its lease has ended, and writes primary records
    /// without the condition that it is still the leader.
    unfenced_leader,
    /// An entry VM forwards a write again after it has lost the holder's
    /// answer.
    forwarded_write_resent,
    /// A holder returns the answer of a primary to the entry VM without
    /// checking that the primary's record is still usable.
    holder_answer_without_record_check,
    /// An entry VM that has lost the holder's answer reports that the statement
    /// has not run.
    lost_hop_as_refusal,
    /// An entry VM that has lost the holder of a transaction continues the
    /// transaction at another VM.
    transaction_moved,
    /// An entry VM takes the answer to an earlier statement of a session for
    /// the answer to the current one.
    answer_of_earlier_statement,
    /// A holder takes a transaction whose first statement ends late for the
    /// session's transaction, although a later statement has arrived.
    late_transaction_kept,
    /// A holder runs a statement of a transaction that arrives over another
    /// link than the one over which the transaction began.
    transaction_over_other_link,
    /// A VM obeys the evacuations that the store shows it, but not those that
    /// the leader and other VMs name.
    granted_evacuation_ignored,
    /// A VM takes the answers of a store that was restored from a copy for
    /// those of the store that it knew.
    store_generation_ignored,
    /// The leader acts on the record of a store that was restored without
    /// asking anyone for a newer one, and takes a VM's receipt for a
    /// notification as if the VM held what the notification says.
    restored_record_trusted,
    /// The leader checks its authority before it opens the connection for a
    /// promotion, and not when it sends the order.
    authority_checked_before_connecting,
    /// The leader promotes the longest log that answers in time although
    /// another replica may have more acknowledged commits.
    synchronous_replicas_ignored
};

/// The kinds of faults that are injected during a run.
struct fault_kinds
{
    /// Some messages are lost or take up to 1.5 s.
    bool lossy_messages = false;
    /// VMs are killed and restarted, and lose the contents of their memory.
    bool vm_crashes = false;
    /// VMs are paused: they execute nothing and process what has arrived when
    /// they resume.
    bool vm_pauses = false;
    /// Messages between failure domains, or between a failure domain and the
    /// platform, are blocked in one or both directions.
    bool network_partitions = false;
    /// The store is unavailable or has discarded its history of changes.
    bool store_outages = false;
    /// The store ends all leases early.
    bool early_lease_ends = false;
    /// A fifth of the messages takes up to 390 ms, which is less than the
    /// 400 ms timeout of a statement sent to a server.
    bool slow_messages = false;
    /// Database servers crash and restart, drain, stop receiving commits, or
    /// lag behind the primary.
    bool server_failures = false;
    /// VMs' watches of the store get no answer, until the VMs give them up. One
    /// VM joins the fleet late, when all others have lost their watches, and
    /// loses its link to the leader when the primary is replaced.
    bool lost_watches = false;
    /// Promotions take 50 ms instead of 300 ms, so that statements that were
    /// sent before a promotion often arrive after it.
    bool fast_promotions = false;
    /// There are four VMs in each failure domain, and one of them relays the
    /// reports of the others.
    bool relays = false;
    /// Entry VMs forward statements to holders, and some operations are
    /// transactions. Holders change, stop, are killed and are paused; links to
    /// holders break. Holder tables of different versions are in use at once.
    bool forwarding = false;
    /// Operators order the evacuation of a failure domain and revoke it.
    bool evacuations = false;
    /// The store is unavailable for up to 5 s and returns from a copy that is
    /// up to 10 s old, at times twice in a row. It names its generation.
    bool store_restores = false;
    /// Connections for promotions take up to 3 s to open.
    bool slow_connections = false;
    /// A commit is acknowledged once a replica has received it. Database
    /// servers fail whether or not they have the same log.
    bool synchronous_replicas = false;
};

/// The results of one run of the simulation.
struct simulation_outcome
{
    /// A description of each violated guarantee.
    std::vector<std::string> violations;
    /// Writes that were acknowledged to the caller.
    std::uint64_t acknowledged_writes = 0;
    /// Operations whose outcome is unknown to the caller.
    std::uint64_t in_doubt = 0;
    /// Operations that ended with an error that promises that they had no
    /// effect.
    std::uint64_t refused = 0;
    /// Reads that succeeded.
    std::uint64_t reads = 0;
    /// Reads that a replica answered.
    std::uint64_t replica_reads = 0;
    std::uint64_t promotions = 0;
    /// Statements that a holder has accepted and answered, and transactions
    /// that were acknowledged as committed.
    std::uint64_t forwarded_statements = 0;
    std::uint64_t committed_transactions = 0;
    /// Attempts to inject a fault. An attempt has no effect if its precondition
    /// is not met, for example while another link fault is active.
    std::uint64_t fault_injections = 0;
    /// Longest time between two successive acknowledgements of writes.
    duration longest_write_gap{0};
    /// Whether writes were acknowledged after all faults had been ended.
    bool recovered = false;
};

/// Simulates the machines, the network, the platform, the database servers and
/// the callers of one fleet.
///
/// The logic of membership, leader election, grants, failover, placement and
/// retries is that of the product; the code that connects it, which the VM
/// daemon runs on sockets and timers, is reimplemented here on virtual time.
/// The same seed gives the same run.
class fleet_simulation
{
public:
    fleet_simulation(std::uint64_t seed, const fault_kinds& faults,
                     injected_defect defect = injected_defect::none);
    ~fleet_simulation();

    /// Starts the VMs and callers, injects faults for `fault_duration`, ends
    /// all faults, lets the fleet recover, checks the log of the primary, and
    /// returns the results. To be called once.
    simulation_outcome run(duration fault_duration);
    /// Kills server db-a, the initial primary, after this delay in virtual
    /// time. It restarts when `run` ends all faults.
    void kill_primary_after(duration delay);

private:
    struct vm;
    struct session;
    struct store_reply;
    struct server_reply;
    struct sent_statement;
    struct relayed_report;
    struct statement_run;
    struct open_transaction;
    struct holder_link;

    using vm_ptr = std::shared_ptr<vm>;
    using session_ptr = std::shared_ptr<session>;
    using run_ptr = std::shared_ptr<statement_run>;
    using holder_link_ptr = std::shared_ptr<holder_link>;
    /// Takes the answer of the VM that has run a statement.
    using answer_handler = std::function<void(const forwarded_answer&)>;
    using call_handler = std::function<void(const result<forwarded_answer>&)>;

    // The platform.

    std::shared_ptr<host> server_host(const std::string& id) const;
    /// Runs `serve` at the store and passes its reply, or an error, to `done`
    /// at the VM.
    void call_store(const vm_ptr& from, std::function<store_reply()> serve,
                    std::function<void(const result<store_reply>&)> done);
    /// Runs `serve` at the database server with this id and passes its reply,
    /// or an error, to `done` at the VM. A server that is down refuses the
    /// connection.
    void call_server(const vm_ptr& from, const std::string& id,
                     milliseconds timeout,
                     std::function<server_reply(standins::group_server&)> serve,
                     std::function<void(const result<server_reply>&)> done);
    /// Writes a key of the store if all the expected revisions, by key, hold.
    store_reply
    write_store(const std::string& key, const std::string& value,
                std::uint64_t lease,
                std::vector<std::pair<std::string, std::uint64_t>> expected);
    /// Does what the store's client does with an answer: discards one of an
    /// earlier generation and gives revisions their generation. Returns null if
    /// the answer is discarded.
    std::optional<store_reply> receive_reply(const vm_ptr& node,
                                             store_reply reply);
    /// Whether the expected revisions, by key, are of the generation that the
    /// VM knows.
    static bool are_current(
        const vm_ptr& node,
        const std::vector<std::pair<std::string, std::uint64_t>>& expected);
    /// Adds a violation if a promotion has a lower fencing token than an
    /// earlier one, or the same as that of another VM.
    void check_promotion_token(const std::string& vm, std::uint64_t token);
    /// Returns the report that this database server gives of itself.
    static target_report
    make_target_report(const standins::group_server& server);

    // A VM. These functions do what fleet_service and failover_driver do in
    // the product, and must follow changes of them.

    /// Starts a new process on the machine, without any state of earlier ones.
    void start_vm(const std::shared_ptr<host>& machine);
    /// Runs work at this interval for as long as the VM's process lives.
    void run_every(const vm_ptr& node, duration interval,
                   std::function<void()> work);
    /// Writes the VM's member record into the store if this is still to be
    /// done.
    void register_member(const vm_ptr& node);
    /// Sends the call to the store that the leader election is due to make, if
    /// any.
    void advance_election(const vm_ptr& node);
    /// Reads all items of the store, or the changes since the last read, unless
    /// such a read is in progress.
    void watch_store(const vm_ptr& node);
    /// Relies on the leader to report that this VM is behind, or confirms the
    /// state of the store at this VM.
    void update_follow_mode(const vm_ptr& node);
    /// Gives up the watch that is waiting; the next tick sends another one.
    static void repeat_watch(const vm_ptr& node);
    /// Applies all items of the store as of the revision `store_revision`.
    void apply_items(const vm_ptr& node,
                     const std::vector<standins::store_entry>& items,
                     std::uint64_t store_revision);
    /// Applies one change of the store.
    void apply_event(const vm_ptr& node, const standins::store_event& event);
    /// Applies a primary record if it is newer than the known one.
    void apply_record(const vm_ptr& node, const primary_record& record);
    void on_members_changed(const vm_ptr& node);
    /// All changes of the store up to this revision have been applied.
    void on_changes_applied(const vm_ptr& node, std::uint64_t store_revision);
    /// Handles that this VM may have become the leader, or may have ceased to
    /// be it, or may have observed another leader.
    void on_leadership_changed(const vm_ptr& node);
    /// Renews the VM's grant: the leader grants to itself, any other VM sends a
    /// report to the leader.
    void renew_grant(const vm_ptr& node);
    /// Sends one report to the relay, if there is one, else to the VM that is
    /// presumed to be the leader.
    void send_report(const vm_ptr& node);
    void send_report_to_leader(const vm_ptr& node);
    void send_report_to_relay(const vm_ptr& node);
    fleet_report make_report(const vm_ptr& node) const;
    /// Adds a report to those that the relay sends together, and sends them
    /// after the time for gathering.
    void gather_report(const vm_ptr& relay, const relayed_report& report);
    void send_gathered_reports(const vm_ptr& relay);
    /// Sends the grant that a relay has received to the VM that reported.
    void pass_grant_on(const vm_ptr& relay, const relayed_report& report,
                       const fleet_grant& grant);
    /// Returns the answer to a report: a grant if this VM is the leader and may
    /// grant, otherwise the address of the leader as far as it is known.
    fleet_grant answer_report(const vm_ptr& node, const fleet_report& report);
    relayed_grants answer_relayed_reports(const vm_ptr& node,
                                          const relayed_reports& reports);
    /// Applies the answer to a report that was sent at `sent_at`.
    void apply_grant(const vm_ptr& node, const fleet_grant& grant,
                     time_point sent_at);
    void grant_to_self(const vm_ptr& node);
    /// Returns how long a grant issued now may be valid; 0 if this VM may not
    /// issue one.
    milliseconds grant_validity(const vm_ptr& node) const;
    /// Applies a notification of the leader and returns the confirmation.
    notice_receipt apply_notice(const vm_ptr& node,
                                const primary_notice& notice);
    /// Does the periodic work of the leader: pings the primary, executes the
    /// actions of the failover logic, and notifies the VMs. Does nothing at
    /// other VMs.
    void run_leader_tasks(const vm_ptr& node);
    /// Returns the leader's observation of the group, the input of the failover
    /// logic.
    group_observation observe_group(const vm_ptr& node) const;
    void execute(const vm_ptr& node, const group_action& action);
    void write_record(const vm_ptr& node, const write_primary_record& order);
    void promote(const vm_ptr& node, const std::string& target);
    /// Sends the promotion when its connection is open, unless the VM has lost
    /// its authority or the token for which the promotion was ordered.
    void send_promotion(const vm_ptr& node, const std::string& target,
                        std::uint64_t token);
    /// Requests a report from a target, and first demotes it if its term is
    /// below `demote_below_term`, or fences it if it is a replica and its term
    /// is below `fence_below_term`. Does nothing while a request to it is in
    /// progress.
    void request_report(const vm_ptr& node, const std::string& target,
                        std::uint64_t demote_below_term,
                        std::uint64_t fence_below_term = 0);
    /// Ends the effect of a fence at the target.
    void resume(const vm_ptr& node, const std::string& target);
    /// Pings the primary, and records since when it has failed to answer.
    void ping_primary(const vm_ptr& node);
    /// Sends the current primary record to all members that have not confirmed
    /// it.
    void notify_vms(const vm_ptr& node);
    /// Records what the VM holds, which may be newer than what the leader
    /// knows.
    void apply_receipt(const vm_ptr& node, const std::string& vm,
                       const primary_notice& notice,
                       const notice_receipt& receipt);
    /// Ends the leadership of a VM whose token is lower, and its lease.
    void on_higher_token(const vm_ptr& node, std::uint64_t token);
    /// Returns the newest process of the machine with this name, or null.
    vm_ptr find_vm(const std::string& name) const;

    // Callers. Each session writes ascending numbers to an item of its own and
    // reads the items of all sessions.

    /// Starts a random operation of the session, which may first open a new
    /// session at another VM.
    void start_operation(const session_ptr& client);
    void begin_transaction(const session_ptr& client);
    /// Sends the operation's current statement to the VM that the session is
    /// connected to.
    void issue_statement(const session_ptr& client);
    /// Returns the current statement as it is forwarded.
    forwarded_statement make_statement(const session_ptr& client) const;
    /// Runs the current statement at the VM that the session is connected to.
    void run_locally(const session_ptr& client);
    /// Handles the answer to the session's current statement.
    void deliver_answer(const session_ptr& client,
                        const forwarded_answer& answer);
    /// Makes an attempt to run a statement, or waits for a target.
    void attempt_statement(const run_ptr& run);
    void send_statement(const run_ptr& run,
                        const placement_candidate& candidate);
    void on_answer(const run_ptr& run, const sent_statement& sent,
                   const result<server_reply>& outcome);
    /// Runs a statement at the target to which its transaction is pinned.
    void run_in_transaction(const vm_ptr& node,
                            const forwarded_statement& statement,
                            bool checks_record, const answer_handler& finish);
    /// Ends the operation and schedules the next one. `number_read` is the
    /// number that a read returned.
    void finish_operation(const session_ptr& client, session_error failure,
                          unsigned number_read);
    /// Checks that the read returned no older number than its consistency
    /// allows.
    void check_read(const session& client, unsigned number_read);
    /// Checks against the log of the primary that no acknowledged write is
    /// missing, no write was executed twice, and no refused write was executed.
    void check_primary_log();
    /// Checks that each transaction with two writes is in the log as a whole or
    /// not at all.
    void check_transactions(const session& client,
                            const standins::group_server& primary);
    void add_violation(const std::string& line);
    /// Prints a line to the standard error output if the environment variable
    /// OLEANDER_TRACE is set.
    void trace(const std::string& line) const;

    // Forwarding between VMs.

    /// Returns the VM to which the session's current statement is forwarded;
    /// empty if the session's own VM runs it.
    std::string choose_holder(const session_ptr& client) const;
    /// Returns the link to a holder; makes a new one if the last one is broken.
    holder_link_ptr link_to_holder(const vm_ptr& node,
                                   const std::string& address);
    void forward_statement(const session_ptr& client,
                           const std::string& address);
    /// Has the holder roll back the session's transaction.
    void end_forwarded_transaction(const session_ptr& client,
                                   const std::string& address);
    /// Ends the call when its link breaks, and probes a holder that does not
    /// answer.
    void watch_call(const session_ptr& client, const holder_link_ptr& link,
                    std::uint64_t call, const call_handler& end);
    void on_call_ended(const session_ptr& client, const std::string& address,
                       const result<forwarded_answer>& outcome);
    /// Runs a forwarded statement at the holder, or does not accept it.
    void accept_statement(const vm_ptr& node, const holder_link_ptr& link,
                          const forwarded_statement& statement,
                          const answer_handler& finish);
    /// Makes a new holder table, from which VMs learn after different times,
    /// and schedules the next one until `end`.
    void change_holders(time_point end);

    // Faults.

    /// Injects a fault now and schedules further ones until `end`.
    void inject_faults(time_point end);
    /// Injects one fault of a random kind among those that are enabled.
    void inject_fault();
    void inject_vm_fault();
    void inject_link_fault();
    void inject_store_fault();
    /// Takes a copy of the store and schedules the next one until `end`.
    void copy_store(time_point end);
    void inject_store_restore();
    /// Restores the store from a copy without the last promotion, starts a VM
    /// that knows only this copy, makes it the leader and drains the primary.
    void restore_behind_new_leader();
    void drain_primary_for(duration length);
    /// Replaces the store by a copy that is about this old.
    void restore_store(duration copy_age);
    void inject_server_fault();
    /// Crashes the primary while one replica has missed its last commits and
    /// the failure domain of the other one is isolated.
    void lose_primary_behind_cut_replica();
    /// Blocks all links of a failure domain.
    void isolate_domain(const std::string& domain);
    void inject_evacuation();
    void revoke_evacuation();
    /// Adds a violation if a statement is sent to an evacuated failure domain.
    void check_evacuation(const std::string& target);
    void inject_lost_watch();
    /// Stops, kills or pauses a holder.
    void inject_holder_fault();
    void kill_vm(const std::shared_ptr<host>& machine, duration downtime);
    void crash_server(const std::string& id);
    void lose_watch(const vm_ptr& node);
    /// Each VM loses its watch with this probability.
    void lose_watches(double fraction);
    /// Starts the last VM while the other ones lose their watches.
    void join_unnoticed();
    /// Drains the primary while the late VM neither reaches the leader nor
    /// receives changes of the store.
    void replace_primary_behind_late_vm();
    void restart_server(const std::string& id);
    void set_draining(const std::string& id, bool draining);
    /// Demotes former primaries that have been able to reach the present one,
    /// and repeats this.
    void demote_former_primaries(bool could_reach);
    /// Whether another server has received the last commit of this one.
    bool is_replicated(const standins::group_server& primary) const;
    /// Whether all database servers run, receive commits and have the same
    /// term and log, and no promotion is in progress.
    bool is_group_in_sync() const;
    /// Ends all faults and restarts what is down.
    void end_all_faults();

    virtual_network network_;
    fault_kinds faults_;
    injected_defect defect_;
    simulation_outcome outcome_;
    standins::store_model store_;
    /// Generation of the store; 0 if it names none.
    std::uint64_t store_generation_ = 0;
    /// Copies of the store and when they were taken, the oldest first.
    std::deque<std::pair<time_point, standins::store_model>> store_copies_;
    /// Highest fencing token with which a promotion was ordered, and the VM
    /// that did.
    std::uint64_t highest_promotion_token_ = 0;
    std::string highest_token_holder_;
    standins::group_model group_;
    std::shared_ptr<host> platform_;
    /// Hosts of the database servers, by server id.
    std::map<std::string, std::shared_ptr<host>> servers_;
    std::vector<std::shared_ptr<host>> machines_;
    /// Newest process of each machine, by the machine's name.
    std::map<std::string, vm_ptr> vms_;
    std::vector<session_ptr> sessions_;
    time_point last_acknowledged_at_;
    /// The newest holder table.
    holder_table holders_;
    struct server_transaction
    {
        std::string server;
        std::vector<std::pair<std::string, std::string>> writes;
    };
    /// Open transactions at the database servers, by the number of the VM's
    /// session at the server.
    std::map<std::uint64_t, server_transaction> server_transactions_;
    /// Last number given to a link, a call, or a session.
    std::uint64_t last_number_ = 0;
    /// A link fault is active.
    bool has_link_fault_ = false;
    /// The failure domain that is being evacuated; empty if there is none.
    std::string evacuated_domain_;
    time_point evacuation_ordered_at_;
};

} // namespace fakes
