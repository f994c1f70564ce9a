/// The configuration that is in force at this VM.
#pragma once

#include <oleandergrade/version/route_table.hpp>

#include <functional>
#include <vector>

namespace oleandergrade
{

/// Versions only rise while the process runs.
class configuration_holder
{
public:
    /// Null until the first configuration is known.
    const route_table_ptr& current() const { return current_; }
    std::uint64_t version() const
    {
        return current_ == nullptr ? 0 : current_->version;
    }

    /// Puts a configuration into force. Returns false if it is not newer.
    bool use(route_table_ptr table);
    /// Calls `observer` after each change.
    void subscribe(std::function<void(const route_table&)> observer);

private:
    route_table_ptr current_;
    std::vector<std::function<void(const route_table&)>> observers_;
};

} // namespace oleandergrade
