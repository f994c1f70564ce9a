/// Counters and latency histograms of the statements that one VM serves.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/process/serving/statement_stages.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// Metrics of answered statements. Not thread-safe.
class serving_metrics
{
public:
    serving_metrics();
    ~serving_metrics();

    /// Maximum number of distinct accounts, targets and failure reasons (each)
    /// that get separate counters. Further ones are counted together under the
    /// label value "others".
    static constexpr std::size_t max_label_values = 200;

    /// Counts the answer to a statement of a route with this consistency and
    /// adds its latency to the histogram.
    void record_answer(read_consistency consistency, session_error failure,
                       duration latency);
    /// Counts the same answer by account, by the target of the last attempt
    /// and, if it failed, by `reason`. An empty account or target is not
    /// counted.
    void record_answer_labels(const std::string& account,
                              const std::string& target, session_error failure,
                              const std::string& reason);
    /// Counts another attempt to run a statement.
    void record_retry() { ++retries_; }
    /// Counts a statement that is sent to a target with another text than it
    /// was received, but for the name of a prepared statement.
    void record_changed_text() { ++changed_texts_; }
    /// Counts an answer that was later than the route's latency objective, by
    /// the stage that took most of the time.
    void record_late_answer(statement_stage stage)
    {
        ++late_by_stage_[static_cast<std::size_t>(stage)];
    }
    /// Counts a successful read, by the role of the target that served it.
    void record_read(bool at_primary)
    {
        ++(at_primary ? primary_reads_ : replica_reads_);
    }

    /// Returns all metrics in the Prometheus text format.
    std::string to_text() const;
    /// Returns the number of counted answers with this consistency and outcome.
    std::uint64_t answer_count(read_consistency consistency,
                               session_error failure) const;

private:
    struct histograms;
    /// Number of answers by outcome.
    using outcome_counts = std::array<std::uint64_t, session_error_count>;
    using counts_by_name = std::map<std::string, outcome_counts>;

    /// Returns the counters for a name. Creates them, or returns the shared
    /// counters "others" if there are too many names.
    static outcome_counts& find_counts(counts_by_name& counts,
                                       const std::string& name);
    /// Number of values of read_consistency.
    static constexpr std::size_t consistency_count = 3;

    /// Number of answers by consistency and outcome.
    std::array<std::array<std::uint64_t, session_error_count>,
               consistency_count>
        answers_{};
    counts_by_name by_account_;
    counts_by_name by_target_;
    counts_by_name by_reason_;
    std::uint64_t retries_ = 0;
    std::uint64_t changed_texts_ = 0;
    std::array<std::uint64_t, statement_stage_count> late_by_stage_{};
    std::uint64_t replica_reads_ = 0;
    std::uint64_t primary_reads_ = 0;
    std::unique_ptr<histograms> histograms_;
};

} // namespace oleandergrade
