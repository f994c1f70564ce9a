/// Watches one database group and promotes a new primary when it fails. Pure
/// decision logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/target_connection.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/process/failover_action.hpp>
#include <oleandergrade/process/platform_client.hpp>
#include <oleandergrade/version/configuration.hpp>
#include <oleandergrade/version/group_record.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// The promotion protocol, step by step:
///
/// 1. Several failed probes, and a majority of the group's servers that have
///    not heard from the primary either, raise a suspicion.
/// 2. A compare-and-swap of the group's record claims the next term.
/// 3. A majority of the servers is fenced: it refuses all lower terms.
/// 4. The fenced server with the longest log is promoted.
/// 5. The outcome is announced and recorded.
///
/// A coordinator promotes at most one server in a term. Another one takes over
/// with a higher term, never with the same. Not synchronized.
class failover_coordinator
{
public:
    /// `self` is unique for each run of a process.
    failover_coordinator(std::string database, std::string self);

    void use_members(const std::vector<target>& members);
    /// Coordinators with a higher rank wait longer before they act.
    void use_rank(std::size_t rank) { rank_ = rank; }
    /// Takes in a record that another VM announced.
    void use_announcement(const group_record& record, time_point now);

    /// Actions due now.
    std::vector<failover_action> tick(time_point now);

    std::vector<failover_action> on_probe(const std::string& target,
                                          const result<target_status>& outcome,
                                          time_point now);
    std::vector<failover_action>
    on_record(std::uint64_t attempt, const result<platform_value>& outcome,
              time_point now);
    std::vector<failover_action>
    on_swapped(std::uint64_t attempt, const result<std::uint64_t>& outcome,
               time_point now);
    std::vector<failover_action> on_fenced(const std::string& target,
                                           const result<target_status>& outcome,
                                           time_point now);
    std::vector<failover_action>
    on_promoted(const std::string& target, const result<target_status>& outcome,
                time_point now);

    const group_record& record() const { return record_; }
    /// Name of the step that is under way, for dumps.
    const char* phase_name() const;

private:
    enum class phase
    {
        watching,
        reading,
        claiming,
        verifying_claim,
        fencing,
        promoting,
        recording,
        verifying_record
    };
    struct member
    {
        target declared;
        std::optional<target_status> status;
        time_point answered_at;
        time_point next_probe;
        time_point next_follow;
        unsigned failures = 0;
        bool probing = false;
        /// The answer to the fence of the claimed term.
        std::optional<target_status> fenced;
    };

    void enter(phase next, time_point now);
    void read_record();
    void swap_record(std::uint64_t expected, const group_record& record);
    void abandon(time_point now);
    void notice_pause(time_point now);
    void learn(const group_record& record, time_point now);
    void learn_outcome(time_point now);
    void probe_members(time_point now);
    void watch(time_point now);
    void reconcile(time_point now);
    bool has_grounds_to_promote(time_point now) const;
    bool primary_is_lost(const member& primary, time_point now) const;
    std::size_t members_without_primary(duration silence, time_point now) const;
    bool is_fresh(const member& entry, time_point now) const;
    void create_first_record(time_point now);
    void claim(time_point now);
    void fence_members(time_point now);
    void promote_if_fenced(time_point now);
    void record_outcome(time_point now);
    void finish_record(time_point now);
    std::size_t majority() const { return members_.size() / 2 + 1; }
    std::uint64_t highest_term() const;
    const target* find_declared(const std::string& name) const;
    std::vector<failover_action> take_actions();

    std::string database_;
    std::string self_;
    std::size_t rank_ = 0;
    std::map<std::string, member> members_;
    group_record record_;
    time_point record_seen_at_;
    /// Revision of the platform's record; none if unknown.
    std::optional<std::uint64_t> revision_;
    /// Number of the platform call whose answer is awaited.
    std::uint64_t attempt_ = 0;
    phase phase_ = phase::watching;
    time_point phase_since_;
    time_point next_step_;
    time_point last_tick_;
    time_point next_read_;
    std::optional<time_point> suspected_since_;
    std::uint64_t claimed_term_ = 0;
    std::string candidate_;
    std::vector<failover_action> actions_;
};

} // namespace oleandergrade
