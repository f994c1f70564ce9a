#include <oleandergrade/process/worker_pool.hpp>

#include <functional>
#include <string>

namespace oleandergrade
{
namespace asio = boost::asio;

struct worker_pool::worker_thread
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard{
        context.get_executor()};
    std::thread thread;
};

worker_pool::worker_pool(std::size_t threads)
{
    for (std::size_t i = 0; i < threads; ++i)
        workers_.push_back(std::make_unique<worker_thread>());
}

worker_pool::~worker_pool()
{
    stop();
}

asio::io_context& worker_pool::worker(std::size_t index)
{
    return workers_.at(index)->context;
}

asio::io_context& worker_pool::worker_for(const std::string& name)
{
    return worker(std::hash<std::string>()(name) % workers_.size());
}

void worker_pool::start()
{
    for (auto& worker : workers_)
        worker->thread =
            std::thread([&context = worker->context] { context.run(); });
}

void worker_pool::stop()
{
    for (auto& worker : workers_)
        worker->context.stop();
    for (auto& worker : workers_)
        if (worker->thread.joinable())
            worker->thread.join();
}

} // namespace oleandergrade
