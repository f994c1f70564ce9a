/// The results of a load run, and their output as text, JSON and SVG.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/session_message.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Counts and latencies of the requests for one database at one fleet.
class load_sample
{
public:
    /// Adds the outcome of one request. `arrival_offset` is the time since the
    /// start of the run at which the request was due.
    void add(duration arrival_offset, duration latency, session_error failure);
    void merge(const load_sample& other);

    /// Number of all requests.
    std::uint64_t total() const;
    /// Number of requests with this outcome; `session_error::none` for those
    /// that succeeded.
    std::uint64_t count(session_error failure) const;
    /// Returns a quantile of the latencies of successful requests in
    /// milliseconds; 0 if there are none. `fraction` is from 0 to 1.
    double latency_quantile_ms(double fraction) const;
    /// The same for the requests that arrived in one second of the run, counted
    /// from 0.
    double latency_quantile_ms_in_second(std::uint64_t second,
                                         double fraction) const;
    /// Number of failed requests that arrived in one second of the run.
    std::uint64_t failures_in_second(std::uint64_t second) const;

private:
    std::array<std::uint64_t, session_error_count> counts_by_outcome_{};
    /// Latencies of successful requests in milliseconds, by second of arrival.
    std::map<std::uint64_t, std::vector<double>> latencies_ms_by_second_;
    /// Number of failed requests by second of arrival.
    std::map<std::uint64_t, std::uint64_t> failures_by_second_;
};

/// The results of one fleet in a load run.
struct fleet_sample
{
    std::string name;
    std::map<std::string, load_sample> by_database;
    /// Messages about answers that broke the promised consistency.
    std::vector<std::string> violations;

    /// Returns the sum over all databases.
    load_sample combined() const;
};

/// A fault that was injected during a load run.
struct injected_fault
{
    /// Time of the injection in seconds since the start of the run.
    double injected_at_s = 0;
    /// The command sent to the emulator, such as "crash i-0-0".
    std::string command;
};

/// The results of a load run on one or more fleets.
struct load_report
{
    /// Length of the run.
    std::uint64_t duration_s = 0;
    std::vector<fleet_sample> fleets;
    std::vector<injected_fault> faults;

    /// Returns a table with one row for each fleet and database, followed by
    /// the violations.
    std::string to_text() const;
    /// Returns the same results and the faults as a JSON object.
    std::string to_json() const;
    /// Returns an SVG image with the latency of each fleet over time, its
    /// failed requests and the injected faults.
    std::string to_svg() const;
};

} // namespace oleandergrade
