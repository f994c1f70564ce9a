/// Runs statements that other VMs have forwarded.
#pragma once

#include <oleandergrade/connection/forwarded_statement.hpp>
#include <oleandergrade/process/configuration/active_configuration.hpp>
#include <oleandergrade/process/serving/statement_runner.hpp>
#include <oleandergrade/process/timer_service.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// Number of statements of one entry VM, by what became of them.
struct served_counts
{
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t not_accepted = 0;
};

/// Runs forwarded statements with this VM's statement runner, and keeps the
/// open forwarded transactions. A transaction is rolled back when the entry VM
/// requests it, when the link that it came over is closed, when another
/// incarnation of the entry VM appears, and when it is idle for too long.
///
/// All members must be called on the executor given to the constructor.
class forwarded_statement_server
{
public:
    /// Maximum number of forwarded statements under way. Each takes a few
    /// kilobytes; further ones are not accepted.
    static constexpr std::size_t max_statements = 512;

    /// The references must outlive the object.
    forwarded_statement_server(boost::asio::any_io_executor executor,
                               statement_runner& runner,
                               const serving_view& view,
                               const active_configuration& configuration);
    ~forwarded_statement_server();

    /// Starts the periodic check for idle transactions.
    void start();

    /// Runs a statement that arrived over the link with this number.
    boost::asio::awaitable<forwarded_answer>
    serve(forwarded_statement statement, std::uint64_t link);
    /// Rolls back a transaction. Accepted also if it is not open.
    boost::asio::awaitable<forwarded_answer> end(forwarded_end request);
    /// Rolls back the transactions that came over a link that is closed.
    void on_link_closed(std::uint64_t link);
    /// Rolls back the open transactions that have no statement under way. To be
    /// called when the VM stops.
    void fail_transactions();

    /// Returns the number of statements under way.
    std::size_t statement_count() const { return statements_under_way_; }
    /// Returns the number of open transactions.
    std::size_t transaction_count() const { return transactions_.size(); }
    /// Returns the counters of each entry VM by its name.
    const std::map<std::string, served_counts>& counts() const
    {
        return counts_;
    }

private:
    /// A forwarded transaction that has not ended.
    struct open_transaction;
    /// The incarnations of an entry VM.
    struct entry_vm
    {
        std::uint64_t incarnation = 0;
        /// Earlier incarnations. Messages of theirs may still arrive.
        std::deque<std::uint64_t> ended_incarnations;
    };

    /// Returns why the statement is not accepted; empty if it is.
    std::string reason_not_to_accept(const forwarded_statement& statement);
    boost::asio::awaitable<forwarded_answer>
    run_in_transaction(const forwarded_statement& statement,
                       std::uint64_t link);
    /// Rolls back a transaction that is no longer listed as open.
    boost::asio::awaitable<void>
    roll_back(std::shared_ptr<open_transaction> transaction);
    /// Records the incarnation of the entry VM, and rolls back the transactions
    /// of earlier ones. Returns false if the message is of an earlier one.
    bool observe_incarnation(const forwarded_session_id& session);
    /// Rolls back a transaction, at once or when its statement under way has
    /// ended, and logs why.
    void abort_transaction(const std::shared_ptr<open_transaction>& transaction,
                           const char* reason);
    /// Rolls back the transactions that fulfil a condition.
    template <typename Condition>
    void abort_transactions(Condition condition, const char* reason);

    boost::asio::any_io_executor executor_;
    statement_runner& runner_;
    const serving_view& view_;
    const active_configuration& configuration_;
    std::map<forwarded_session_id, std::shared_ptr<open_transaction>>
        transactions_;
    std::map<std::string, entry_vm> entry_vms_;
    std::map<std::string, served_counts> counts_;
    std::size_t statements_under_way_ = 0;
    timer_service timers_;
};

} // namespace oleandergrade
