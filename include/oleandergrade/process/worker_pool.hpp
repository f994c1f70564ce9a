/// Threads that each run one Asio context.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace oleandergrade
{

/// Work stays on the worker where it began, so that most state needs no lock.
class worker_pool
{
public:
    explicit worker_pool(std::size_t threads);
    ~worker_pool();

    std::size_t size() const { return workers_.size(); }
    boost::asio::io_context& worker(std::size_t index);
    /// The worker responsible for a name, always the same one.
    boost::asio::io_context& worker_for(const std::string& name);

    void start();
    /// Ends all workers and waits for them.
    void stop();

private:
    struct worker_thread;
    std::vector<std::unique_ptr<worker_thread>> workers_;
};

} // namespace oleandergrade
