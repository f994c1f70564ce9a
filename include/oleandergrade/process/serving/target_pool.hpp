/// The sessions of this VM at all targets.
#pragma once

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/target_session.hpp>
#include <oleandergrade/process/serving/connection_share.hpp>
#include <oleandergrade/process/serving/target_chooser.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oleandergrade
{

using target_session_ptr = std::shared_ptr<target_session>;

/// A session at a target that may serve the request.
struct placement
{
    target_session_ptr session;
    bool is_primary = false;
    std::uint64_t record_revision = 0;
    std::uint64_t term = 0;
    std::optional<log_position> minimum;
};

/// Nothing was sent for the request.
struct placement_refusal
{
    /// No primary may be used at the moment; otherwise all sessions are taken.
    bool lacks_primary = false;
};

using placement_outcome = std::variant<placement, placement_refusal>;

/// Counters since the process started.
struct pool_counts
{
    std::uint64_t opened = 0;
    std::uint64_t failed_to_open = 0;
    std::uint64_t evicted = 0;
    std::uint64_t waited = 0;
    std::uint64_t gave_up = 0;
};

/// Each target takes few connections, and each one serves one client account.
/// A free session of the account is preferred, then a new one, then one whose
/// place is taken from another account. Requests that find no place wait in
/// the order of their priority.
///
/// All members run on the executor given to the constructor.
class target_pool
{
public:
    /// Part of a target's connections that is kept while idle. The rest is for
    /// bursts, and for the time after a loss of power: targets count lost
    /// connections for some seconds.
    static constexpr double idle_part = 0.5;
    /// Between attempts at a target that takes no further connections.
    static constexpr milliseconds first_full_pause{40};
    static constexpr milliseconds longest_full_pause{320};
    /// Longest time to connect to a target.
    static constexpr milliseconds open_timeout{600};

    target_pool(boost::asio::any_io_executor executor,
                const session_codec& codec, serving_view& view);

    /// Connections per target and group that this VM may hold.
    void use_shares(std::map<std::string, connection_share> connections);
    /// Closes sessions that were idle for too long where connections are few.
    void drop_idle(time_point now);

    /// Waits until there is a place, at most until `wait_until`. `wait_primary`
    /// bounds the wait while there is no primary.
    boost::asio::awaitable<placement_outcome> acquire(placement_request request,
                                                      time_point wait_until,
                                                      time_point wait_primary);

    /// Gives a session back. It is closed unless it is idle and whole.
    void release(const target_session_ptr& session);

    /// Ends the exchanges that are under way at a target.
    void abort(const std::string& target);

    /// Something changed that may let requests of a group proceed.
    void retry(const std::string& group);
    void retry_all();
    /// Closes sessions at targets that are gone, leave or are restarted.
    void drop_stale();

    const pool_counts& counts() const { return counts_; }
    std::size_t waiting() const { return waiters_.size(); }
    std::size_t sessions() const;
    /// Sessions in use at a target.
    std::uint32_t busy_at(const std::string& target) const;

private:
    struct target_entry
    {
        std::vector<target_session_ptr> idle;
        /// Sessions in use, and those that are being opened.
        std::uint32_t busy = 0;
        std::vector<std::weak_ptr<target_session>> in_use;
        /// The target takes no further connections until then.
        time_point full_until;
        milliseconds full_pause{0};
    };
    struct waiter
    {
        const placement_request* request = nullptr;
        std::unique_ptr<async_event> placed;
        std::optional<placement> result;
        /// The session must be opened first.
        bool must_open = false;
    };
    struct choice
    {
        placement place;
        bool must_open = false;
    };

    std::optional<choice> place(const placement_request& request,
                                time_point now);
    double score(const placement_candidate& candidate,
                 const placement_request& request);
    target_session_ptr take_idle(target_entry& entry,
                                 const placement_request& request);
    bool make_room(const placement_candidate& candidate, target_entry& entry);
    /// The request needs a primary, and there is none to use.
    bool lacks_primary(const placement_request& request, time_point now) const;
    static void note_full(target_entry& entry);
    void close_surplus(target_entry& entry, const std::string& group);
    std::uint32_t limit_of(const std::string& group) const;
    boost::asio::awaitable<bool> open(placement& place);
    boost::asio::awaitable<std::optional<choice>>
    wait_for_place(const placement_request& request, time_point wait_until,
                   time_point wait_primary);

    boost::asio::any_io_executor executor_;
    const session_codec& codec_;
    serving_view& view_;
    std::map<std::string, connection_share> shares_;
    std::map<std::string, target_entry> targets_;
    /// Ordered by priority, then by arrival.
    std::list<waiter*> waiters_;
    pool_counts counts_;
};

} // namespace oleandergrade
