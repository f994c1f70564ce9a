/// Holds the configuration that is in force at this VM.
#pragma once

#include <oleandergrade/version/route_table.hpp>

#include <functional>
#include <vector>

namespace oleandergrade
{

/// The active configuration and its observers. Its version never decreases
/// while the process runs.
class active_configuration
{
public:
    /// Returns null until the first configuration has been applied.
    const route_table_ptr& current() const { return current_; }
    /// Returns 0 until the first configuration has been applied.
    std::uint64_t version() const
    {
        return current_ == nullptr ? 0 : current_->version;
    }

    /// Puts a configuration into force and calls the observers. Returns false,
    /// and does nothing, if it is null or not newer than the current one.
    bool apply(route_table_ptr table);
    /// Calls `observer` with each configuration that is applied from now on.
    void subscribe(std::function<void(const route_table&)> observer);

private:
    route_table_ptr current_;
    std::vector<std::function<void(const route_table&)>> observers_;
};

} // namespace oleandergrade
