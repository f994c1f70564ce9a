/// Decides from how many replicas' logs it follows that one of them contains
/// every acknowledged commit. Pure logic.
#pragma once

#include <oleandergrade/process/serving/target_record.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// One process of a target that may have acknowledged commits as a replica.
struct counted_replica
{
    std::string id;
    /// Start of the process, in Unix milliseconds; 0 if it is not known. A
    /// process that starts again under the same identifier has lost its log.
    std::uint64_t started_at = 0;
    std::string address;
    /// The target has been seen to drain. Its log goes to the next target at
    /// its address.
    bool has_drained = false;

    auto operator<=>(const counted_replica&) const = default;
};

/// What a record of a synchronously replicated group says of its term.
struct quorum_state
{
    /// Lowest number of replicas that had to hold a commit of the term before
    /// it was acknowledged; 0 if commits are not acknowledged synchronously.
    std::uint32_t synchronous_replicas = 0;
    /// All that may have been among these replicas, sorted by identifier.
    std::vector<counted_replica> replicas;

    bool operator==(const quorum_state&) const = default;
};

/// Keeps the replicas that may have acknowledged commits of a group's term.
///
/// If k of n replicas hold each commit, one of any n - k + 1 of them has every
/// commit. A replica whose registration has ended counts, because it may have
/// been one of the k, until k others are known to hold what it may have
/// acknowledged.
class commit_quorum
{
public:
    /// Adds the registered targets of the group, apart from its primary, and
    /// the number of synchronous replicas that is in force. Removes drained
    /// replicas whose log another target has taken over.
    void observe(const std::vector<target_record>& registered,
                 const std::string& primary,
                 std::uint32_t synchronous_replicas);
    /// Replaces what is known by what a stored record says of its term.
    void adopt(const quorum_state& stored) { state_ = stored; }
    /// A new term begins, in which `primary` no longer is a replica and
    /// `former_primary` is one.
    void begin_term(const std::string& primary,
                    const counted_replica& former_primary);

    const quorum_state& state() const { return state_; }
    bool is_synchronous() const { return state_.synchronous_replicas != 0; }
    /// Returns the identifiers of the replicas whose logs are missing, or
    /// nothing if enough logs have been read. `has_read` returns whether a
    /// registered target has told how far its log reaches.
    std::vector<std::string>
    missing(const std::vector<target_record>& registered,
            const std::function<bool(const std::string&)>& has_read) const;
    /// Returns the replicas that are not registered any more.
    std::vector<counted_replica>
    departed(const std::vector<target_record>& registered) const;
    void remove(const counted_replica& replica);

private:
    quorum_state state_;
    /// The number of synchronous replicas that is in force.
    std::uint32_t number_in_force_ = 0;
};

} // namespace oleandergrade
