/// Remembers what this process did with recent requests, and why.
#pragma once

#include <oleandergrade/clock.hpp>

#include <array>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace oleandergrade
{

/// One step taken for a request.
struct trace_event
{
    /// Microseconds since the process started.
    std::int64_t at_us = 0;
    std::string text;
};

/// A bounded memory of traces in shards, each under its own lock.
class trace_store
{
public:
    trace_store();

    void record(const std::string& request_number, std::string text);
    /// Events of one request in the order of their time; empty if unknown.
    std::vector<trace_event> find(const std::string& request_number) const;
    /// The events as a JSON array.
    std::string find_json(const std::string& request_number) const;

private:
    static constexpr std::size_t shard_count = 16;
    static constexpr std::size_t requests_per_shard = 512;

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, std::vector<trace_event>> requests;
        std::deque<std::string> order;
    };

    shard& shard_of(const std::string& request_number);
    const shard& shard_of(const std::string& request_number) const;

    time_point started_;
    std::array<shard, shard_count> shards_;
};

} // namespace oleandergrade
