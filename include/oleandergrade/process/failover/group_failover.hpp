/// Replaces the primary of one group, step by step. Pure logic that runs at
/// the duty's holder.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/process/failover/primary_record.hpp>
#include <oleandergrade/process/serving/target_record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oleandergrade
{

/// Writes the group's record to the store, if it still has `expected`.
struct write_primary_record
{
    primary_record record;
    std::uint64_t expected = 0;

    bool operator==(const write_primary_record&) const = default;
};

/// Tells every VM of the group's record.
struct announce_primary
{
    bool operator==(const announce_primary&) const = default;
};

/// Asks a target for its report.
struct ask_target
{
    std::string target;

    bool operator==(const ask_target&) const = default;
};

/// Stops a replica from receiving what a primary below the term commits. The
/// answer is a report.
struct fence_target
{
    std::string target;
    std::uint64_t term = 0;

    bool operator==(const fence_target&) const = default;
};

/// Makes a primary of a lower term a replica.
struct demote_target
{
    std::string target;
    std::uint64_t term = 0;

    bool operator==(const demote_target&) const = default;
};

/// Orders a promotion.
struct promote_target
{
    std::string target;

    bool operator==(const promote_target&) const = default;
};

using group_action =
    std::variant<write_primary_record, announce_primary, ask_target,
                 fence_target, demote_target, promote_target>;

/// How the fleet sees one target.
struct target_sight
{
    target_record record;
    /// How long the holder has failed to reach it; none if it answers.
    std::optional<milliseconds> holder_fails;
    /// VMs that have failed to reach it for a while, without the holder.
    std::size_t vms_failing = 0;
};

/// What the holder knows of a group besides its record.
struct group_sight
{
    std::vector<target_sight> targets;
    /// VMs in touch with the holder, without itself.
    std::size_t vms_in_touch = 0;
    /// The closed record binds every VM.
    bool is_binding = false;
    /// Replicas that hold a commit before it is acknowledged.
    std::uint32_t synchronous_replicas = 0;
};

/// The steps of a replacement:
///
/// 1. The primary is lost for the holder or for a part of the VMs, or it
///    leaves.
/// 2. Its record is closed in the store and at every VM.
/// 3. The targets report how long their logs are; where commits are
///    synchronous, they are fenced by the same call.
/// 4. The target with the longest log is named in the record and promoted. If
///    the replacement is planned, it must first hold all that the primary has.
/// 5. The record opens with the new term, in the store and at every VM.
///
/// A primary that comes back, maybe under another identifier, goes on with its
/// term as long as no promotion can have been ordered.
///
/// Each step may be repeated by another holder from the record alone. Not
/// synchronized.
class group_failover
{
public:
    /// A primary that does not answer the holder and a third of the VMs for
    /// this long is replaced.
    static constexpr milliseconds loss_time{350};
    /// A primary that only the holder cannot reach is replaced after this.
    static constexpr milliseconds lone_loss_time{1500};
    /// Longest wait for the targets' reports.
    static constexpr milliseconds report_time{300};
    /// Between repeated questions to a target.
    static constexpr milliseconds ask_interval{40};
    /// The same for targets that do not answer.
    static constexpr milliseconds silent_interval{200};
    /// Longest wait for a planned successor to catch up.
    static constexpr milliseconds catch_up_time{1500};
    /// After this a promotion that shows no effect is ordered anew.
    static constexpr milliseconds promotion_time{2500};

    explicit group_failover(std::string group);

    /// A record from the store; the newest one counts.
    void on_record(const primary_record& record);
    std::vector<group_action> tick(const group_sight& sight, time_point now);
    void on_written(const result<std::uint64_t>& outcome, time_point now);
    void on_report(const std::string& target,
                   const result<target_report>& outcome, time_point now);
    void on_promoted(const std::string& target, const result<bool>& outcome,
                     time_point now);
    /// The holder lost the duty; whatever is under way ends.
    void abandon();

    const primary_record& record() const { return record_; }
    /// Name of the step that is under way, for logs and dumps.
    const char* step_name() const;

private:
    enum class step : std::uint8_t
    {
        watching,
        writing,
        binding,
        reporting,
        catching_up,
        promoting,
        verifying
    };

    void enter(step next, time_point now);
    void watch(const group_sight& sight, time_point now);
    void look_for_later_primary(const group_sight& sight,
                                const target_sight& primary, time_point now);
    void find_first_primary(const group_sight& sight, time_point now);
    bool is_lost(const target_sight& primary, const group_sight& sight) const;
    void close_record(bool is_planned, time_point now);
    void open_record(const std::string& target, std::uint64_t term,
                     time_point now);
    /// Opens the record if a target leads the group already.
    bool adopt_primary(const group_sight& sight, time_point now);
    void write(const primary_record& record, time_point now);
    void ask_all(const group_sight& sight, time_point now);
    void choose(const group_sight& sight, time_point now);
    void catch_up(const group_sight& sight, time_point now);
    void name_candidate(const std::string& target, time_point now);
    void ask_again(const std::string& target, time_point now);
    void promote(const std::string& target, time_point now);
    void verify(time_point now);
    std::uint64_t highest_term() const;

    std::string group_;
    primary_record record_;
    /// The record that is being written.
    primary_record pending_;
    step step_ = step::watching;
    time_point step_since_;
    /// When each target may be asked again.
    std::map<std::string, time_point> next_ask_;
    std::map<std::string, target_report> reports_;
    /// Targets that refused to be promoted in this attempt.
    std::map<std::string, time_point> refused_;
    std::string candidate_;
    std::vector<group_action> actions_;
};

} // namespace oleandergrade
