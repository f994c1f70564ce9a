#include <oleandergrade/process/serving/target_pool.hpp>

#include <oleandergrade/connection/endpoint.hpp>
#include <oleandergrade/invariant.hpp>
#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/serving/placement_deadline.hpp>
#include <oleandergrade/process/serving/slot_policy.hpp>

#include <boost/functional/hash.hpp>

#include <algorithm>
#include <random>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// Cost of opening a new session: about a third of the time that a target needs
/// for a statement.
constexpr double opening_cost = 0.35;
/// Cost added to the primary for reads that a replica may serve. It leaves the
/// primary's slots to writes, unless the replicas are busier by more than this
/// fraction of their slots.
constexpr double spare_primary_cost = 0.6;

/// Returns a hash of what determines the targets at which the request can be
/// started, except for its account and priority.
std::uint64_t requirements_of(const placement_request& request)
{
    std::size_t hash = 0;
    boost::hash_combine(hash, request.needs_primary);
    boost::hash_combine(hash, static_cast<int>(request.consistency));
    boost::hash_combine(hash, request.max_age.count());
    for (const auto& target : request.excluded_targets)
        boost::hash_combine(hash, target);
    return hash;
}

} // namespace

target_pool::target_pool(asio::any_io_executor executor,
                         const session_codec& codec, serving_view& view)
    : executor_(std::move(executor)), codec_(codec), view_(view),
      queue_(std::random_device()())
{
}

void target_pool::set_connection_shares(
    std::map<std::string, connection_share> shares)
{
    connection_shares_ = std::move(shares);
    serve_all_waiting();
}

void target_pool::set_slot_limits(std::map<std::string, std::uint32_t> limits)
{
    slot_limits_ = std::move(limits);
    serve_all_waiting();
}

std::optional<std::uint32_t>
target_pool::slot_limit(const std::string& group) const
{
    const auto found = slot_limits_.find(group);
    if (found == slot_limits_.end())
        return std::nullopt;
    return std::max(found->second, 1U);
}

std::uint32_t
target_pool::max_sessions_per_target(const std::string& group) const
{
    const auto found = connection_shares_.find(group);
    return found == connection_shares_.end() ? 1
                                             : found->second.max_connections;
}

std::size_t target_pool::session_count() const
{
    std::size_t total = 0;
    for (const auto& [id, entry] : targets_)
        total += entry.idle_sessions.size() + entry.busy_sessions;
    return total;
}

std::uint32_t target_pool::busy_count(const std::string& target) const
{
    const auto found = targets_.find(target);
    return found == targets_.end() ? 0 : found->second.busy_sessions;
}

double target_pool::cost_of(const placement_candidate& candidate,
                            const placement_request& request)
{
    const auto& entry = targets_[candidate.target->id];
    const bool has_idle =
        std::any_of(entry.idle_sessions.begin(), entry.idle_sessions.end(),
                    [&](const target_session_ptr& session)
                    { return session->key().account == request.account; });
    const bool is_spare_primary =
        candidate.is_primary && !request.needs_primary &&
        request.consistency != read_consistency::current;
    const auto slots = std::max(candidate.target->slots, 1U);
    return static_cast<double>(entry.busy_sessions) / slots +
           (has_idle ? 0 : opening_cost) +
           (is_spare_primary ? spare_primary_cost : 0);
}

target_session_ptr
target_pool::take_idle_session(target_entry& entry,
                               const placement_request& request)
{
    // The list is ordered from oldest to newest. The first session that holds
    // exactly the request's values is preferred, otherwise the newest one is
    // used: sessions that are not needed then stay idle and are closed.
    auto best = entry.idle_sessions.end();
    for (auto it = entry.idle_sessions.begin(); it != entry.idle_sessions.end();
         ++it)
    {
        if ((*it)->key().account != request.account)
            continue;
        best = it;
        if ((*it)->session_values == request.session_values)
            break;
    }
    if (best == entry.idle_sessions.end())
        return nullptr;
    auto session = *best;
    entry.idle_sessions.erase(best);
    return session;
}

