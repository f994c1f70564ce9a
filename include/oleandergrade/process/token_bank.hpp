/// Lends the rate-limit tokens of one failure domain. Pure decision logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/token_messages.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace oleandergrade
{

/// One bank's share of an account's limits.
struct account_limits
{
    /// Tokens per second.
    double rate = 0;
    /// Tokens that may gather.
    double burst = 0;

    bool operator==(const account_limits&) const = default;
};

/// A token bucket per account, whose tokens are lent in batches.
///
/// Tokens that are lent and not yet reported as spent go on filling the
/// bucket, so that available and lent tokens together never exceed the burst.
/// A batch counts as lent until the borrower reports it or until it has surely
/// lapsed at the borrower, whichever clock is faster. Not synchronized.
class token_bank
{
public:
    /// How long a borrower may spend a batch, from sending its request.
    static constexpr milliseconds batch_validity{500};
    /// How much longer the bank counts a batch as lent. Covers clocks whose
    /// speeds differ by a fifth.
    static constexpr milliseconds lapse_margin{100};

    /// Starts to accrue, with empty buckets.
    void open(time_point now);
    /// Forgets everything; lends nothing until opened again.
    void close();
    bool is_open() const { return open_; }

    /// Replaces the limits of all accounts.
    void use_limits(const std::map<std::string, account_limits>& limits,
                    time_point now);

    /// Takes in the reports and lends at most the wanted tokens.
    token_grant lend(const token_request& request, time_point now);

    /// Tokens that could be lent at once.
    double available(const std::string& account, time_point now);
    /// Tokens lent and not accounted for.
    double outstanding(const std::string& account) const;

private:
    struct lent_batch
    {
        std::uint32_t units = 0;
        std::uint32_t spent = 0;
        std::uint32_t returned = 0;
        time_point lapses_at;
    };
    struct bucket
    {
        account_limits limits;
        double available = 0;
        double outstanding = 0;
        time_point accrued_at;
        std::map<std::uint64_t, lent_batch> batches;
    };

    void accrue(bucket& account, time_point now);
    void drop_lapsed(bucket& account, time_point now);
    void apply_report(bucket& account, const token_report& report);

    bool open_ = false;
    std::uint64_t next_batch_ = 1;
    std::map<std::string, bucket> buckets_;
};

} // namespace oleandergrade
