/// One daemon process: all its parts and their life time.
#pragma once

#include <oleandergrade/process/settings.hpp>

#include <memory>

namespace oleandergrade
{

/// Runs until SIGTERM or SIGINT, then stops gracefully: health checks fail,
/// ownership is handed over, and requests in progress are answered.
class daemon
{
public:
    explicit daemon(const settings& given);
    ~daemon();

    /// Throws boost::system::system_error if an address is taken.
    void run();

private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace oleandergrade
