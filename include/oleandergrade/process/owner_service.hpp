/// The owner role of one process: the gateways of the targets it owns.
#pragma once

#include <oleandergrade/process/target_gateway.hpp>
#include <oleandergrade/process/worker_pool.hpp>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace oleandergrade
{

/// Keeps a gateway for each target that this VM owns in first or second
/// place. Safe to use from several threads.
class owner_service
{
public:
    owner_service(process_context& context, worker_pool& workers);

    /// Takes in a new configuration or VM list.
    void refresh();
    /// Gives up all targets; what runs is finished.
    void stop();

    /// Runs a statement on the worker of its target.
    boost::asio::awaitable<answer> execute(statement sent);

    /// Names of the targets owned in first place.
    std::vector<std::string> owned_targets() const;
    /// Statements and transactions in progress.
    boost::asio::awaitable<std::size_t> active() const;
    /// State of all gateways. Reads each on its own worker.
    boost::asio::awaitable<boost::json::array> dump() const;

private:
    std::shared_ptr<target_gateway> find(const std::string& target) const;
    std::map<std::string, std::shared_ptr<target_gateway>> gateways() const;

    process_context& context_;
    worker_pool& workers_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<target_gateway>> gateways_;
    std::map<std::string, std::size_t> ranks_;
    bool stopping_ = false;
};

} // namespace oleandergrade
