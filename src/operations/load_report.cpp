#include <oleandergrade/operations/load_report.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <sstream>

namespace oleandergrade
{
namespace json = boost::json;

namespace
{

constexpr double median_fraction = 0.5;
constexpr double p99_fraction = 0.99;

// Layout of the SVG image, in its own units.
constexpr double image_width = 900;
constexpr double image_height = 360;
constexpr double plot_left = 60;
constexpr double plot_bottom = 300;
constexpr double plot_top = 40;
constexpr double legend_line_height = 16;
constexpr std::array fleet_colours{"#1f6f8b", "#c8553d", "#5b8e7d", "#7a5195"};

/// Returns the value below which the given fraction of the values lies; 0 if
/// there are no values.
double quantile_of(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto index = std::min(
        static_cast<std::size_t>(static_cast<double>(values.size()) * fraction),
        values.size() - 1);
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

/// Adds a row to the text table.
void append_row(std::ostringstream& out, const std::string& fleet,
                const std::string& database, const load_sample& sample)
{
    out << std::left << std::setw(10) << fleet << std::setw(18) << database
        << std::right << std::setw(8) << sample.total() << std::setw(8)
        << sample.count(session_error::none) << std::setw(8)
        << sample.count(session_error::busy) << std::setw(9)
        << sample.count(session_error::in_doubt) << std::setw(9)
        << sample.total() - sample.count(session_error::none) -
               sample.count(session_error::busy) -
               sample.count(session_error::in_doubt)
        << std::fixed << std::setprecision(1) << std::setw(9)
        << sample.latency_quantile_ms(median_fraction) << std::setw(9)
        << sample.latency_quantile_ms(p99_fraction) << "\n";
}

/// Returns the counts and latencies of a sample as a JSON object.
json::object sample_to_json(const load_sample& sample)
{
    json::object counts;
    for (std::size_t i = 0; i < session_error_count; ++i)
    {
        const auto code = static_cast<session_error>(i);
        if (sample.count(code) > 0)
            counts[to_string(code)] = sample.count(code);
    }
    return {{"requests", sample.total()},
            {"outcomes", std::move(counts)},
            {"p50_ms", sample.latency_quantile_ms(median_fraction)},
            {"p99_ms", sample.latency_quantile_ms(p99_fraction)}};
}

/// Adds a polyline to the SVG image: one point per second with the quantile
/// `fraction` of the latency. `pixels_per_ms` is the height of one millisecond.
void append_latency_line(std::ostringstream& out, const load_sample& sample,
                         std::uint64_t plotted_seconds, double fraction,
                         double pixels_per_ms, const char* colour,
                         const char* dash)
{
    out << "<polyline fill=\"none\" stroke=\"" << colour
        << "\" stroke-width=\"2\" stroke-dasharray=\"" << dash
        << "\" points=\"";
    const auto second_width =
        (image_width - plot_left - 20) / static_cast<double>(plotted_seconds);
    for (std::uint64_t second = 0; second < plotted_seconds; ++second)
        out << plot_left + second_width * (static_cast<double>(second) + 0.5)
            << ","
            << plot_bottom -
                   sample.latency_quantile_ms_in_second(second, fraction) *
                       pixels_per_ms
            << " ";
    out << "\"/>\n";
}

} // namespace

void load_sample::add(duration arrival_offset, duration latency,
                      session_error failure)
{
    const auto second = static_cast<std::uint64_t>(
        std::chrono::duration_cast<seconds>(arrival_offset).count());
    ++counts_by_outcome_[static_cast<std::size_t>(failure)];
    if (failure != session_error::none)
        ++failures_by_second_[second];
    else
        latencies_ms_by_second_[second].push_back(
            std::chrono::duration<double, std::milli>(latency).count());
}

void load_sample::merge(const load_sample& other)
{
    for (std::size_t i = 0; i < counts_by_outcome_.size(); ++i)
        counts_by_outcome_[i] += other.counts_by_outcome_[i];
    for (const auto& [second, values] : other.latencies_ms_by_second_)
        latencies_ms_by_second_[second].insert(
            latencies_ms_by_second_[second].end(), values.begin(),
            values.end());
    for (const auto& [second, count] : other.failures_by_second_)
        failures_by_second_[second] += count;
}

std::uint64_t load_sample::total() const
{
    return std::accumulate(counts_by_outcome_.begin(), counts_by_outcome_.end(),
                           std::uint64_t(0));
}

std::uint64_t load_sample::count(session_error failure) const
{
    return counts_by_outcome_[static_cast<std::size_t>(failure)];
}

double load_sample::latency_quantile_ms(double fraction) const
{
    std::vector<double> values;
    for (const auto& [second, latencies_in_second] : latencies_ms_by_second_)
        values.insert(values.end(), latencies_in_second.begin(),
                      latencies_in_second.end());
    return quantile_of(std::move(values), fraction);
}

double load_sample::latency_quantile_ms_in_second(std::uint64_t second,
                                                  double fraction) const
{
    const auto found = latencies_ms_by_second_.find(second);
    return found == latencies_ms_by_second_.end()
               ? 0
               : quantile_of(found->second, fraction);
}

std::uint64_t load_sample::failures_in_second(std::uint64_t second) const
{
    const auto found = failures_by_second_.find(second);
    return found == failures_by_second_.end() ? 0 : found->second;
}

load_sample fleet_sample::combined() const
{
    load_sample sum;
    for (const auto& [database, sample] : by_database)
        sum.merge(sample);
    return sum;
}

std::string load_report::to_text() const
{
    std::ostringstream out;
    out << "fleet     database          requests    good    busy in doubt"
           "    other   p50 ms   p99 ms\n";
    for (const auto& fleet : fleets)
    {
        for (const auto& [database, sample] : fleet.by_database)
            append_row(out, fleet.name, database, sample);
        append_row(out, fleet.name, "all", fleet.combined());
    }
    for (const auto& fleet : fleets)
        for (const auto& line : fleet.violations)
            out << "VIOLATION " << fleet.name << " " << line << "\n";
    return out.str();
}

std::string load_report::to_json() const
{
    json::array fleet_objects;
    for (const auto& fleet : fleets)
    {
        json::object databases;
        for (const auto& [database, sample] : fleet.by_database)
            databases[database] = sample_to_json(sample);
        json::array found;
        for (const auto& line : fleet.violations)
            found.push_back(json::string(line));
        fleet_objects.push_back({{"fleet", fleet.name},
                                 {"databases", std::move(databases)},
                                 {"all", sample_to_json(fleet.combined())},
                                 {"violations", std::move(found)}});
    }
    json::array fault_objects;
    for (const auto& fault : faults)
        fault_objects.push_back(
            {{"at_s", fault.injected_at_s}, {"fault", fault.command}});
    return json::serialize(json::object{{"seconds", duration_s},
                                        {"fleets", std::move(fleet_objects)},
                                        {"faults", std::move(fault_objects)}});
}

std::string load_report::to_svg() const
{
    double max_latency_ms = 1;
    for (const auto& fleet : fleets)
        for (std::uint64_t second = 0; second < duration_s; ++second)
            max_latency_ms = std::max(
                max_latency_ms, fleet.combined().latency_quantile_ms_in_second(
                                    second, p99_fraction));
    const auto pixels_per_ms = (plot_bottom - plot_top) / max_latency_ms;
    const auto plotted_seconds = std::max<std::uint64_t>(duration_s, 1);
    const auto second_width =
        (image_width - plot_left - 20) / static_cast<double>(plotted_seconds);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << image_width
        << "\" height=\"" << image_height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << plot_left
        << "\" y=\"20\">latency in ms by second of "
        << "arrival: p50 solid, p99 dashed; bars: failed requests</text>\n"
        << "<text x=\"8\" y=\"" << plot_top + 4 << "\">" << std::fixed
        << std::setprecision(0) << max_latency_ms << "</text>\n"
        << "<text x=\"8\" y=\"" << plot_bottom << "\">0</text>\n"
        << "<line x1=\"" << plot_left << "\" y1=\"" << plot_bottom << "\" x2=\""
        << image_width - 20 << "\" y2=\"" << plot_bottom
        << "\" stroke=\"black\"/>\n";
    for (std::size_t i = 0; i < fleets.size(); ++i)
    {
        const auto* colour = fleet_colours[i % fleet_colours.size()];
        const auto sample = fleets[i].combined();
        append_latency_line(out, sample, plotted_seconds, median_fraction,
                            pixels_per_ms, colour, "none");
        append_latency_line(out, sample, plotted_seconds, p99_fraction,
                            pixels_per_ms, colour, "6 4");
        for (std::uint64_t second = 0; second < duration_s; ++second)
        {
            const auto failed_requests =
                static_cast<double>(sample.failures_in_second(second));
            out << "<rect x=\""
                << plot_left + second_width * static_cast<double>(second)
                << "\" y=\"" << plot_bottom + 4 << "\" width=\""
                << second_width * 0.9 << "\" height=\""
                << std::min(failed_requests, 30.0) << "\" fill=\"" << colour
                << "\" opacity=\"0.5\"/>\n";
        }
        out << "<text x=\"" << image_width - 160 << "\" y=\""
            << plot_top + legend_line_height * static_cast<double>(i + 1)
            << "\" fill=\"" << colour << "\">" << fleets[i].name << "</text>\n";
    }
    for (const auto& fault : faults)
        out << "<line x1=\"" << plot_left + second_width * fault.injected_at_s
            << "\" y1=\"" << plot_top << "\" x2=\""
            << plot_left + second_width * fault.injected_at_s << "\" y2=\""
            << plot_bottom
            << "\" stroke=\"grey\" stroke-dasharray=\"2 3\"/>\n<text x=\""
            << plot_left + second_width * fault.injected_at_s + 3 << "\" y=\""
            << plot_top + 10 << "\" fill=\"grey\">" << fault.command
            << "</text>\n";
    out << "</svg>\n";
    return out.str();
}

} // namespace oleandergrade
