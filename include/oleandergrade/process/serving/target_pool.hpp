/// Pool of the sessions that this VM holds at the targets.
#pragma once

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/target_session.hpp>
#include <oleandergrade/process/serving/connection_share.hpp>
#include <oleandergrade/process/serving/placement_queue.hpp>
#include <oleandergrade/process/serving/service_time_estimator.hpp>
#include <oleandergrade/process/serving/target_chooser.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace oleandergrade
{

using target_session_ptr = std::shared_ptr<target_session>;

/// A session at a target that may serve a request, and under which conditions.
struct placement
{
    target_session_ptr session;
    bool is_primary = false;
    /// Revision of the primary's record under which the target is used; 0 for a
    /// replica.
    std::uint64_t record_revision = 0;
    /// Term of the primary's record; 0 for a replica.
    std::uint64_t term = 0;
    /// The position that a replica's log must have reached; not set for the
    /// primary.
    std::optional<log_position> minimum_position;
};

/// The times that determine how long a request may wait for a session.
struct placement_times
{
    time_point arrived_at;
    /// After this time an answer is late but still useful.
    time_point objective;
    /// After this time an answer is useless.
    time_point deadline;
    /// The request waits until this time while the primary that it needs is
    /// being replaced.
    time_point primary_deadline;

    bool operator==(const placement_times&) const = default;
};

/// No session can be obtained in time. Nothing was sent for the request.
struct placement_refusal
{
    /// The request needs a primary and none may be used at the moment. If
    /// false, all sessions were in use or could not be opened.
    bool lacks_primary = false;
    /// Time after which capacity is expected; zero if there is no estimate.
    milliseconds retry_after{0};
    /// All targets of the group are in failure domains that are being
    /// evacuated.
    bool is_evacuated = false;
};

using placement_outcome = std::variant<placement, placement_refusal>;

/// Counters since the start of the process.
struct pool_counts
{
    /// Sessions that were opened at targets.
    std::uint64_t opened = 0;
    std::uint64_t failed_to_open = 0;
    /// Idle sessions that were closed to make room for another one.
    std::uint64_t evicted = 0;
    /// Requests that had to wait for a session.
    std::uint64_t had_to_wait = 0;
    /// Requests whose wait ended without a session.
    std::uint64_t timed_out = 0;
    /// Requests that were refused at once because they could not be served in
    /// time.
    std::uint64_t refused = 0;
};

/// Pool of target sessions. Each target accepts few connections, and each
/// connection serves one client account. At a target, an idle session of the
/// request's account is preferred; otherwise a new session is opened, for which
/// an idle session is evicted if the VM's share of connections is used up.
/// Requests that find no session wait in a placement_queue, which determines
/// their order and refuses those that cannot be served in time.
///
/// All members must be called on the executor given to the constructor.
class target_pool
{
public:
    /// Fraction of the VM's connections at a target above which a session that
    /// becomes idle is surplus. The rest is reserved for bursts and for the
    /// time after a power failure, when targets still count lost connections
    /// for some seconds.
    static constexpr double retained_fraction = 0.5;
    /// Initial delay before another connection is opened to a target that
    /// rejected one because of its connection limit. The delay doubles with
    /// each further rejection.
    static constexpr milliseconds initial_full_delay{40};
    /// Upper limit of that delay.
    static constexpr milliseconds max_full_delay{320};
    /// Maximum time to open a session at a target.
    static constexpr milliseconds open_timeout{600};

    /// Slot limit of a VM that may use all slots of a group's targets.
    static constexpr std::uint32_t all_slots =
        std::numeric_limits<std::uint32_t>::max();

    /// The references must outlive the object.
    target_pool(boost::asio::any_io_executor executor,
                const session_codec& codec, serving_view& view);

    /// Replaces the shares of connections that this VM may hold at each target,
    /// by group.
    void set_connection_shares(std::map<std::string, connection_share> shares);
    /// Replaces the slot limits: the number of statements that this VM may run
    /// at the same time at each target of a group, at most the target's slots.
    /// To be set for groups whose target sessions this VM holds on behalf of
    /// the fleet. Groups that are not listed have no slot limit: if all VMs use
    /// the targets, a VM sees only its own part of their load.
    void set_slot_limits(std::map<std::string, std::uint32_t> limits);
    /// Closes sessions that have been idle for longer than their group's share
    /// allows.
    void close_expired_idle(time_point now);

    /// Returns a session for the request, or a refusal as soon as it is
    /// expected that the request cannot be served in time. A request waits at
    /// most until the middle of the time between its objective and its
    /// deadline, or until its primary deadline if the group has lacked a usable
    /// primary during the wait. The caller must release() the session.
    boost::asio::awaitable<placement_outcome> acquire(placement_request request,
                                                      placement_times times);

    /// Multiplies a Retry-After time by a random factor, so that callers
    /// refused at the same time do not return at the same time.
    milliseconds spread_retry(milliseconds delay)
    {
        return queue_.spread(delay);
    }

    /// Releases a session. It is kept for reuse if it is open, has no
    /// transaction and its target is still registered; otherwise it is closed.
    /// No exchange may be in progress.
    void release(const target_session_ptr& session);

    /// Closes all sessions in use at a target, which fails their exchanges.
    void abort_exchanges(const std::string& target);

    /// Serves the waiting requests of a group for which a session is available
    /// now. To be called after a change that may permit this.
    void serve_waiting(const std::string& group);
    /// Does the same for all groups.
    void serve_all_waiting();
    /// Closes the sessions with an open transaction, but without a statement
    /// under way, at targets whose failure domain has been evacuated.
    void end_transactions_at_evacuated_targets(time_point now);
    /// Closes the idle sessions at targets that are draining or no longer
    /// registered.
    void close_idle_at_unusable_targets();

    const pool_counts& counts() const { return counts_; }
    /// Returns the number of requests that wait for a session.
    std::size_t waiting_count() const { return queue_.size(); }
    /// Returns the number of sessions at all targets, idle, in use or being
    /// opened.
    std::size_t session_count() const;
    /// Returns the number of sessions at a target that are in use or being
    /// opened.
    std::uint32_t busy_count(const std::string& target) const;

private:
    /// A session in use, and the request that uses it.
    struct session_use
    {
        std::weak_ptr<target_session> session;
        std::uint32_t priority = 0;
        bool is_long_read = false;
        time_point started_at;
    };
    /// The sessions at one target.
    struct target_entry
    {
        /// Ordered by the time they became idle, oldest first.
        std::vector<target_session_ptr> idle_sessions;
        /// Number of sessions that are in use or being opened.
        std::uint32_t busy_sessions = 0;
        std::vector<session_use> sessions_in_use;
        /// No session is opened at the target before this time, because it
        /// rejected one for its connection limit.
        time_point full_until;
        /// Current delay after such a rejection.
        milliseconds full_delay{0};
    };
    /// A request that waits for a session.
    struct waiter
    {
        const placement_request* request = nullptr;
        /// Signalled when `result` has been set.
        std::unique_ptr<async_event> result_ready;
        std::optional<placement> result;
        /// The session in `result` must still be opened.
        bool must_open = false;
    };
    /// A session that was selected for a request.
    struct selection
    {
        placement target_placement;
        /// The session must still be opened.
        bool must_open = false;
    };

    /// Selects a session for the request and marks it as in use. Returns
    /// nothing if the request must wait.
    std::optional<selection> select_session(const placement_request& request,
                                            time_point now);
    /// Whether another statement may be started at the candidate in view of its
    /// slots.
    bool has_free_slot(const placement_candidate& candidate,
                       const target_entry& entry,
                       const placement_request& request) const;
    /// Returns the number of sessions in use at which no transaction waits for
    /// its caller.
    static std::uint32_t running_count(const target_entry& entry);
    /// Returns the slot limit of a group's targets; empty if there is none.
    std::optional<std::uint32_t> slot_limit(const std::string& group) const;
    /// Returns what is known of the targets that may serve the request.
    capacity_estimate estimate_capacity(const placement_request& request,
                                        time_point now);
    queued_request make_queued_request(const placement_request& request,
                                       const placement_times& times);
    /// Whether only the primary may serve the request now.
    bool needs_primary_now(const placement_request& request,
                           time_point now) const;
    /// Marks a session as in use.
    void record_use(target_entry& entry, const target_session_ptr& session,
                    const placement_request& request);
    /// Returns the cost of serving the request at a candidate; lower is better.
    /// It grows with the number of busy sessions per slot.
    double cost_of(const placement_candidate& candidate,
                   const placement_request& request);
    /// Removes an idle session of the request's account from the entry and
    /// returns it; null if there is none.
    target_session_ptr take_idle_session(target_entry& entry,
                                         const placement_request& request);
    /// Makes sure that one more session may be opened, by closing the session
    /// that has been idle for longest if necessary. Returns false if all
    /// sessions are in use.
    bool make_room_for_session(const placement_candidate& candidate,
                               target_entry& entry);
    /// Whether the request needs a primary and none may be used at `now`.
    bool lacks_primary(const placement_request& request, time_point now) const;
    /// Records that the target rejected a session because of its connection
    /// limit.
    static void record_full(target_entry& entry);
    /// Closes the session that has been idle for longest if more sessions are
    /// open than the pool retains.
    void close_surplus_idle(target_entry& entry, const std::string& group);
    /// Returns the maximum number of sessions at each target of a group.
    std::uint32_t max_sessions_per_target(const std::string& group) const;
    /// Opens the selected session. On failure it releases the session and
    /// returns false.
    boost::asio::awaitable<bool> open_session(placement& target_placement);
    /// Selects a session for the request, waiting if necessary.
    boost::asio::awaitable<std::variant<selection, placement_refusal>>
    wait_for_selection(const placement_request& request,
                       const placement_times& times);

    boost::asio::any_io_executor executor_;
    const session_codec& codec_;
    serving_view& view_;
    std::map<std::string, connection_share> connection_shares_;
    std::map<std::string, target_entry> targets_;
    /// By group.
    std::map<std::string, std::uint32_t> slot_limits_;
    service_time_estimator service_times_;
    placement_queue queue_;
    /// The requests in the queue, by the number that they have there.
    std::map<std::uint64_t, waiter*> waiters_;
    std::uint64_t last_request_number_ = 0;
    /// When the waiting requests of a group were last offered, by group.
    std::map<std::string, time_point> served_at_;
    /// Groups in which requests wait that have lacked a usable primary. The
    /// primary is given no more statements than it has slots.
    std::set<std::string> recovering_groups_;
    pool_counts counts_;
};

} // namespace oleandergrade
