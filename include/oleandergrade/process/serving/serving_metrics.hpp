/// Counters and latency histograms of the statements that a VM serves.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/session_message.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <array>
#include <cstdint>
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

    /// A statement of a route with this consistency was answered.
    void on_answer(read_consistency kind, session_error failure,
                   duration latency);
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
    static constexpr std::size_t kinds = 3;

    std::array<std::array<std::uint64_t, session_error_count>, kinds>
        answers_{};
    std::uint64_t retries_ = 0;
    std::uint64_t replica_reads_ = 0;
    std::uint64_t primary_reads_ = 0;
    std::unique_ptr<histograms> histograms_;
};

} // namespace oleandergrade
