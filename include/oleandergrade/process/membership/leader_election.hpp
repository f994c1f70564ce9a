/// Elects the VM that is the leader of the fleet. Pure logic without I/O.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/process/metadata_store.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// Identity of the leader, as stored under the leader key.
struct leader_identity
{
    std::string vm;
    /// Incarnation of the VM's process.
    std::uint64_t incarnation = 0;
    /// Address at which the leader accepts calls of other VMs.
    std::string address;
    /// Highest fencing token that the leader knew when it was elected; its own
    /// is higher.
    std::uint64_t predecessor_token = 0;

    bool operator==(const leader_identity&) const = default;
};

/// Returns the JSON text that is stored under the leader key.
std::string serialize_leader_identity(const leader_identity& leader);
/// Parses the value of the leader key. Fails with step "parse leader
/// identity" if it is not a JSON object or lacks the VM's name or its address.
result<leader_identity> parse_leader_identity(const std::string& value);

/// The store call that the election requires next.
enum class election_call : std::uint8_t
{
    /// No call is due.
    none,
    create_lease,
    /// Create the leader key under the lease, unless the key exists.
    acquire,
    /// Renew the lease.
    renew,
    /// Read the leader key, because the outcome of an acquisition is unknown.
    read
};

/// State machine of one VM's part in the leader election.
///
/// The leader key is bound to the lease of the leader, so it disappears when
/// the lease ends, and it is created only if it does not exist. The number of
/// the revision at which the key was created is the fencing token, or, if the
/// store was restored since, a higher one than the candidate knew; it increases
/// with every change of leader.
///
/// The owner of this object obtains the next store call from `begin_due_call`,
/// executes it and passes its outcome to the member function that belongs to
/// this call. At most one call is in flight at a time.
class leader_election
{
public:
    /// Lifetime of the lease. This is the shortest that the users' store
    /// grants: the sooner a lost leader is replaced, the shorter grants can be.
    static constexpr milliseconds lease_lifetime{1000};
    /// Time between renewals of the lease. Renewals still succeed in time when
    /// the store is slow and each of them takes 250 ms.
    static constexpr milliseconds renewal_interval{250};
    /// The leader stops relying on its lease this long before the lease ends,
    /// so that an order that it has just sent arrives before the end.
    static constexpr milliseconds lease_margin{200};
    /// Each rank waits this much longer before it competes for the leader key,
    /// so that the VMs do not all try at the same moment.
    static constexpr milliseconds rank_delay{30};
    /// Delay before a failed call is repeated; renewals keep their interval.
    static constexpr milliseconds retry_delay{200};

    explicit leader_election(leader_identity self);

    /// Sets the position of this VM among the candidates; rank 0 competes
    /// first.
    void set_rank(std::size_t rank) { rank_ = rank; }
    /// Sets the highest fencing token that this VM knows. The next leadership
    /// of this VM gets a higher one.
    void set_highest_token(std::uint64_t token) { highest_token_ = token; }
    /// Stops this VM from becoming the leader again, because its process is
    /// about to stop. Does not end a leadership that it already has.
    void retire() { retiring_ = true; }

    /// Processes the leader key as observed at the store revision
    /// `store_revision`. An item of revision 0 means that the key does not
    /// exist, so the fleet has no leader. Observations older than an earlier
    /// one are discarded.
    void on_key_observed(const stored_item& item, std::uint64_t store_revision,
                         time_point now);

    /// Records that all changes of the fleet's own keys up to this revision of
    /// the store have been applied at this VM.
    void on_changes_applied(std::uint64_t store_revision);

    /// Processes a fencing token received from another VM. A token higher than
    /// this leader's own ends its leadership. The store itself may stay
    /// unreachable from this VM for long and cannot be relied on for that.
    void on_token_observed(std::uint64_t observed_token);

    /// Returns the store call to execute now and marks it as in flight, or
    /// `none` if no call is due.
    election_call begin_due_call(time_point now);
    /// Processes the outcome of `create_lease`. The lease is taken to run from
    /// `sent_at`, when the call was sent.
    void on_lease_created(const result<store_lease>& outcome,
                          time_point sent_at, time_point now);
    /// Processes the outcome of `acquire`: the revision of the new leader key.
    void on_acquired(const result<std::uint64_t>& outcome, time_point now);
    /// Processes the outcome of `renew`. A conflict means that the lease has
    /// ended; after any other error the renewal is attempted again.
    void on_renewed(const result<bool>& outcome, time_point sent_at,
                    time_point now);
    /// Processes the outcome of `read`.
    void on_read(const result<stored_item>& outcome, time_point now);

    /// The earliest time of the next call. The call may be due later still,
    /// when the election waits for the leader key to change.
    time_point next_call_at() const { return next_call_at_; }
    const leader_identity& self() const { return self_; }
    /// Whether this VM is the leader and its lease is certain to be valid.
    bool has_valid_lease(time_point now) const;
    /// Whether this VM has become the leader and has not observed the loss of
    /// its leadership. Its lease may have ended without its knowledge.
    bool is_leader() const { return token_ != 0; }
    /// Whether this VM is the leader and has applied all changes of the fleet's
    /// own keys up to its election. Until then it may lack members that hold
    /// grants, or primary records, of its predecessors.
    bool has_complete_view() const
    {
        return is_leader() && applied_revision_ >= key_revision_;
    }
    /// Whether this VM may act as the leader: its lease is certain to be valid
    /// and its view is complete.
    bool may_act(time_point now) const
    {
        return has_valid_lease(now) && has_complete_view();
    }
    /// When the call was sent that last created or renewed the lease.
    time_point lease_confirmed_at() const { return lease_confirmed_at_; }
    /// The fencing token; 0 if this VM is not the leader.
    std::uint64_t token() const { return token_; }
    /// The store's revision of the leader key, for conditions; 0 if this VM is
    /// not the leader.
    std::uint64_t key_revision() const { return key_revision_; }
    /// Identifier of the lease in the store; 0 if there is none.
    std::uint64_t lease_id() const { return lease_.id; }
    /// The last observed leader; its fields are empty if there is none.
    const leader_identity& known_leader() const { return known_leader_; }
    /// The fencing token of the known leader; 0 if no leader is known.
    std::uint64_t known_leader_token() const { return known_leader_token_; }

private:
    /// Ends this VM's leadership and discards its lease.
    void lose_leadership();
    /// Allows the next call some time after a failed attempt to become the
    /// leader.
    void delay_after_failure(const error& failure, time_point now);
    /// Allows the next call after `delay`.
    void delay_next_call(milliseconds delay, time_point now);

    leader_identity self_;
    std::size_t rank_ = 0;
    bool retiring_ = false;
    bool call_in_flight_ = false;
    /// The outcome of an acquisition is unknown and must be read.
    bool acquisition_unverified_ = false;
    store_lease lease_;
    time_point lease_sent_at_;
    time_point lease_confirmed_at_;
    time_point next_call_at_;
    std::uint64_t token_ = 0;
    std::uint64_t key_revision_ = 0;
    std::uint64_t highest_token_ = 0;
    leader_identity known_leader_;
    std::uint64_t known_leader_token_ = 0;
    /// The store revision at which the leader key was last observed; 0 if it
    /// has not been observed yet.
    std::uint64_t key_observed_at_revision_ = 0;
    /// The store revision up to which all changes have been applied.
    std::uint64_t applied_revision_ = 0;
};

} // namespace oleandergrade
