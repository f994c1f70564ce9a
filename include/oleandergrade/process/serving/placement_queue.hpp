/// Decides which of the requests that wait for a session is served next, and
/// which cannot be served in time. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace oleandergrade
{

/// A request in the queue.
struct queued_request
{
    /// Number chosen by the owner of the queue; unique in it.
    std::uint64_t id = 0;
    std::string group;
    std::string account;
    std::uint32_t priority = 0;
    /// Only the group's primary may serve the request.
    bool needs_primary = false;
    /// Expected time for which the request uses a session; zero if unknown.
    duration service_time{0};
    /// Number chosen by the owner of the queue. If a request cannot be started
    /// now, neither can others of its account, priority and requirements.
    std::uint64_t requirements = 0;
    time_point arrived_at;
    /// After this time an answer is late but still useful.
    time_point objective;
    /// After this time an answer is useless.
    time_point deadline;

    bool operator==(const queued_request&) const = default;
};

/// What the queue knows of the targets that may serve a request.
struct capacity_estimate
{
    /// Number of statements that the queue's owner may run at the targets at
    /// the same time; 0 if unknown.
    std::uint32_t slots = 0;
    std::uint32_t busy_slots = 0;
    /// Average time that a target needs for one statement.
    duration service_time{0};
    /// Time until the targets may be used; not zero while the primary that the
    /// request needs is being replaced.
    duration available_in{0};

    bool operator==(const capacity_estimate&) const = default;
};

/// Returns the time by which a request must be answered to be admitted: the
/// middle of the time between its objective, or `now` if that has passed, and
/// its deadline. Late answers have some value, and the other half of the time
/// remains for requests that take longer than expected.
time_point latest_expected_answer(time_point objective, time_point deadline,
                                  time_point now);

/// The decision on a request that has arrived.
struct queue_admission
{
    bool admitted = false;
    duration expected_wait{0};
    /// When the caller should come back, if the request is not admitted.
    milliseconds retry_after{0};

    bool operator==(const queue_admission&) const = default;
};

/// The requests that wait for a session, of all groups.
///
/// Requests of a group are served in the order of their priority. Within a
/// priority, those that can still meet their latency objective come first, and
/// the accounts take turns (deficit round robin, in units of service time), so
/// that an account with many requests delays its own and not those of others.
/// A request that cannot be started now does not delay those behind it.
class placement_queue
{
public:
    /// Upper limit of the random factor by which Retry-After times are spread,
    /// so that callers refused at the same time do not return at the same time.
    static constexpr double max_retry_spread = 1.5;
    /// Lower limit of Retry-After times: a caller in another failure domain
    /// needs about as long to reach another VM.
    static constexpr milliseconds min_retry_after{5};
    /// Service time assumed for the turns of accounts while none is known.
    static constexpr milliseconds default_service_time{5};
    /// Service time that is added to the credit of each account in a round.
    static constexpr milliseconds quantum{5};
    /// Upper limit of an account's credit. An account that stays below its fair
    /// share on average may send some requests in short succession without
    /// waiting behind one that always has requests in the queue. In a
    /// simulation at 94% load, a busy account made the 99th percentile of the
    /// others' waits 1.65 times as long with a credit of 100 ms, and 0.92 times
    /// with 500 ms.
    static constexpr milliseconds max_credit{500};
    /// Time constant of the exponential averages of the accounts' loads.
    static constexpr milliseconds load_time_constant{1000};
    /// A request uses up at most this many turns of its account, however long
    /// it takes.
    static constexpr int max_turns_per_request = 16;

    /// Attempts to start a request. Returns whether the request was started.
    using start_function = std::function<bool(const queued_request&)>;

    /// `seed` determines the spread of Retry-After times.
    explicit placement_queue(std::uint64_t seed) : random_(seed) {}

    /// Decides whether a request that has arrived may wait. It may if it is
    /// expected to be served by the middle of the time between its objective
    /// and its deadline, or, while its primary is being replaced, by its
    /// deadline. Does not add the request.
    queue_admission admit(const queued_request& request,
                          const capacity_estimate& capacity, time_point now);
    /// Returns the expected wait of a request, whether it is in the queue or
    /// not, in view of the requests that are served before it.
    duration expected_wait(const queued_request& request,
                           const capacity_estimate& capacity,
                           time_point now) const;

    /// Returns when the caller of a request that is refused should come back:
    /// after the time until capacity is expected, multiplied by a random
    /// factor. Later callers are given later times.
    milliseconds retry_after(const queued_request& request,
                             const capacity_estimate& capacity, time_point now);
    /// Multiplies a Retry-After time by a random factor.
    milliseconds spread(duration delay);

    /// Adds a request. A request that arrived before others of its account
    /// and priority, such as one that is retried, is placed before them.
    void add(queued_request request);
    /// Removes a request that no longer waits, if it is in the queue.
    void remove(const std::string& group, std::uint64_t id);
    /// Offers the waiting requests of a group to `try_start` in the order in
    /// which they are to be served, and removes those that were started. Each
    /// request is offered at most once. `try_start` must not modify the queue.
    void start_ready(const std::string& group, time_point now,
                     const start_function& try_start);

    /// Observes a request that was started without having waited in the queue.
    /// Those that are started by start_ready() are observed there.
    void observe_start(const queued_request& request, time_point now);

    /// Whether requests of the group wait.
    bool has_waiting(const std::string& group) const;
    /// Whether requests of the group with a higher priority (a lower number)
    /// wait that a replica may serve, or the primary if `at_primary` is set.
    bool has_waiting_above(const std::string& group, std::uint32_t priority,
                           bool at_primary) const;
    /// Returns the groups of which requests wait.
    std::vector<std::string> groups() const;
    /// Returns the number of requests in the queue.
    std::size_t size() const { return size_; }

private:
    /// The waiting requests of one account with the same priority.
    struct account_queue
    {
        std::string account;
        /// Service time that the account may use before others. Negative if its
        /// last request took more than was left.
        duration credit{max_credit};
        /// Requirements of requests that could not be started in the current
        /// call of start_ready().
        std::vector<std::uint64_t> rejected;
        /// In the order of arrival.
        std::list<queued_request> requests;
    };
    /// The waiting requests of one group with the same priority. Accounts stay
    /// until their credit is complete, even if none of their requests waits;
    /// otherwise an account could regain its credit by always having just one
    /// request in the queue.
    struct priority_level
    {
        std::list<account_queue> accounts;
        std::size_t request_count = 0;
    };
    /// By priority.
    using group_queue = std::map<std::uint32_t, priority_level>;

    /// Identifies the load of one account at a group.
    struct load_key
    {
        std::uint32_t priority = 0;
        std::string account;
        bool needs_primary = false;

        auto operator<=>(const load_key&) const = default;
    };
    /// Exponential average of the number of slots that started requests use.
    struct observed_load
    {
        double slots = 0;
        time_point updated_at;

        double at(time_point now) const;
    };
    /// Another account or a higher priority, of which more requests may arrive
    /// before a request is served.
    struct competitor
    {
        /// Work in the queue that is served before the request.
        duration queued{0};
        /// Number of slots that its requests have used recently.
        double load_slots = 0;
        /// Upper limit of its work that is served before the request.
        duration limit = duration::max();
    };
    /// The work that is served before a request.
    struct work_ahead
    {
        /// Earlier requests of the request's account.
        duration own_queued{0};
        /// By priority and account.
        std::map<std::pair<std::uint32_t, std::string>, competitor> competitors;

        /// Returns how long `slots` slots need for the work.
        duration wait(std::uint32_t slots) const;
        /// Whether no request in the queue is served before.
        bool is_empty() const;
    };

    /// Returns the work that is served before the request, if service begins at
    /// `served_from`.
    work_ahead find_work_ahead(const queued_request& request,
                               bool request_is_late, time_point served_from,
                               time_point now) const;
    /// Adds the requests of a higher priority.
    static void add_queued_above(const priority_level& level,
                                 std::uint32_t priority,
                                 const queued_request& request,
                                 work_ahead& work);
    /// Adds the requests of the same priority.
    static void add_queued_beside(const priority_level& level,
                                  const queued_request& request,
                                  bool request_is_late, time_point served_from,
                                  work_ahead& work);
    /// Adds the recent loads of the competitors.
    void add_loads(const queued_request& request, bool request_is_late,
                   time_point now, work_ahead& work) const;
    /// Returns by how much the expected start of the request is too late for it
    /// to be admitted; not positive if it is admitted.
    static duration excess_wait(const queued_request& request,
                                const capacity_estimate& capacity,
                                duration expected_wait, time_point now);

    milliseconds retry_after_wait(const queued_request& request,
                                  const capacity_estimate& capacity,
                                  duration expected_wait, time_point now);

    /// Starts all requests of a level that can be started and that, depending
    /// on `late`, can no longer or can still meet their objective.
    void start_level(priority_level& level, bool late, time_point now,
                     const start_function& try_start);
    /// Removes accounts without requests and levels without requests.
    void remove_empty(const std::string& group);

    std::map<std::string, group_queue> groups_;
    std::size_t size_ = 0;
    /// By group.
    std::map<std::string, std::map<load_key, observed_load>> loads_;
    /// By group and priority, the time until which capacity has been promised
    /// to refused callers with their Retry-After times.
    std::map<std::pair<std::string, std::uint32_t>, time_point> promised_until_;
    std::minstd_rand random_;
};

} // namespace oleandergrade
