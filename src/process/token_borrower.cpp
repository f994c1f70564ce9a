#include <oleandergrade/process/token_borrower.hpp>

#include <oleandergrade/invariant.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{

namespace
{

/// Tokens are kept ready for this much time of the recent arrivals.
constexpr double prefetch_seconds = 0.03;
/// Time over which arrivals are counted for their rate.
constexpr auto arrival_window = milliseconds(50);
constexpr auto report_interval = milliseconds(50);
constexpr auto idle_period = milliseconds(100);
constexpr auto stuck_period = milliseconds(50);
constexpr auto failure_pause = milliseconds(100);
constexpr auto shortest_pause = milliseconds(10);
constexpr auto refused_retry_after = milliseconds(200);
constexpr std::uint32_t most_wanted = 4096 * units_per_request;

} // namespace

token_borrower::token_borrower(std::string self,
                               std::vector<std::string> lenders)
    : self_(std::move(self)), lenders_(std::move(lenders))
{
}

void token_borrower::use_lenders(std::vector<std::string> lenders)
{
    lenders_ = std::move(lenders);
}

bool token_borrower::admit(std::uint64_t ticket, const std::string& account,
                           time_point wait_until, time_point now)
{
    auto& state = accounts_[account];
    count_arrival(state, now);
    if (state.waiting.empty() && spend(state, now))
        return true;
    state.waiting.push_back({ticket, wait_until});
    return false;
}

std::vector<borrow_call> token_borrower::due_calls(time_point now)
{
    std::vector<borrow_call> calls;
    for (auto& [name, account] : accounts_)
        add_due(name, account, now, calls);
    return calls;
}

std::vector<borrow_call> token_borrower::due_calls(const std::string& account,
                                                   time_point now)
{
    std::vector<borrow_call> calls;
    const auto found = accounts_.find(account);
    if (found != accounts_.end())
        add_due(account, found->second, now, calls);
    return calls;
}

void token_borrower::add_due(const std::string& name, account_state& account,
                             time_point now, std::vector<borrow_call>& calls)
{
    return_idle_tokens(account, now);
    add_calls(name, account, now, calls);
    add_reports(name, account, now, calls);
}

void token_borrower::on_grant(const std::string& lender_domain,
                              const borrow_call& call, const token_grant& grant,
                              time_point sent_at, time_point now)
{
    auto& account = accounts_[call.request.account];
    auto& lender = account.lenders[lender_domain];
    if (call.request.wanted > 0)
    {
        lender.in_flight = false;
        lender.asked = 0;
    }
    if (!grant.accepted)
    {
        lender.not_before = now + failure_pause;
        return;
    }
    if (grant.units < call.request.wanted)
        lender.not_before =
            now + std::max<milliseconds>(grant.retry_after, shortest_pause);
    const auto valid_until = sent_at + grant.validity;
    if (grant.units == 0 || valid_until <= now)
        return;
    held_batch batch;
    batch.lender = lender_domain;
    batch.batch = grant.batch;
    batch.units = grant.units;
    batch.received_at = now;
    batch.valid_until = valid_until;
    account.batches.push_back(batch);
    admit_waiting(account, now);
}

void token_borrower::on_failure(const std::string& lender_domain,
                                const borrow_call& call, time_point now)
{
    auto& lender = accounts_[call.request.account].lenders[lender_domain];
    lender.in_flight = false;
    lender.asked = 0;
    lender.not_before = now + failure_pause;
}

void token_borrower::end_overdue_waits(time_point now)
{
    for (auto& [name, account] : accounts_)
    {
        admit_waiting(account, now);
        std::erase_if(account.waiting,
                      [&](const waiting_request& request)
                      {
                          if (request.wait_until > now)
                              return false;
                          results_.push_back(
                              {request.ticket, false, refused_retry_after});
                          return true;
                      });
    }
}

std::vector<admission_result> token_borrower::take_results()
{
    return std::exchange(results_, {});
}

std::size_t token_borrower::waiting(const std::string& account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.waiting.size();
}

// Spends the units of one request, from several batches if need be.
bool token_borrower::spend(account_state& account, time_point now)
{
    if (stock(account, now) < units_per_request)
        return false;
    auto missing = units_per_request;
    for (auto& batch : account.batches)
    {
        if (batch.valid_until <= now)
            continue;
        const auto part = std::min(batch.left(), missing);
        if (part == 0)
            continue;
        batch.spent += part;
        batch.unreported = true;
        missing -= part;
        check_invariant(batch.spent + batch.returned <= batch.units,
                        "a batch is spent once", batch.lender);
    }
    check_invariant(missing == 0, "a request costs one token");
    return true;
}