bool target_pool::make_room_for_session(const placement_candidate& candidate,
                                        target_entry& entry)
{
    if (entry.busy_sessions + entry.idle_sessions.size() <
        max_sessions_per_target(candidate.target->group))
        return true;
    if (entry.idle_sessions.empty())
        return false;
    const auto oldest = std::min_element(
        entry.idle_sessions.begin(), entry.idle_sessions.end(),
        [](const target_session_ptr& a, const target_session_ptr& b)
        { return a->idle_since < b->idle_since; });
    (*oldest)->close();
    entry.idle_sessions.erase(oldest);
    ++counts_.evicted;
    return true;
}

std::uint32_t target_pool::running_count(const target_entry& entry)
{
    // A transaction that waits for its caller's next statement occupies no
    // slot of the target.
    return static_cast<std::uint32_t>(std::count_if(
        entry.sessions_in_use.begin(), entry.sessions_in_use.end(),
        [](const session_use& use)
        {
            const auto session = use.session.lock();
            return session != nullptr &&
                   (session->is_exchanging() ||
                    session->transaction() != transaction_state::open);
        }));
}

bool target_pool::has_free_slot(const placement_candidate& candidate,
                                const target_entry& entry,
                                const placement_request& request) const
{
    const auto limit = slot_limit(request.group);
    const auto target_slots = std::max(candidate.target->slots, 1U);
    slot_usage usage;
    usage.slots = std::min(limit.value_or(target_slots), target_slots);
    usage.is_primary = candidate.is_primary;
    if (!limit)
        return !candidate.is_primary ||
               !recovering_groups_.contains(request.group) ||
               running_count(entry) < usage.slots;
    usage.running = running_count(entry);
    usage.running_long = static_cast<std::uint32_t>(std::count_if(
        entry.sessions_in_use.begin(), entry.sessions_in_use.end(),
        [](const session_use& use) { return use.is_long_read; }));
    return may_occupy_slot(
        usage,
        !request.needs_primary &&
            service_times_.is_long(request.group, request.priority),
        queue_.has_waiting_above(request.group, request.priority,
                                 candidate.is_primary));
}

void target_pool::record_use(target_entry& entry,
                             const target_session_ptr& session,
                             const placement_request& request)
{
    ++entry.busy_sessions;
    entry.sessions_in_use.push_back(
        {session, request.priority,
         !request.needs_primary &&
             service_times_.is_long(request.group, request.priority),
         current_time()});
}

std::optional<target_pool::selection>
target_pool::select_session(const placement_request& request, time_point now)
{
    auto candidates = choose_candidates(view_, request, now);
    std::vector<std::pair<double, const placement_candidate*>> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates)
        ranked.emplace_back(cost_of(candidate, request), &candidate);
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b)
                     { return a.first < b.first; });
    for (const auto& [cost, candidate] : ranked)
    {
        auto& entry = targets_[candidate->target->id];
        if (!has_free_slot(*candidate, entry, request))
            continue;
        selection chosen;
        chosen.target_placement = {nullptr, candidate->is_primary,
                                   candidate->record_revision, candidate->term,
                                   candidate->minimum_position};
        while (auto session = take_idle_session(entry, request))
        {
            if (!session->is_connection_usable())
            {
                session->close();
                continue;
            }
            record_use(entry, session, request);
            chosen.target_placement.session = std::move(session);
            return chosen;
        }
        if (now < entry.full_until || !make_room_for_session(*candidate, entry))
            continue;
        chosen.must_open = true;
        chosen.target_placement.session = std::make_shared<target_session>(
            executor_, codec_,
            target_session_key{candidate->target->id, request.group,
                               request.account});
        record_use(entry, chosen.target_placement.session, request);
        return chosen;
    }
    return std::nullopt;
}

asio::awaitable<placement_outcome>
target_pool::acquire(placement_request request, placement_times times)
{
    times.objective = std::min(times.objective, times.deadline);
    for (;;)
    {
        auto outcome = co_await wait_for_selection(request, times);
        if (const auto* refusal = std::get_if<placement_refusal>(&outcome))
            co_return *refusal;
        auto& chosen = std::get<selection>(outcome);
        bool is_open = !chosen.must_open;
        if (!is_open)
            is_open = co_await open_session(chosen.target_placement);
        if (is_open)
            co_return std::move(chosen.target_placement);
        if (current_time() >= std::max(times.deadline, times.primary_deadline))
            co_return placement_refusal{};
    }
}

