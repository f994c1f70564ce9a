/// State machine that replaces the primary of one group. Pure logic that runs
/// at the leader.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/process/failover/commit_quorum.hpp>
#include <oleandergrade/process/failover/primary_record.hpp>
#include <oleandergrade/process/serving/target_record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oleandergrade
{

/// Write the group's record to the store, provided that the stored record
/// still has the store's revision `expected_revision` (0: no record exists).
struct write_primary_record
{
    primary_record record;
    std::uint64_t expected_revision = 0;
    record_origin origin = {};

    bool operator==(const write_primary_record&) const = default;
};

/// Notify every VM of the group's record.
struct announce_primary
{
    bool operator==(const announce_primary&) const = default;
};

/// Request a report from a target.
struct request_target_report
{
    std::string target;

    bool operator==(const request_target_report&) const = default;
};

/// Fence a replica: it no longer receives what a primary of a term lower than
/// `term` commits. The replica answers with a report.
struct fence_target
{
    std::string target;
    std::uint64_t term = 0;

    bool operator==(const fence_target&) const = default;
};

/// End the effect of `fence_target`.
struct resume_target
{
    std::string target;

    bool operator==(const resume_target&) const = default;
};

/// Turn a primary of a term lower than `term` into a replica.
struct demote_target
{
    std::string target;
    std::uint64_t term = 0;

    bool operator==(const demote_target&) const = default;
};

/// Order the promotion of a target.
struct promote_target
{
    std::string target;

    bool operator==(const promote_target&) const = default;
};

/// An action that the state machine requests from its driver.
using group_action =
    std::variant<write_primary_record, announce_primary, request_target_report,
                 fence_target, resume_target, demote_target, promote_target>;

/// What the leader and the reports of the VMs show of one target.
struct target_observation
{
    target_record record;
    /// How long the leader has failed to reach the target; empty if the target
    /// answers.
    std::optional<milliseconds> leader_failing_for;
    /// Number of VMs, without the leader, that report failures to reach the
    /// target.
    std::size_t vms_failing_to_reach = 0;
    /// The target's failure domain is being evacuated.
    bool is_evacuated = false;
};

/// What the leader observes of a group, apart from the group's record.
struct group_observation
{
    std::vector<target_observation> targets;
    /// Number of VMs that report to the leader, without the leader itself.
    std::size_t reporting_vms = 0;
    /// Whether the closed record is binding: every VM has confirmed it or can
    /// no longer hold a valid grant.
    bool is_record_binding = false;
    /// Number of replicas that must hold a commit before it is acknowledged;
    /// empty if the configuration is not known.
    std::optional<std::uint32_t> synchronous_replicas = 0;
    /// The furthest position that this VM has seen the primary reach; the
    /// default if it has seen none.
    log_position primary_position;
    /// Generation of the store; 0 if it is not known.
    std::uint64_t store_generation = 0;
    /// Whether each VM that may hold a valid grant has told which record of the
    /// group it holds.
    bool is_inquiry_complete = false;
};

/// Replaces a primary in these steps:
///
/// 1. The leader or a fraction of the VMs fails to reach the primary, or the
///    primary is draining, or its failure domain is being evacuated and there
///    is a target elsewhere.
/// 2. Its record is closed in the store and at every VM.
/// 3. The targets report the length of their logs, which has become final with
///    the closed record. If the group commits synchronously and the primary is
///    lost, the request also fences the replicas. They are resumed once the
///    record is open, by whichever leader is in office.
/// 4. A target whose log is complete is written to the record as the candidate
///    and is promoted. Complete means as long as the old primary's, or, if that
///    one is lost, as the longest that any target or VM has shown. If no target
///    that answers has the complete log in time, the old primary continues its
///    term if it answers; otherwise the target with the longest log is
///    promoted, and what it lacks is logged as given up. In a group that
///    commits synchronously no target is promoted before enough logs have been
///    read to know that one of them has every acknowledged commit, however long
///    that takes.
/// 5. The record is opened with the new term, in the store and at every VM.
///
/// A primary that returns, possibly under another identifier, continues its
/// term as long as no promotion can have been ordered.
///
/// Another leader can repeat each step, for which it needs only the record. If
/// the store was restored after the record was written, a newer one may have
/// been lost: the leader first asks the VMs and the targets, and writes the
/// newest record that one of them holds to the store again. Not thread-safe.
class group_failover
{
public:
    /// The leader counts as failing to reach a primary after this time. The
    /// primary is replaced once a third of the VMs, the leader included, fail
    /// to reach it; these must include the leader or at least two other VMs.
    static constexpr milliseconds loss_timeout{350};
    /// A primary that the leader has failed to reach for this long is replaced
    /// even if no other VM reports a failure.
    static constexpr milliseconds leader_only_loss_timeout{1500};
    /// Maximum time to wait for the reports of targets that still answer.
    static constexpr milliseconds report_timeout{300};
    /// Interval between repeated requests to a target.
    static constexpr milliseconds request_interval{40};
    /// Interval between repeated requests to a target that does not answer the
    /// leader, and to one that registers as primary besides the recorded one.
    static constexpr milliseconds unresponsive_request_interval{200};
    /// Maximum time to wait until a planned successor has caught up with the
    /// old primary.
    static constexpr milliseconds catch_up_timeout{1500};
    /// Time after which a replacement that was called off is tried again.
    static constexpr milliseconds planned_retry_delay{3000};
    /// Maximum time to wait, after the loss of a primary, for a target that has
    /// every commit that is known.
    static constexpr milliseconds complete_log_timeout{2500};
    /// A primary that sent a report this recently can continue its term.
    static constexpr milliseconds primary_report_validity{500};
    /// A promotion that shows no effect within this time is ordered again.
    static constexpr milliseconds promotion_timeout{2500};

    explicit group_failover(std::string group);

    /// Applies the record that the store contains, and uses it unless a newer
    /// one is known.
    void on_stored_record(const stored_primary_record& stored);
    /// The store contains no record of the group.
    void on_record_missing() { stored_ = {}; }
    /// Applies a record that a VM holds unless a newer one is known.
    void on_record(const primary_record& record);
    /// Advances the state machine. Returns the actions to execute; their
    /// outcomes are passed to the functions below.
    std::vector<group_action> tick(const group_observation& observation,
                                   time_point now);
    /// Outcome of `write_primary_record`: the new revision or an error.
    void on_write_result(const result<std::uint64_t>& outcome, time_point now);
    /// Outcome of `request_target_report`, `fence_target` or `demote_target`,
    /// and when it was requested.
    void on_report(const std::string& target,
                   const result<target_report>& outcome,
                   time_point requested_at, time_point now);
    /// Outcome of `promote_target`.
    void on_promotion_result(const std::string& target,
                             const result<bool>& outcome, time_point now);
    /// Outcome of `resume_target`.
    void on_resumed(const std::string& target, bool succeeded);
    /// Aborts a replacement in progress, because this VM is no longer the
    /// leader or has just become it.
    void abort_replacement();

    /// Whether the leader must ask the VMs which record of the group they hold.
    bool is_inquiring() const { return step_ == step::inquiring; }
    const primary_record& record() const { return record_; }
    /// The replicas whose logs must be read before a target can be promoted, if
    /// the replacement waits for them.
    const std::vector<std::string>& awaited_replicas() const
    {
        return awaited_replicas_;
    }
    /// When this leader last ordered the record to be opened. The primary had
    /// just answered then, so earlier failures to reach it mean nothing. The
    /// epoch if another leader opened the record.
    time_point opened_at() const { return opened_at_; }
    /// Name of the current step, for logs and dumps.
    const char* step_name() const;

private:
    enum class step : std::uint8_t
    {
        /// No replacement in progress; the primary is observed.
        watching,
        /// Waits for the VMs to tell which record they hold, and for the
        /// targets' reports, because the store was restored.
        inquiring,
        /// Waits for a record to be written.
        writing,
        /// Waits for the closed record to be binding for every VM.
        binding,
        /// Waits for the targets' reports, and for a complete log.
        reporting,
        /// Waits for the answer to the promotion order.
        promoting,
        /// Waits for the candidate to report a higher term.
        verifying
    };

    struct timed_report
    {
        target_report report;
        time_point requested_at;
        /// The target's process that has sent it.
        std::uint64_t started_at = 0;
    };

    void enter_step(step next, time_point now);
    void watch_primary(const group_observation& observation, time_point now);
    /// Whether the store may have lost a newer record than the one it contains.
    bool must_inquire(const group_observation& observation) const;
    /// Writes the record again, closed if a later term has begun, once nobody
    /// can hold a newer one.
    void confirm_record(const group_observation& observation, time_point now);
    void check_for_later_primary(const group_observation& observation,
                                 const target_observation& primary,
                                 time_point now);
    void record_first_primary(const group_observation& observation,
                              time_point now);
    bool is_lost(const target_observation& primary,
                 const group_observation& observation) const;
    void close_record(bool is_planned, time_point now);
    void open_record(const std::string& target, std::uint64_t term,
                     time_point now);
    /// Opens the record if a target already is the primary of the group and no
    /// other primary can have a later term. Returns whether it did.
    bool adopt_primary(const group_observation& observation, time_point now);
    /// `restored_revision` is that of a record that is written again; 0 for a
    /// new one.
    void write_record(const primary_record& record, time_point now,
                      std::uint64_t restored_revision = 0);
    void request_reports(const group_observation& observation, time_point now);
    /// Whether replicas must be fenced so that their logs do not grow any more.
    bool must_fence(time_point now) const;
    /// Whether the recorded primary has just reported that it still leads its
    /// term, since the closed record became binding.
    bool answers_as_primary(time_point now) const;
    /// Returns null if the target is not registered.
    const target_record* find_registered(const std::string& id) const;
    /// Returns the replicas of the record's term, which may be a new one.
    commit_quorum quorum_of_term(const primary_record& record) const;
    /// Updates what is known of the replicas that acknowledge commits.
    void observe_replicas(const group_observation& observation);
    /// Resumes replicas that may have been fenced.
    void resume_replicas(const group_observation& observation, time_point now);
    /// Forgets replicas that are not registered any more, once others hold what
    /// they may have acknowledged.
    void forget_departed_replicas(const group_observation& observation,
                                  time_point now);
    /// Whether the logs that have been read contain every acknowledged commit.
    /// Otherwise sets `awaited_replicas_`.
    bool has_read_enough_logs(time_point now);
    /// The furthest position in a log that has been read since it ended, apart
    /// from that of the recorded primary.
    log_position furthest_final_position() const;
    /// Whether the recorded primary is to be replaced because its failure
    /// domain is being evacuated.
    static bool must_evacuate(const target_observation& primary,
                              const group_observation& observation);
    void choose_candidate(const group_observation& observation, time_point now);
    /// The furthest position in the recorded term's log that is known.
    log_position known_position(const group_observation& observation) const;
    /// Whether the log that ends at `log_end` contains every commit that is
    /// known.
    bool is_complete(log_position log_end,
                     const group_observation& observation) const;
    /// Continues the term if the old primary still answers and no promotion can
    /// have been ordered. Returns whether it did.
    bool call_off_replacement(time_point now);
    void write_candidate(const std::string& target,
                         const group_observation& observation, time_point now);
    /// The target's report; null if it was requested before the log ended, or
    /// if the target's process has started again since.
    const target_report* final_report(const std::string& target) const;
    void forget_reports();
    void request_report(const std::string& target, time_point now);
    void order_promotion(const std::string& target, time_point now);
    void verify_promotion(time_point now);
    std::uint64_t highest_term() const;

    std::string group_;
    /// The newest record that is known.
    primary_record record_;
    /// What the store contains as far as it has been read.
    stored_primary_record stored_;
    /// The record that is being written.
    stored_primary_record pending_;
    /// Generation of the store when the state machine last advanced.
    std::uint64_t store_generation_ = 0;
    /// Generation in which the VMs have last told what they hold.
    std::uint64_t inquired_generation_ = 0;
    /// No record is written before, after a write has failed.
    time_point write_allowed_at_;
    step step_ = step::watching;
    time_point opened_at_;
    /// When the current step was entered.
    time_point step_entered_at_;
    /// Earliest time of the next request to each target.
    std::map<std::string, time_point> next_request_at_;
    /// Latest report of each target in this replacement.
    std::map<std::string, timed_report> reports_;
    /// When the closed record became binding, after which the old primary
    /// commits nothing.
    time_point binding_since_;
    /// Furthest position in the recorded term that a target has reported in
    /// this replacement, or that the record contains.
    log_position furthest_position_;
    /// Since when no target that answers has the complete log.
    std::optional<time_point> incomplete_since_;
    /// No planned replacement is begun before.
    time_point planned_retry_at_;
    /// When each target last refused its promotion or was unreachable for it.
    std::map<std::string, time_point> promotion_refused_at_;
    /// The target that is to be promoted.
    std::string candidate_;
    /// The registered targets of the group, as last observed.
    std::vector<target_record> registered_;
    commit_quorum quorum_;
    time_point next_quorum_write_;
    /// Replicas have been fenced, so that reports from before do not count.
    bool has_fenced_ = false;
    std::vector<std::string> awaited_replicas_;
    /// Replicas that need not be resumed any more.
    std::set<std::string> resumed_;
    /// Position of the primary after the departure of the replicas that are to
    /// be forgotten.
    std::optional<log_position> departure_position_;
    std::vector<counted_replica> departed_replicas_;
    time_point departed_at_;
    /// Actions that the current or next call of `tick` returns.
    std::vector<group_action> actions_;
};

} // namespace oleandergrade
