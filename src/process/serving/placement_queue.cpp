#include <oleandergrade/process/serving/placement_queue.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleandergrade
{

namespace
{

/// Loads below this are forgotten.
constexpr double min_load_slots = 0.001;
/// Longer waits are not distinguished, as all deadlines end before.
constexpr auto max_expected_wait = seconds(600);

bool is_late(const queued_request& request, time_point now)
{
    return now + request.service_time > request.objective;
}

/// Returns the time by which the request must have been started.
time_point latest_start(const queued_request& request, time_point answer_due,
                        time_point now)
{
    // An average service time is not a reason to refuse a request that need
    // not wait. Hence at most half of the remaining time is set aside for it.
    const auto remaining = std::max(answer_due - now, duration(0));
    return answer_due - std::min(request.service_time, remaining / 2);
}

/// Whether the request waits for the same slots as another one. Reads that
/// replicas may serve do not wait for the primary.
bool competes_with(const queued_request& request, bool other_needs_primary)
{
    return !request.needs_primary || other_needs_primary;
}

/// Returns the service time that a request uses up of its account's turns.
duration turn_cost(const queued_request& request)
{
    const duration service_time = request.service_time.count() > 0
                                      ? request.service_time
                                      : placement_queue::default_service_time;
    return std::min<duration>(service_time,
                              placement_queue::quantum *
                                  placement_queue::max_turns_per_request);
}

} // namespace

time_point latest_expected_answer(time_point objective, time_point deadline,
                                  time_point now)
{
    const auto late_from = std::min(std::max(objective, now), deadline);
    return late_from + (deadline - late_from) / 2;
}

double placement_queue::observed_load::at(time_point now) const
{
    const std::chrono::duration<double> age = now - updated_at;
    const std::chrono::duration<double> time_constant = load_time_constant;
    return slots * std::exp(-age / time_constant);
}

void placement_queue::observe_start(const queued_request& request,
                                    time_point now)
{
    auto& loads = loads_[request.group];
    const load_key key{request.priority, request.account,
                       request.needs_primary};
    // Accounts that no longer send requests are forgotten when others appear.
    if (!loads.contains(key))
        std::erase_if(loads, [&](const auto& entry)
                      { return entry.second.at(now) < min_load_slots; });
    auto& load = loads[key];
    const std::chrono::duration<double> service_time = request.service_time;
    const std::chrono::duration<double> time_constant = load_time_constant;
    load.slots = load.at(now) + service_time / time_constant;
    load.updated_at = now;
}

bool placement_queue::work_ahead::is_empty() const
{
    return own_queued.count() == 0 &&
           std::all_of(competitors.begin(), competitors.end(),
                       [](const auto& entry)
                       { return entry.second.queued.count() == 0; });
}

// Requests of competitors that arrive during the wait extend it. The iteration
// approaches the solution from below, and is limited because there is none if
// the competitors use all slots.
duration placement_queue::work_ahead::wait(std::uint32_t slots) const
{
    constexpr int iterations = 6;
    duration result{0};
    for (int i = 0; i < iterations; ++i)
    {
        auto total = own_queued;
        for (const auto& [key, other] : competitors)
            total += std::max(
                other.queued,
                std::min(other.limit, std::chrono::duration_cast<duration>(
                                          result * other.load_slots)));
        result = std::min<duration>(total / slots, max_expected_wait);
    }
    return result;
}

void placement_queue::add_queued_above(const priority_level& level,
                                       std::uint32_t priority,
                                       const queued_request& request,
                                       work_ahead& work)
{
    for (const auto& account : level.accounts)
    {
        duration queued{0};
        for (const auto& other : account.requests)
            if (competes_with(request, other.needs_primary))
                queued += other.service_time;
        if (queued.count() != 0)
            work.competitors[{priority, account.account}].queued = queued;
    }
}

void placement_queue::add_queued_beside(const priority_level& level,
                                        const queued_request& request,
                                        bool request_is_late,
                                        time_point served_from,
                                        work_ahead& work)
{
    const auto is_ahead = [&](const queued_request& other)
    {
        return competes_with(request, other.needs_primary) &&
               (request_is_late || !is_late(other, served_from));
    };
    std::size_t own_ahead = 0;
    for (const auto& account : level.accounts)
    {
        if (account.account != request.account)
            continue;
        for (const auto& other : account.requests)
        {
            if (other.id == request.id)
                break;
            if (!is_ahead(other))
                continue;
            ++own_ahead;
            work.own_queued += other.service_time;
        }
    }
    // While the account's own requests ahead are served, each other account is
    // served as many, and one more before the request.
    for (const auto& account : level.accounts)
    {
        if (account.account == request.account)
            continue;
        std::size_t in_turn = 0;
        duration queued{0};
        for (const auto& other : account.requests)
        {
            if (!is_ahead(other))
                continue;
            const bool precedes_all =
                request_is_late && !is_late(other, served_from);
            if (precedes_all || in_turn++ <= own_ahead)
                queued += other.service_time;
            else if (!request_is_late)
                break;
        }
        if (queued.count() != 0)
            work.competitors[{request.priority, account.account}].queued =
                queued;
    }
}

void placement_queue::add_loads(const queued_request& request,
                                bool request_is_late, time_point now,
                                work_ahead& work) const
{
    const auto loads = loads_.find(request.group);
    if (loads != loads_.end())
        for (const auto& [key, load] : loads->second)
        {
            const bool is_own = key.priority == request.priority &&
                                key.account == request.account;
            if (key.priority <= request.priority && !is_own &&
                competes_with(request, key.needs_primary))
                work.competitors[{key.priority, key.account}].load_slots +=
                    load.at(now);
        }
    // An account that takes turns with the request's account is served no more
    // than that until the request's turn has come.
    if (request_is_late)
        return;
    for (auto& [key, other] : work.competitors)
        if (key.first == request.priority)
            other.limit = work.own_queued + request.service_time;
}

placement_queue::work_ahead
placement_queue::find_work_ahead(const queued_request& request,
                                 bool request_is_late, time_point served_from,
                                 time_point now) const
{
    work_ahead work;
    const auto found = groups_.find(request.group);
    if (found != groups_.end())
        for (const auto& [priority, level] : found->second)
        {
            if (priority < request.priority)
                add_queued_above(level, priority, request, work);
            else if (priority == request.priority)
                add_queued_beside(level, request, request_is_late, served_from,
                                  work);
        }
    add_loads(request, request_is_late, now, work);
    return work;
}

duration placement_queue::expected_wait(const queued_request& request,
                                        const capacity_estimate& capacity,
                                        time_point now) const
{
    if (capacity.slots == 0)
        return capacity.available_in;
    const auto served_from = now + capacity.available_in;
    const bool request_is_late = is_late(request, served_from);
    const auto work =
        find_work_ahead(request, request_is_late, served_from, now);
    const bool has_free_slot = capacity.busy_slots < capacity.slots;
    if (work.is_empty() && has_free_slot)
        return capacity.available_in;
    // The statements that run now have on average half of their time left.
    const auto running_work =
        has_free_slot ? duration(0)
                      : capacity.service_time * capacity.busy_slots / 2;
    const auto wait_behind = [&](const work_ahead& ahead)
    {
        return capacity.available_in + ahead.wait(capacity.slots) +
               running_work / capacity.slots;
    };
    const auto wait = wait_behind(work);
    if (request_is_late || !is_late(request, now + wait))
        return wait;
    // The request will be late when its turn comes, hence others overtake it.
    return wait_behind(find_work_ahead(request, true, served_from, now));
}

duration placement_queue::excess_wait(const queued_request& request,
                                      const capacity_estimate& capacity,
                                      duration expected_wait, time_point now)
{
    const auto answer_due =
        capacity.available_in.count() > 0
            ? request.deadline
            : latest_expected_answer(request.objective, request.deadline, now);
    return now + expected_wait - latest_start(request, answer_due, now);
}

queue_admission placement_queue::admit(const queued_request& request,
                                       const capacity_estimate& capacity,
                                       time_point now)
{
    queue_admission decision;
    decision.expected_wait = expected_wait(request, capacity, now);
    decision.admitted =
        excess_wait(request, capacity, decision.expected_wait, now).count() <=
        0;
    if (!decision.admitted)
        decision.retry_after =
            retry_after_wait(request, capacity, decision.expected_wait, now);
    return decision;
}

milliseconds placement_queue::retry_after(const queued_request& request,
                                          const capacity_estimate& capacity,
                                          time_point now)
{
    return retry_after_wait(request, capacity,
                            expected_wait(request, capacity, now), now);
}

milliseconds
placement_queue::retry_after_wait(const queued_request& request,
                                  const capacity_estimate& capacity,
                                  duration expected_wait, time_point now)
{
    // The queue admits the request again once the excess has been served.
    // Callers refused before return at that time too, hence each is given the
    // time after those.
    const auto excess = excess_wait(request, capacity, expected_wait, now);
    const auto min_delay =
        std::max<duration>({request.service_time, capacity.service_time,
                            capacity.available_in, min_retry_after});
    auto& promised_until = promised_until_[{request.group, request.priority}];
    const auto capacity_expected_at =
        std::max(now + std::max(excess, min_delay),
                 std::min(promised_until, request.deadline));
    promised_until = capacity_expected_at +
                     request.service_time / std::max(capacity.slots, 1U);
    return spread(capacity_expected_at - now);
}

milliseconds placement_queue::spread(duration delay)
{
    const auto factor =
        std::uniform_real_distribution<double>(1, max_retry_spread)(random_);
    return std::chrono::ceil<milliseconds>(
        std::chrono::duration<double, std::milli>(delay) * factor);
}

void placement_queue::add(queued_request request)
{
    auto& level = groups_[request.group][request.priority];
    auto account = std::find_if(level.accounts.begin(), level.accounts.end(),
                                [&](const account_queue& other)
                                { return other.account == request.account; });
    if (account == level.accounts.end())
    {
        account_queue added;
        added.account = request.account;
        account = level.accounts.insert(level.accounts.end(), std::move(added));
    }
    const auto later =
        std::find_if(account->requests.begin(), account->requests.end(),
                     [&](const queued_request& other)
                     { return other.arrived_at > request.arrived_at; });
    account->requests.insert(later, std::move(request));
    ++level.request_count;
    ++size_;
}

void placement_queue::remove(const std::string& group, std::uint64_t id)
{
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return;
    for (auto& [priority, level] : found->second)
        for (auto& account : level.accounts)
        {
            const auto removed = std::erase_if(
                account.requests, [&](const queued_request& request)
                { return request.id == id; });
            level.request_count -= removed;
            size_ -= removed;
            if (removed != 0)
                return remove_empty(group);
        }
}

void placement_queue::start_ready(const std::string& group, time_point now,
                                  const start_function& try_start)
{
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return;
    for (auto& [priority, level] : found->second)
        for (const bool late : {false, true})
            start_level(level, late, now, try_start);
    remove_empty(group);
}

void placement_queue::start_level(priority_level& level, bool late,
                                  time_point now,
                                  const start_function& try_start)
{
    for (auto& account : level.accounts)
        account.rejected.clear();
    // Returns the service time charged for the request of the account that was
    // started; zero if none can be.
    const auto start_one = [&](account_queue& account) -> duration
    {
        for (auto it = account.requests.begin(); it != account.requests.end();
             ++it)
        {
            if (is_late(*it, now) != late ||
                std::find(account.rejected.begin(), account.rejected.end(),
                          it->requirements) != account.rejected.end())
                continue;
            if (!try_start(*it))
            {
                account.rejected.push_back(it->requirements);
                continue;
            }
            const auto cost = turn_cost(*it);
            observe_start(*it, now);
            account.requests.erase(it);
            --level.request_count;
            --size_;
            return cost;
        }
        return duration(0);
    };
    for (;;)
    {
        // The accounts in the order in which their turn comes: those that have
        // used up this round's share become eligible in later rounds, those
        // with the smaller excess first.
        std::vector<std::list<account_queue>::iterator> in_turn;
        for (auto it = level.accounts.begin(); it != level.accounts.end(); ++it)
            if (!it->requests.empty())
                in_turn.push_back(it);
        std::stable_sort(in_turn.begin(), in_turn.end(),
                         [](const auto& a, const auto& b)
                         {
                             return std::min(a->credit, duration(1)) >
                                    std::min(b->credit, duration(1));
                         });
        bool has_started = false;
        for (const auto account : in_turn)
        {
            const auto cost = start_one(*account);
            if (cost.count() == 0)
                continue;
            // A new round begins only when a request is started in it. If it
            // began whenever no request can be started, the shares would be
            // renewed while nothing is served.
            while (account->credit.count() <= 0)
                for (auto& other : level.accounts)
                    other.credit =
                        std::min<duration>(other.credit + quantum, max_credit);
            account->credit -= cost;
            level.accounts.splice(level.accounts.end(), level.accounts,
                                  account);
            has_started = true;
            break;
        }
        if (!has_started)
            return;
    }
}

void placement_queue::remove_empty(const std::string& group)
{
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return;
    for (auto& [priority, level] : found->second)
        std::erase_if(level.accounts,
                      [](const account_queue& account) {
                          return account.requests.empty() &&
                                 account.credit >= max_credit;
                      });
    std::erase_if(found->second, [](const auto& entry)
                  { return entry.second.request_count == 0; });
    if (found->second.empty())
        groups_.erase(found);
}

bool placement_queue::has_waiting(const std::string& group) const
{
    return groups_.contains(group);
}

bool placement_queue::has_waiting_above(const std::string& group,
                                        std::uint32_t priority,
                                        bool at_primary) const
{
    const auto found = groups_.find(group);
    if (found == groups_.end())
        return false;
    for (const auto& [other_priority, level] : found->second)
    {
        if (other_priority >= priority)
            return false;
        for (const auto& account : level.accounts)
            for (const auto& request : account.requests)
                if (at_primary || !request.needs_primary)
                    return true;
    }
    return false;
}

std::vector<std::string> placement_queue::groups() const
{
    std::vector<std::string> names;
    for (const auto& [name, queue] : groups_)
        names.push_back(name);
    return names;
}

} // namespace oleandergrade