bool target_pool::lacks_primary(const placement_request& request,
                                time_point now) const
{
    return (request.needs_primary ||
            request.consistency == read_consistency::current) &&
           view_.wait_estimator.expected_wait(request.group, now).count() > 0;
}

bool target_pool::needs_primary_now(const placement_request& request,
                                    time_point now) const
{
    if (request.needs_primary ||
        request.consistency == read_consistency::current)
        return true;
    const auto candidates = choose_candidates(view_, request, now);
    return std::all_of(candidates.begin(), candidates.end(),
                       [](const placement_candidate& candidate)
                       { return candidate.is_primary; });
}

queued_request
target_pool::make_queued_request(const placement_request& request,
                                 const placement_times& times)
{
    queued_request queued;
    queued.id = ++last_request_number_;
    queued.group = request.group;
    queued.account = request.account;
    queued.priority = request.priority;
    queued.needs_primary = request.needs_primary ||
                           request.consistency == read_consistency::current;
    queued.requirements = requirements_of(request);
    queued.service_time =
        service_times_.estimate(request.group, request.priority);
    queued.arrived_at = times.arrived_at;
    queued.objective = times.objective;
    queued.deadline = times.deadline;
    return queued;
}

capacity_estimate
target_pool::estimate_capacity(const placement_request& request, time_point now)
{
    capacity_estimate capacity;
    capacity.service_time = service_times_.group_average(request.group);
    const auto max_sessions = max_sessions_per_target(request.group);
    const auto limit = slot_limit(request.group);
    const auto usable_slots = [&](const target_record& target)
    {
        if (!limit)
            return max_sessions;
        return std::min({max_sessions, *limit, std::max(target.slots, 1U)});
    };
    for (const auto& candidate : choose_candidates(view_, request, now))
    {
        auto& entry = targets_[candidate.target->id];
        auto slots = usable_slots(*candidate.target);
        // The target accepts no further connection at the moment.
        if (now < entry.full_until)
            slots = std::min(slots, entry.busy_sessions +
                                        static_cast<std::uint32_t>(
                                            entry.idle_sessions.size()));
        capacity.slots += slots;
        capacity.busy_slots +=
            std::min(limit ? running_count(entry) : entry.busy_sessions, slots);
    }
    if (!lacks_primary(request, now))
        return capacity;
    capacity.available_in =
        view_.wait_estimator.expected_wait(request.group, now);
    // The new primary is one of the group's targets and not known yet.
    capacity.busy_slots = 0;
    capacity.slots = 0;
    for (const auto* target : view_.registry.in_group(request.group))
        capacity.slots =
            std::max(capacity.slots, std::min(usable_slots(*target),
                                              std::max(target->slots, 1U)));
    return capacity;
}

