/// Carries the statements of one owned target: queue, slots, connections.
#pragma once

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/target_connection.hpp>
#include <oleandergrade/process/fair_queue.hpp>
#include <oleandergrade/process/process_context.hpp>

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Bounds on interactive transactions.
struct transaction_limits
{
    duration idle = seconds(10);
    duration total = seconds(60);
};

/// All members run on the executor given to the constructor.
class target_gateway : public std::enable_shared_from_this<target_gateway>
{
public:
    target_gateway(boost::asio::any_io_executor executor, target declared,
                   process_context& context);

    /// Starts to watch the target.
    void start();
    /// Refuses new work; what runs is finished.
    void stop();
    /// Takes in a changed declaration and this VM's place among the owners.
    void update(const target& declared, std::size_t owner_rank);

    /// Runs a statement within its budget.
    boost::asio::awaitable<answer> execute(statement sent);

    const boost::asio::any_io_executor& executor() const { return executor_; }
    /// Statements that run or wait.
    std::size_t active() const { return active_; }
    std::size_t open_transactions() const { return transactions_.size(); }
    boost::json::object dump() const;

private:
    struct open_transaction
    {
        std::string account;
        std::unique_ptr<target_connection> connection;
        std::uint64_t term = 0;
        time_point started_at;
        time_point used_at;
        bool busy = false;
    };
    struct confirmation_wait
    {
        log_position position;
        std::shared_ptr<async_event> event;
    };
    class turn;

    boost::asio::awaitable<answer> run_single(statement sent,
                                              time_point deadline);
    boost::asio::awaitable<answer> begin(statement sent, time_point deadline);
    boost::asio::awaitable<bool> await_transaction_place(time_point deadline);
    boost::asio::awaitable<answer> run_in_transaction(statement sent,
                                                      time_point deadline);
    boost::asio::awaitable<answer> confirm(answer done, time_point deadline);
    boost::asio::awaitable<answer> end_transaction(std::string id,
                                                   statement sent,
                                                   answer outcome,
                                                   time_point deadline);
    boost::asio::awaitable<std::optional<answer>>
    take_turn(const statement& sent, time_point deadline);
    void release_turn();
    std::optional<answer> refuse_early(const statement& sent) const;
    std::unique_ptr<target_connection> take_connection();
    void give_back(std::unique_ptr<target_connection> connection);
    std::size_t connection_limit() const;

    boost::asio::awaitable<void> open_connections();
    boost::asio::awaitable<void> watch_target();
    boost::asio::awaitable<void> sleep_as_replica();
    void take_in_status(const target_status& status);
    void resolve_confirmations();
    boost::asio::awaitable<void> sweep_transactions();

    boost::asio::any_io_executor executor_;
    target declared_;
    process_context& context_;
    std::size_t owner_rank_ = 0;
    bool stopping_ = false;
    bool watching_ = false;
    bool sweeping_ = false;
    std::size_t active_ = 0;
    std::size_t running_ = 0;
    std::size_t open_connections_ = 0;
    std::uint64_t next_ticket_ = 1;
    fair_queue queue_;
    std::map<std::uint64_t, std::shared_ptr<async_event>> turns_;
    std::vector<std::unique_ptr<target_connection>> idle_;
    std::map<std::string, open_transaction> transactions_;
    std::optional<target_status> status_;
    time_point confirmed_at_;
    std::vector<confirmation_wait> confirmations_;
    transaction_limits transaction_limits_;
};

} // namespace oleandergrade
