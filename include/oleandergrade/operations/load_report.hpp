/// What a run of load has measured, as text, JSON and a picture.
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

/// Answers of one fleet to the requests of one database.
class load_sample
{
public:
    /// `arrived` counts from the beginning of the run.
    void add(duration arrived, duration latency, session_error failure);
    void merge(const load_sample& other);

    std::uint64_t total() const;
    std::uint64_t count(session_error failure) const;
    /// Latency in milliseconds below which a part of the good answers lies;
    /// 0 if there are none.
    double quantile(double part) const;
    /// The same for the requests that arrived in one second of the run.
    double quantile_in_second(std::uint64_t second, double part) const;
    std::uint64_t failures_in_second(std::uint64_t second) const;

private:
    std::array<std::uint64_t, session_error_count> counts_{};
    /// Latencies in milliseconds of good answers, by second of arrival.
    std::map<std::uint64_t, std::vector<double>> latencies_;
    std::map<std::uint64_t, std::uint64_t> failures_;
};

/// One fleet in a run.
struct fleet_sample
{
    std::string name;
    std::map<std::string, load_sample> by_database;
    std::vector<std::string> violations;

    load_sample all() const;
};

/// A fault that was injected, in seconds from the beginning.
struct injected_fault
{
    double at = 0;
    std::string line;
};

struct load_report
{
    std::uint64_t seconds = 0;
    std::vector<fleet_sample> fleets;
    std::vector<injected_fault> faults;

    /// A table; two fleets stand side by side.
    std::string to_text() const;
    std::string to_json() const;
    /// SVG: latency over time for each fleet, failures, and faults.
    std::string to_picture() const;
};

} // namespace oleandergrade
