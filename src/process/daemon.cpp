#include <oleandergrade/process/daemon.hpp>

#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/http_server.hpp>
#include <oleandergrade/process/admin_service.hpp>
#include <oleandergrade/process/entry_service.hpp>
#include <oleandergrade/process/log.hpp>
#include <oleandergrade/process/peer_service.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <condition_variable>
#include <mutex>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

constexpr auto part = "daemon";
/// Time for the other VMs and the balancer to learn that this VM leaves.
constexpr auto notice_period = milliseconds(3000);
/// Longest wait for requests and transactions to end.
constexpr auto drain_limit = milliseconds(15000);
constexpr auto drain_poll_interval = milliseconds(50);

asio::ip::tcp::endpoint endpoint_of(const std::string& address)
{
    return value_of(parse_endpoint(address));
}

} // namespace

struct daemon::parts
{
    explicit parts(const settings& given);

    void start();
    asio::awaitable<void> stop_gracefully();
    std::size_t open_connections() const;

    process_context context;
    worker_pool workers;
    std::vector<std::unique_ptr<peer_directory>> peers;
    owner_service owner;
    bank_service bank;
    admission_service admission;
    control_service control;
    admin_service admin;
    std::vector<std::unique_ptr<entry_service>> entries;
    std::vector<std::unique_ptr<peer_service>> peer_services;
    std::vector<std::unique_ptr<http_server>> caller_servers;
    std::unique_ptr<http_server> admin_server;
    asio::signal_set signals;

    std::mutex mutex;
    std::condition_variable ended;
    bool has_ended = false;
};

daemon::parts::parts(const settings& given)
    : context(given), workers(given.threads), owner(context, workers),
      admission(context, bank, workers.worker(0).get_executor(),
                *peers.emplace_back(std::make_unique<peer_directory>(
                    workers.worker(0).get_executor()))),
      control(context, owner, bank, admission, workers.worker(0).get_executor(),
              *peers.front()),
      admin(context, owner, bank, control, *peers.front()),
      signals(workers.worker(0), SIGTERM, SIGINT)
{
    for (std::size_t i = 1; i < workers.size(); ++i)
        peers.push_back(
            std::make_unique<peer_directory>(workers.worker(i).get_executor()));
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        auto& worker = workers.worker(i);
        entries.push_back(std::make_unique<entry_service>(context, admission,
                                                          owner, *peers[i]));
        peer_services.push_back(std::make_unique<peer_service>(
            worker, endpoint_of(given.peer_listen), context, owner, bank,
            control, workers.worker(0).get_executor()));
        http_handlers handlers;
        handlers.serve = [&entry = *entries[i]](http_request request)
        { return entry.serve(std::move(request)); };
        caller_servers.push_back(std::make_unique<http_server>(
            worker, endpoint_of(given.listen), http_limits{}, handlers));
    }
    http_handlers handlers;
    handlers.serve = [this](http_request request)
    { return admin.serve(std::move(request)); };
    admin_server = std::make_unique<http_server>(
        workers.worker(0), endpoint_of(given.admin_listen), http_limits{},
        handlers);
}

void daemon::parts::start()
{
    control.start();
    for (const auto& service : peer_services)
        service->start();
    signals.async_wait(
        [this](boost::system::error_code failure, int)
        {
            if (!failure)
                asio::co_spawn(workers.worker(0), stop_gracefully(),
                               asio::detached);
        });
    workers.start();
}

asio::awaitable<void> daemon::parts::stop_gracefully()
{
    log(log_level::info, part, "stops gracefully");
    for (const auto& entry : entries)
        entry->set_leaving();
    for (const auto& server : caller_servers)
        server->drain();
    co_await sleep_for(notice_period);
    owner.stop();
    for (const auto& server : caller_servers)
        server->stop();
    const auto deadline = clock::now() + drain_limit;
    while (clock::now() < deadline)
    {
        const auto busy = co_await owner.active();
        if (busy == 0 && open_connections() == 0)
            break;
        co_await sleep_for(drain_poll_interval);
    }
    log(log_level::info, part, "has stopped");
    const std::lock_guard lock(mutex);
    has_ended = true;
    ended.notify_all();
}

std::size_t daemon::parts::open_connections() const
{
    std::size_t total = 0;
    for (const auto& server : caller_servers)
        total += server->open_connections();
    return total;
}

daemon::daemon(const settings& given) : parts_(std::make_unique<parts>(given))
{
}

daemon::~daemon() = default;

void daemon::run()
{
    log(log_level::info, part,
        "serves callers at " + parts_->context.own.listen + " in " +
            parts_->context.own.failure_domain);
    parts_->start();
    std::unique_lock lock(parts_->mutex);
    parts_->ended.wait(lock, [this] { return parts_->has_ended; });
    lock.unlock();
    parts_->workers.stop();
}

} // namespace oleandergrade