asio::awaitable<std::variant<target_pool::selection, placement_refusal>>
target_pool::wait_for_selection(const placement_request& request,
                                const placement_times& times)
{
    const auto arrived_at = current_time();
    auto queued = make_queued_request(request, times);
    if (!queue_.has_waiting(request.group))
        if (auto chosen = select_session(request, arrived_at))
        {
            queue_.observe_start(queued, arrived_at);
            co_return std::move(*chosen);
        }
    ++counts_.had_to_wait;
    waiter self;
    self.request = &request;
    self.result_ready = std::make_unique<async_event>(executor_);
    const auto stop_waiting = [&]
    {
        queue_.remove(request.group, queued.id);
        waiters_.erase(queued.id);
    };
    const auto take_result = [&] {
        return selection{std::move(*self.result), self.must_open};
    };
    queued.needs_primary = needs_primary_now(request, arrived_at);
    queue_.add(queued);
    waiters_.emplace(queued.id, &self);
    // It may be possible to start the request now, as those that wait may need
    // other targets.
    serve_waiting(request.group);
    if (self.result)
        co_return take_result();
    placement_deadline request_deadline(
        latest_expected_answer(times.objective, times.deadline, arrived_at),
        times.primary_deadline);
    bool is_admitted = false;
    bool has_lacked_primary = false;
    bool has_capacity = true;
    // Requests of higher priority may arrive at any time. Assessing a request
    // takes time in proportion to the length of the queue, hence it is repeated
    // at longer intervals than the selection.
    constexpr auto assessment_interval = milliseconds(250);
    auto next_assessment_at = arrived_at;
    for (;;)
    {
        const auto now = current_time();
        // No wait helps before an operator revokes the evacuation.
        if (is_evacuated(view_, request.group))
        {
            stop_waiting();
            co_return placement_refusal{false, {}, true};
        }
        const bool lacks = lacks_primary(request, now);
        has_lacked_primary = has_lacked_primary || lacks;
        if (lacks)
            recovering_groups_.insert(request.group);
        const auto current_deadline = request_deadline.update(lacks);
        // Without a target that may serve it, the request is not known to be
        // served later either.
        const bool waits_in_vain =
            !has_capacity && !has_lacked_primary && now >= times.objective;
        if (now >= current_deadline || waits_in_vain)
        {
            ++counts_.timed_out;
            stop_waiting();
            co_return placement_refusal{
                lacks, queue_.retry_after(
                           queued, estimate_capacity(request, now), now)};
        }
        if (now >= next_assessment_at)
        {
            next_assessment_at = now + assessment_interval;
            const auto capacity = estimate_capacity(request, now);
            has_capacity = capacity.slots != 0;
            queued.deadline =
                has_lacked_primary ? times.primary_deadline : times.deadline;
            // A request that was admitted is refused only once its deadline
            // cannot be met.
            const bool must_decide =
                !is_admitted ||
                now + queue_.expected_wait(queued, capacity, now) >
                    queued.deadline;
            if (must_decide)
            {
                const auto decision = queue_.admit(queued, capacity, now);
                is_admitted = decision.admitted;
                if (!is_admitted)
                {
                    ++counts_.refused;
                    stop_waiting();
                    co_return placement_refusal{lacks, decision.retry_after};
                }
            }
        }
        // A target that was avoided becomes usable again merely because time
        // has passed, without any event. Hence the wait is interrupted at
        // intervals to select again.
        constexpr auto max_poll_interval = milliseconds(50);
        const auto poll_interval =
            std::min<duration>(current_deadline - now, max_poll_interval);
        const bool has_result = co_await self.result_ready->wait_until(
            clock::now() + poll_interval);
        if (!has_result &&
            current_time() - served_at_[request.group] >= max_poll_interval / 2)
            serve_waiting(request.group);
        if (self.result)
            co_return take_result();
    }
}

asio::awaitable<bool> target_pool::open_session(placement& target_placement)
{
    const auto session = target_placement.session;
    const auto& id = session->key().target;
    const auto* target = view_.registry.find(id);
    result<bool> outcome =
        error{error_kind::unreachable, "connect", id, "not registered"};
    if (target != nullptr)
    {
        const auto endpoint = parse_endpoint(target->address);
        if (succeeded(endpoint))
            outcome = co_await session->open(value_of(endpoint), open_timeout);
        else
            outcome = error_of(endpoint);
    }
    if (succeeded(outcome))
    {
        ++counts_.opened;
        targets_[id].full_delay = milliseconds(0);
        view_.record_target_result(id, true, current_time());
        co_return true;
    }
    ++counts_.failed_to_open;
    const auto& failure = error_of(outcome);
    log_event(event_level::warning, "pool", "open failed",
              {{"target", id},
               {"account", session->key().account},
               {"error", to_string(failure)}});
    const bool is_full =
        failure.kind == error_kind::refused &&
        failure.message == to_string(session_error::connection_limit);
    if (is_full)
        record_full(targets_[id]);
    else
        view_.record_target_result(id, false, current_time());
    release(session);
    co_return false;
}

void target_pool::record_full(target_entry& entry)
{
    entry.full_delay = std::clamp<milliseconds>(
        entry.full_delay * 2, initial_full_delay, max_full_delay);
    entry.full_until = current_time() + entry.full_delay;
}

