#include <oleandergrade/process/token_bank.hpp>

#include <oleandergrade/invariant.hpp>

#include <algorithm>
#include <cmath>

namespace oleandergrade
{

namespace
{

constexpr auto shortest_retry = milliseconds(5);
constexpr auto longest_retry = milliseconds(200);
constexpr double rounding = 1e-5;
/// Less than this is not worth a message, unless no more is wanted.
constexpr std::uint32_t smallest_grant = 100;

void check_bucket(const account_limits& limits, double available,
                  double outstanding, const std::string& account)
{
    check_invariant(outstanding > -rounding, "lent tokens are not negative",
                    account);
    check_invariant(available > -rounding, "tokens are not negative", account);
    // A lowered burst may be smaller than what is lent already.
    check_invariant(available <= rounding ||
                        available + outstanding <= limits.burst + rounding,
                    "a bank holds no more than the burst", account);
}

double to_tokens(std::uint32_t units)
{
    return static_cast<double>(units) / units_per_request;
}

std::uint32_t to_units(double tokens)
{
    const auto units = std::max(0.0, tokens) * units_per_request;
    return static_cast<std::uint32_t>(std::floor(units + rounding));
}

milliseconds time_until(std::uint32_t missing_units, double rate)
{
    if (rate <= 0)
        return longest_retry;
    const auto missing = to_tokens(missing_units);
    const auto wait =
        milliseconds(static_cast<std::int64_t>(1000 * missing / rate) + 1);
    return std::clamp(wait, shortest_retry, longest_retry);
}

} // namespace

void token_bank::open(time_point now)
{
    open_ = true;
    for (auto& [name, account] : buckets_)
    {
        account.available = 0;
        account.outstanding = 0;
        account.batches.clear();
        account.accrued_at = now;
    }
}

void token_bank::close()
{
    open_ = false;
    for (auto& [name, account] : buckets_)
    {
        account.available = 0;
        account.outstanding = 0;
        account.batches.clear();
    }
}

void token_bank::use_limits(const std::map<std::string, account_limits>& limits,
                            time_point now)
{
    std::erase_if(buckets_, [&](const auto& entry)
                  { return !limits.contains(entry.first); });
    for (const auto& [name, limit] : limits)
    {
        const auto [entry, is_new] = buckets_.try_emplace(name);
        auto& account = entry->second;
        if (is_new)
            account.accrued_at = now;
        else
            accrue(account, now);
        account.limits = limit;
        account.available =
            std::clamp(account.available, 0.0,
                       std::max(0.0, limit.burst - account.outstanding));
    }
}

token_grant token_bank::lend(const token_request& request, time_point now)
{
    token_grant grant;
    grant.account = request.account;
    const auto found = buckets_.find(request.account);
    if (!open_ || found == buckets_.end())
        return grant;
    auto& account = found->second;
    accrue(account, now);
    for (const auto& report : request.reports)
        apply_report(account, report);

    grant.accepted = true;
    grant.units = std::min(to_units(account.available), request.wanted);
    if (grant.units < std::min(request.wanted, smallest_grant))
        grant.units = 0;
    if (grant.units < request.wanted)
        grant.retry_after = time_until(
            std::min(request.wanted - grant.units, units_per_request),
            account.limits.rate);
    if (grant.units == 0)
        return grant;
    grant.batch = next_batch_++;
    grant.validity = batch_validity;
    account.available =
        std::max(0.0, account.available - to_tokens(grant.units));
    account.outstanding += to_tokens(grant.units);
    account.batches[grant.batch] = {grant.units, 0, 0,
                                    now + batch_validity + lapse_margin};
    check_bucket(account.limits, account.available, account.outstanding,
                 request.account);
    return grant;
}

double token_bank::available(const std::string& account, time_point now)
{
    const auto found = buckets_.find(account);
    if (!open_ || found == buckets_.end())
        return 0;
    accrue(found->second, now);
    return found->second.available;
}

double token_bank::outstanding(const std::string& account) const
{
    const auto found = buckets_.find(account);
    return found == buckets_.end() ? 0 : found->second.outstanding;
}

void token_bank::accrue(bucket& account, time_point now)
{
    // What lapsed since the last call held back tokens until now, so the
    // accrual uses the former count of lent tokens.
    const std::chrono::duration<double> elapsed = now - account.accrued_at;
    if (open_ && elapsed.count() > 0)
    {
        const auto room = account.limits.burst - account.outstanding;
        const auto filled =
            account.available + account.limits.rate * elapsed.count();
        account.available =
            std::max(account.available, std::min(filled, std::max(0.0, room)));
    }
    account.accrued_at = std::max(account.accrued_at, now);
    drop_lapsed(account, now);
}

void token_bank::drop_lapsed(bucket& account, time_point now)
{
    std::erase_if(account.batches,
                  [&](const auto& entry)
                  {
                      const auto& batch = entry.second;
                      if (batch.lapses_at > now)
                          return false;
                      account.outstanding -=
                          to_tokens(batch.units - batch.spent - batch.returned);
                      return true;
                  });
}

void token_bank::apply_report(bucket& account, const token_report& report)
{
    const auto found = account.batches.find(report.batch);
    if (found == account.batches.end())
        return;
    auto& batch = found->second;
    const auto spent =
        std::clamp(report.spent, batch.spent, batch.units - batch.returned);
    account.outstanding -= to_tokens(spent - batch.spent);
    batch.spent = spent;
    const auto returned =
        std::clamp(report.returned, batch.returned, batch.units - batch.spent);
    account.outstanding -= to_tokens(returned - batch.returned);
    account.available += to_tokens(returned - batch.returned);
    batch.returned = returned;
    if (batch.spent + batch.returned == batch.units)
        account.batches.erase(found);
}

} // namespace oleandergrade
