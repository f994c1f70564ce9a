#include <oleandergrade/process/metrics.hpp>

#include <oleandergrade/invariant.hpp>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <boost/json.hpp>

#include <vector>

namespace oleandergrade
{
namespace histogram = boost::histogram;

namespace
{

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using safe_count = histogram::accumulators::count<std::uint64_t, true>;
using safe_storage = histogram::dense_storage<safe_count>;
using latency_histogram =
    decltype(histogram::make_histogram_with(safe_storage(), log_axis()));

constexpr unsigned bins = 120;
constexpr double lowest_us = 10;
constexpr double highest_us = 60'000'000;

latency_histogram make_latency_histogram()
{
    return histogram::make_histogram_with(
        safe_storage(), log_axis(bins, lowest_us, highest_us));
}

struct summary
{
    std::uint64_t count = 0;
    double p50_us = 0;
    double p99_us = 0;
};

std::uint64_t total_of(const latency_histogram& values)
{
    std::uint64_t total = 0;
    for (const auto& bin : histogram::indexed(values, histogram::coverage::all))
        total += (*bin).value();
    return total;
}

double quantile(const latency_histogram& values, std::uint64_t total,
                double share)
{
    const auto wanted = static_cast<double>(total) * share;
    double seen = 0;
    for (const auto& bin : histogram::indexed(values, histogram::coverage::all))
    {
        seen += static_cast<double>((*bin).value());
        if (seen >= wanted)
            return bin.bin().upper();
    }
    return highest_us;
}

summary summarize(const latency_histogram& values)
{
    const auto total = total_of(values);
    if (total == 0)
        return {};
    return {total, quantile(values, total, 0.5), quantile(values, total, 0.99)};
}

} // namespace

struct metrics::histograms
{
    std::vector<latency_histogram> by_kind;
};

const char* to_string(latency_kind kind)
{
    static constexpr std::array<const char*, latency_kind_count> names{
        "caller_read", "caller_write",    "admission_wait",
        "owner_queue", "target_exchange", "confirmation"};
    return names.at(static_cast<std::size_t>(kind));
}

const char* to_string(counter which)
{
    static constexpr std::array<const char*, counter_count> names{
        "replica_reads", "primary_reads", "retries", "tokens_spent",
        "peer_calls"};
    return names.at(static_cast<std::size_t>(which));
}

metrics::metrics() : histograms_(std::make_unique<histograms>())
{
    for (std::size_t kind = 0; kind < latency_kind_count; ++kind)
        histograms_->by_kind.push_back(make_latency_histogram());
}

metrics::~metrics() = default;

void metrics::count(counter which, std::uint64_t amount)
{
    counters_[static_cast<std::size_t>(which)] += amount;
}

void metrics::count_answer(run_status run, refusal_code code)
{
    ++answers_[static_cast<std::size_t>(code)];
    if (run == run_status::outcome_unknown)
        ++unknown_outcomes_;
}

void metrics::observe(latency_kind kind, duration latency)
{
    const std::chrono::duration<double, std::micro> us = latency;
    histograms_->by_kind[static_cast<std::size_t>(kind)](us.count());
}

std::uint64_t metrics::value(counter which) const
{
    return counters_[static_cast<std::size_t>(which)].load();
}

std::uint64_t metrics::answers(refusal_code code) const
{
    return answers_[static_cast<std::size_t>(code)].load();
}

std::string metrics::to_json() const
{
    boost::json::object object;
    for (std::size_t i = 0; i < counter_count; ++i)
        object[to_string(static_cast<counter>(i))] = counters_[i].load();
    boost::json::object answers;
    for (std::size_t i = 0; i < refusal_code_count; ++i)
        if (const auto value = answers_[i].load(); value > 0)
            answers[to_string(static_cast<refusal_code>(i))] = value;
    object["answers"] = std::move(answers);
    object["outcome_unknown"] = unknown_outcomes_.load();
    object["invariant_failures"] = invariant_failure_count();
    boost::json::object latencies;
    for (std::size_t i = 0; i < latency_kind_count; ++i)
    {
        const auto values = summarize(histograms_->by_kind[i]);
        latencies[to_string(static_cast<latency_kind>(i))] =
            boost::json::object{{"count", values.count},
                                {"p50_us", values.p50_us},
                                {"p99_us", values.p99_us}};
    }
    object["latency"] = std::move(latencies);
    return boost::json::serialize(object);
}

std::string metrics::to_text() const
{
    std::string text;
    for (std::size_t i = 0; i < counter_count; ++i)
        text += std::string("oleander_") + to_string(static_cast<counter>(i)) +
                "_total " + std::to_string(counters_[i].load()) + "\n";
    text += "oleander_invariant_failures_total " +
            std::to_string(invariant_failure_count()) + "\n";
    for (std::size_t i = 0; i < refusal_code_count; ++i)
        text += std::string("oleander_answers_total{code=\"") +
                to_string(static_cast<refusal_code>(i)) + "\"} " +
                std::to_string(answers_[i].load()) + "\n";
    for (std::size_t i = 0; i < latency_kind_count; ++i)
    {
        const auto values = summarize(histograms_->by_kind[i]);
        const std::string name = std::string("oleander_latency_us{kind=\"") +
                                 to_string(static_cast<latency_kind>(i));
        text += name + "\",quantile=\"0.5\"} " + std::to_string(values.p50_us) +
                "\n";
        text += name + "\",quantile=\"0.99\"} " +
                std::to_string(values.p99_us) + "\n";
        text += std::string("oleander_latency_us_count{kind=\"") +
                to_string(static_cast<latency_kind>(i)) + "\"} " +
                std::to_string(values.count) + "\n";
    }
    return text;
}

} // namespace oleandergrade