// At least one idle session is always retained.
void target_pool::close_surplus_idle(target_entry& entry,
                                     const std::string& group)
{
    const auto share = connection_shares_.find(group);
    const auto max_retained =
        share != connection_shares_.end() && share->second.max_retained
            ? std::size_t(*share->second.max_retained)
            : std::max(static_cast<std::size_t>(max_sessions_per_target(group) *
                                                retained_fraction),
                       std::size_t(1));
    if (entry.idle_sessions.size() <= 1 ||
        entry.idle_sessions.size() + entry.busy_sessions <= max_retained)
        return;
    entry.idle_sessions.front()->close();
    entry.idle_sessions.erase(entry.idle_sessions.begin());
}

void target_pool::release(const target_session_ptr& session)
{
    check_invariant(!session->is_exchanging(),
                    "a session is released after its exchange",
                    session->key().target);
    auto& entry = targets_[session->key().target];
    --entry.busy_sessions;
    std::erase_if(
        entry.sessions_in_use,
        [&](const session_use& use)
        {
            const auto other_session = use.session.lock();
            if (other_session == session && session->is_open())
                service_times_.observe(session->key().group, use.priority,
                                       current_time() - use.started_at);
            return other_session == nullptr || other_session == session;
        });
    const auto* target = view_.registry.find(session->key().target);
    const bool is_reusable =
        session->is_open() && !session->is_exchanging() &&
        session->transaction() == transaction_state::none &&
        target != nullptr &&
        !view_.evacuations.contains(target->failure_domain);
    if (is_reusable)
    {
        session->idle_since = current_time();
        session->forget_large_state();
        entry.idle_sessions.push_back(session);
        close_surplus_idle(entry, session->key().group);
    }
    else
    {
        session->close();
    }
    serve_waiting(session->key().group);
}

void target_pool::serve_waiting(const std::string& group)
{
    const auto now = current_time();
    served_at_[group] = now;
    queue_.start_ready(group, now,
                       [&](const queued_request& queued)
                       {
                           auto& waiting = *waiters_.at(queued.id);
                           auto chosen = select_session(*waiting.request, now);
                           if (!chosen)
                               return false;
                           waiting.result = std::move(chosen->target_placement);
                           waiting.must_open = chosen->must_open;
                           waiters_.erase(queued.id);
                           waiting.result_ready->signal();
                           return true;
                       });
    if (queue_.has_waiting(group))
        return;
    recovering_groups_.erase(group);
    served_at_.erase(group);
}

void target_pool::close_expired_idle(time_point now)
{
    for (auto& [id, entry] : targets_)
        std::erase_if(entry.idle_sessions,
                      [&](const target_session_ptr& session)
                      {
                          const auto share =
                              connection_shares_.find(session->key().group);
                          if (share == connection_shares_.end() ||
                              !share->second.idle_timeout ||
                              now - session->idle_since <
                                  *share->second.idle_timeout)
                              return false;
                          session->close();
                          return true;
                      });
}

void target_pool::serve_all_waiting()
{
    for (const auto& group : queue_.groups())
        serve_waiting(group);
}

void target_pool::abort_exchanges(const std::string& target)
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    // Closing makes the exchange fail; the session is released later by whoever
    // runs the exchange.
    for (const auto& use : found->second.sessions_in_use)
        if (const auto session = use.session.lock())
            session->close();
}

void target_pool::end_transactions_at_evacuated_targets(time_point now)
{
    for (auto& [id, entry] : targets_)
    {
        if (!must_be_left(view_, id, now))
            continue;
        // The target rolls back the transaction of a session that is closed.
        for (const auto& use : entry.sessions_in_use)
            if (const auto session = use.session.lock();
                session != nullptr && !session->is_exchanging() &&
                session->transaction() != transaction_state::none)
                session->close();
    }
}

void target_pool::close_idle_at_unusable_targets()
{
    for (auto& [id, entry] : targets_)
    {
        const auto* target = view_.registry.find(id);
        if (target != nullptr && !target->is_draining &&
            !view_.evacuations.contains(target->failure_domain))
            continue;
        for (const auto& session : entry.idle_sessions)
            session->close();
        entry.idle_sessions.clear();
    }
    std::erase_if(targets_,
                  [&](const auto& entry)
                  {
                      return entry.second.busy_sessions == 0 &&
                             view_.registry.find(entry.first) == nullptr;
                  });
}

} // namespace oleandergrade
