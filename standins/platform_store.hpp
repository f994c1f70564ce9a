/// Stand-in for the platform's key-value service, without I/O.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins
{

using oleandergrade::duration;
using oleandergrade::time_point;

struct stored_value
{
    std::string value;
    std::uint64_t revision = 0;
    std::optional<time_point> lease_end;
};

struct keyed_value
{
    std::string key;
    stored_value stored;
};

/// Counts of calls served, by kind.
struct call_counts
{
    std::uint64_t get = 0;
    std::uint64_t list = 0;
    std::uint64_t compare_and_swap = 0;
    std::uint64_t renew = 0;
    std::uint64_t watch = 0;
};

/// A key-value map with revisions, compare-and-swap and leases. Values hold
/// up to one megabyte.
class platform_store
{
public:
    static constexpr std::size_t max_value_bytes = 1024 * 1024;

    std::optional<stored_value> get(const std::string& key, time_point now);
    std::vector<keyed_value> list(const std::string& prefix, time_point now);

    /// Writes if the key's revision is the expected one; 0 stands for an
    /// absent key. Returns the new revision, or nothing on a conflict.
    std::optional<std::uint64_t> compare_and_swap(const std::string& key,
                                                  std::uint64_t expected,
                                                  const std::string& value,
                                                  std::optional<duration> lease,
                                                  time_point now);

    /// Extends a lease if the revision is still the expected one.
    bool renew(const std::string& key, std::uint64_t revision, duration lease,
               time_point now);

    /// Counts a waiting watch as one call.
    void count_watch() { ++counts_.watch; }
    /// Revision of the latest change below a prefix; 0 if there was none.
    std::uint64_t latest_revision(const std::string& prefix, time_point now);

    const call_counts& counts() const { return counts_; }

private:
    void expire(time_point now);

    std::map<std::string, stored_value> values_;
    std::map<std::string, std::uint64_t> removals_;
    std::uint64_t revision_ = 0;
    call_counts counts_;
};

} // namespace standins
