#include <oleandergrade/process/serving/serving_metrics.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/indexed.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <sstream>

namespace oleandergrade
{
namespace histogram = boost::histogram;

namespace
{

/// Number of histogram bins. They are spaced logarithmically: each is about a
/// fifth wider than the one before it.
constexpr unsigned bin_count = 64;
constexpr double min_latency_seconds = 0.0002;
constexpr double max_latency_seconds = 20;

using log_axis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

auto make_latency_histogram()
{
    return histogram::make_histogram(
        log_axis(bin_count, min_latency_seconds, max_latency_seconds));
}

// The value of the metric label "route".
const char* label_of(read_consistency consistency)
{
    switch (consistency)
    {
    case read_consistency::current:
        return "current";
    case read_consistency::own_writes:
        return "own_writes";
    case read_consistency::bounded_age:
        return "bounded_age";
    }
    return "current";
}

// Appends one counter for each name and each outcome that occurred.
template <typename Counts>
void append_counts(std::ostringstream& out, const char* label,
                   const Counts& by_name)
{
    const auto metric = std::string("oleander_answers_by_") + label + "_total";
    out << "# TYPE " << metric << " counter\n";
    for (const auto& [name, counts] : by_name)
        for (std::size_t code = 0; code < session_error_count; ++code)
            if (counts[code] > 0)
                out << metric << "{" << label << "=\"" << name
                    << "\",outcome=\""
                    << to_string(static_cast<session_error>(code)) << "\"} "
                    << counts[code] << "\n";
}

} // namespace

struct serving_metrics::histograms
{
    std::array<decltype(make_latency_histogram()), consistency_count>
        by_consistency{make_latency_histogram(), make_latency_histogram(),
                       make_latency_histogram()};
    std::array<double, consistency_count> sums_seconds{};
};

serving_metrics::serving_metrics() : histograms_(std::make_unique<histograms>())
{
}

serving_metrics::~serving_metrics() = default;

void serving_metrics::record_answer(read_consistency consistency,
                                    session_error failure, duration latency)
{
    const auto index = static_cast<std::size_t>(consistency);
    ++answers_[index][static_cast<std::size_t>(failure)];
    const auto seconds = std::chrono::duration<double>(latency).count();
    histograms_->by_consistency[index](seconds);
    histograms_->sums_seconds[index] += seconds;
}

serving_metrics::outcome_counts&
serving_metrics::find_counts(counts_by_name& counts, const std::string& name)
{
    const auto found = counts.find(name);
    if (found != counts.end())
        return found->second;
    return counts[counts.size() < max_label_values ? name : "others"];
}

void serving_metrics::record_answer_labels(const std::string& account,
                                           const std::string& target,
                                           session_error failure,
                                           const std::string& reason)
{
    const auto index = static_cast<std::size_t>(failure);
    if (!account.empty())
        ++find_counts(by_account_, account)[index];
    if (!target.empty())
        ++find_counts(by_target_, target)[index];
    // The text from " (" on, after the peer's name, differs from case to case
    // and would make every reason distinct.
    if (failure != session_error::none)
        ++find_counts(by_reason_, reason.substr(0, reason.find(" (")))[index];
}

std::uint64_t serving_metrics::answer_count(read_consistency consistency,
                                            session_error failure) const
{
    return answers_[static_cast<std::size_t>(consistency)]
                   [static_cast<std::size_t>(failure)];
}

std::string serving_metrics::to_text() const
{
    std::ostringstream out;
    out << "# TYPE oleander_answers_total counter\n";
    for (std::size_t kind = 0; kind < consistency_count; ++kind)
        for (std::size_t code = 0; code < session_error_count; ++code)
            if (answers_[kind][code] > 0)
                out << "oleander_answers_total{route=\""
                    << label_of(static_cast<read_consistency>(kind))
                    << "\",outcome=\""
                    << to_string(static_cast<session_error>(code)) << "\"} "
                    << answers_[kind][code] << "\n";
    append_counts(out, "account", by_account_);
    append_counts(out, "target", by_target_);
    append_counts(out, "reason", by_reason_);
    out << "# TYPE oleander_retries_total counter\n"
        << "oleander_retries_total " << retries_ << "\n"
        << "# TYPE oleander_changed_texts_total counter\n"
        << "oleander_changed_texts_total " << changed_texts_ << "\n"
        << "# TYPE oleander_reads_total counter\n"
        << "oleander_reads_total{at=\"replica\"} " << replica_reads_ << "\n"
        << "oleander_reads_total{at=\"primary\"} " << primary_reads_ << "\n"
        << "# TYPE oleander_late_answers_total counter\n";
    for (std::size_t stage = 0; stage < statement_stage_count; ++stage)
        if (late_by_stage_[stage] > 0)
            out << "oleander_late_answers_total{stage=\""
                << to_string(static_cast<statement_stage>(stage)) << "\"} "
                << late_by_stage_[stage] << "\n";
    out << "# TYPE oleander_latency_seconds histogram\n";
    for (std::size_t kind = 0; kind < consistency_count; ++kind)
    {
        const std::string label =
            std::string("route=\"") +
            label_of(static_cast<read_consistency>(kind)) + "\"";
        double cumulative_count = 0;
        for (const auto& bin : histogram::indexed(
                 histograms_->by_consistency[kind], histogram::coverage::all))
        {
            cumulative_count += *bin;
            if (*bin > 0 && bin.index() < static_cast<int>(bin_count))
                out << "oleander_latency_seconds_bucket{" << label << ",le=\""
                    << bin.bin().upper() << "\"} " << cumulative_count << "\n";
        }
        out << "oleander_latency_seconds_bucket{" << label << ",le=\"+Inf\"} "
            << cumulative_count << "\n"
            << "oleander_latency_seconds_sum{" << label << "} "
            << histograms_->sums_seconds[kind] << "\n"
            << "oleander_latency_seconds_count{" << label << "} "
            << cumulative_count << "\n";
    }
    return out.str();
}

} // namespace oleandergrade
