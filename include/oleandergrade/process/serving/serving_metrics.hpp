/// Counters and latency histograms of the statements that a VM serves.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// Not synchronized.
class serving_metrics
{
public:
    serving_metrics();
    ~serving_metrics();

    /// Accounts, targets and reasons that get counters of their own; further
    /// ones are counted together.
    static constexpr std::size_t most_names = 200;

    /// A statement of a route with this consistency was answered.
    void on_answer(read_consistency kind, session_error failure,
                   duration latency);
    /// The same, by account and by the target that it went to last; both may
    /// be empty. `reason` is that of a failure.
    void on_answer_of(const std::string& account, const std::string& target,
                      session_error failure, const std::string& reason);
    void on_retry() { ++retries_; }
    void on_read(bool at_primary)
    {
        ++(at_primary ? primary_reads_ : replica_reads_);
    }

    /// The text format that metric scrapers read.
    std::string to_text() const;
    std::uint64_t answers(read_consistency kind, session_error failure) const;

private:
    struct histograms;
    using outcome_counts = std::array<std::uint64_t, session_error_count>;
    using counts_by_name = std::map<std::string, outcome_counts>;

    static outcome_counts& find_counts(counts_by_name& counts,
                                       const std::string& name);
    static constexpr std::size_t kinds = 3;

    std::array<std::array<std::uint64_t, session_error_count>, kinds>
        answers_{};
    counts_by_name by_account_;
    counts_by_name by_target_;
    counts_by_name by_reason_;
    std::uint64_t retries_ = 0;
    std::uint64_t replica_reads_ = 0;
    std::uint64_t primary_reads_ = 0;
    std::unique_ptr<histograms> histograms_;
};

} // namespace oleandergrade