void token_borrower::admit_waiting(account_state& account, time_point now)
{
    while (!account.waiting.empty())
    {
        const auto& first = account.waiting.front();
        if (first.wait_until <= now)
            results_.push_back({first.ticket, false, refused_retry_after});
        else if (spend(account, now))
            results_.push_back({first.ticket, true, milliseconds(0)});
        else
            return;
        account.waiting.pop_front();
    }
}

void token_borrower::count_arrival(account_state& account, time_point now)
{
    account.last_arrival = now;
    ++account.window_arrivals;
    const std::chrono::duration<double> elapsed = now - account.window_start;
    if (elapsed < arrival_window)
        return;
    const auto current = account.window_arrivals / elapsed.count();
    account.arrival_rate = (account.arrival_rate + current) / 2;
    account.window_arrivals = 0;
    account.window_start = now;
}

void token_borrower::return_idle_tokens(account_state& account, time_point now)
{
    const bool is_stuck =
        !account.waiting.empty() && stock(account, now) < units_per_request;
    for (auto& batch : account.batches)
    {
        // Borrowers that each hold a part of a token would wait for each
        // other; they give their parts back at different times.
        const auto patience =
            is_stuck ? stuck_period + milliseconds(batch.batch * 37 % 60)
                     : idle_period;
        if (batch.left() == 0 || now - batch.received_at < patience)
            continue;
        batch.returned += batch.left();
        batch.unreported = true;
    }
    std::erase_if(account.batches,
                  [&](const held_batch& batch)
                  {
                      const bool is_done =
                          batch.left() == 0 && !batch.unreported;
                      return is_done || batch.valid_until <= now;
                  });
}

void token_borrower::add_calls(const std::string& name, account_state& account,
                               time_point now, std::vector<borrow_call>& calls)
{
    std::uint32_t asked = 0;
    for (const auto& [domain, lender] : account.lenders)
        asked += lender.asked;
    const auto waiting =
        static_cast<std::uint32_t>(account.waiting.size()) * units_per_request;
    const bool is_active = now - account.last_arrival < idle_period;
    const auto ready = is_active
                           ? static_cast<std::uint32_t>(account.arrival_rate *
                                                        prefetch_seconds) *
                                 units_per_request
                           : 0;
    const auto held = stock(account, now) + asked;
    for (std::size_t i = 0; i < lenders_.size(); ++i)
    {
        // Only the own bank is asked for tokens to keep ready, and only once
        // half of them are used up.
        const bool is_own = i == 0;
        if (is_own && waiting == 0 && held * 2 >= ready)
            return;
        const auto target = waiting + (is_own ? ready : 0);
        if (target <= held)
            return;
        auto& lender = account.lenders[lenders_[i]];
        if (lender.in_flight || lender.not_before > now)
            continue;
        const auto wanted = std::min(target - held, most_wanted);
        lender.in_flight = true;
        lender.asked = wanted;
        calls.push_back(make_call(name, account, lenders_[i], wanted));
        return;
    }
}

void token_borrower::add_reports(const std::string& name,
                                 account_state& account, time_point now,
                                 std::vector<borrow_call>& calls)
{
    if (now - account.last_report < report_interval)
        return;
    account.last_report = now;
    for (const auto& lender : lenders_)
    {
        const bool has_news =
            std::any_of(account.batches.begin(), account.batches.end(),
                        [&](const held_batch& batch)
                        { return batch.unreported && batch.lender == lender; });
        if (has_news)
            calls.push_back(make_call(name, account, lender, 0));
    }
}

borrow_call token_borrower::make_call(const std::string& name,
                                      account_state& account,
                                      const std::string& lender,
                                      std::uint32_t wanted)
{
    borrow_call call;
    call.lender_domain = lender;
    call.request.borrower = self_;
    call.request.account = name;
    call.request.wanted = wanted;
    for (auto& batch : account.batches)
    {
        if (batch.lender != lender || !batch.unreported)
            continue;
        call.request.reports.push_back(
            {batch.batch, batch.spent, batch.returned});
        batch.unreported = false;
    }
    return call;
}

std::uint32_t token_borrower::stock(const account_state& account,
                                    time_point now) const
{
    std::uint32_t total = 0;
    for (const auto& batch : account.batches)
        if (batch.valid_until > now)
            total += batch.left();
    return total;
}

} // namespace oleandergrade
