/// Counters and latency histograms of one process.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/request/statement.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace oleandergrade
{

/// Places whose latency is measured.
enum class latency_kind : std::uint8_t
{
    caller_read,
    caller_write,
    admission_wait,
    owner_queue,
    target_exchange,
    confirmation
};

inline constexpr std::size_t latency_kind_count = 6;
const char* to_string(latency_kind kind);

/// Plain counters.
enum class counter : std::uint8_t
{
    replica_reads,
    primary_reads,
    retries,
    tokens_spent,
    peer_calls
};

inline constexpr std::size_t counter_count = 5;
const char* to_string(counter which);

/// Safe to use from several threads.
class metrics
{
public:
    metrics();
    ~metrics();

    void count(counter which, std::uint64_t amount = 1);
    void count_answer(run_status run, refusal_code code);
    void observe(latency_kind kind, duration latency);

    std::uint64_t value(counter which) const;
    /// Answers given to callers with this refusal code.
    std::uint64_t answers(refusal_code code) const;

    /// All values as a JSON object with p50, p99 and max in microseconds.
    std::string to_json() const;
    /// The text format that metric scrapers read.
    std::string to_text() const;

private:
    struct histograms;

    std::array<std::atomic<std::uint64_t>, counter_count> counters_{};
    std::array<std::atomic<std::uint64_t>, refusal_code_count> answers_{};
    std::atomic<std::uint64_t> unknown_outcomes_{0};
    std::unique_ptr<histograms> histograms_;
};

} // namespace oleandergrade
