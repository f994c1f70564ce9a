/// A caller for tests and load tools that checks answers against its own
/// earlier writes.
#pragma once

#include <oleandergrade/connection/target_session.hpp>
#include <oleandergrade/operations/text_check.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// The outcomes of a caller's writes, by the numbers that it wrote to its item.
struct write_history
{
    /// The number of the latest write; 0 before the first one.
    unsigned last_number = 0;
    /// The acknowledged writes and the arrival times of the acknowledgements.
    std::map<unsigned, time_point> acknowledged_at;
    /// Writes that must not take effect: they were never sent, or their error
    /// promised that nothing was kept.
    std::set<unsigned> not_applied;
    /// Writes that may or may not have taken effect.
    std::set<unsigned> in_doubt;
};

/// The outcome of an operation from the caller's point of view.
struct caller_outcome
{
    session_error failure = session_error::none;
    /// The session could not be opened, or broke during the operation.
    bool lost_session = false;
    duration latency{0};
};

/// Returns the statements of an operation, for the session with this number;
/// the sessions of a caller are numbered from 1.
using statement_source =
    std::function<std::vector<caller_statement>(std::uint64_t session)>;

/// Writes increasing numbers to one item of a database and reads them back. No
/// other caller may write the item. Not thread-safe: all members must run on
/// one executor, and only one operation may be in progress at a time.
class verifying_caller
{
public:
    /// `key` authenticates the caller; `item` is the item to write and read.
    verifying_caller(boost::asio::any_io_executor executor,
                     const session_codec& codec, route database_route,
                     std::string key, std::string item);

    /// Closes the session; the next operation opens one at this VM. Must be
    /// called before the first operation.
    void switch_to_vm(boost::asio::ip::tcp::endpoint vm);
    /// Writes the next number.
    boost::asio::awaitable<caller_outcome> write();
    /// Reads the item and checks that the number is recent enough for the
    /// route's consistency.
    boost::asio::awaitable<caller_outcome> read();
    /// Writes the next two numbers in one transaction; either both or neither
    /// must take effect.
    boost::asio::awaitable<caller_outcome> write_in_transaction();
    /// Sends the statements of an operation until one fails. They must be valid
    /// in the session and must not write the caller's item. Closes the session
    /// unless only the last one has failed, outside a transaction.
    boost::asio::awaitable<caller_outcome> run(statement_source source);

    /// Records the texts of all further statements in `check`, which must
    /// outlive the caller.
    void record_texts(text_check& check) { text_check_ = &check; }

    const write_history& history() const { return history_; }
    const std::string& item() const { return item_; }
    /// The route of the caller's database.
    const route& assigned_route() const { return route_; }
    /// Messages about reads that returned older data than the route's
    /// consistency allows.
    const std::vector<std::string>& violations() const { return violations_; }

private:
    /// Opens a session unless one is open that can be used. Returns whether a
    /// session is open.
    boost::asio::awaitable<bool> ensure_session();
    /// Sends a statement and waits for its answer.
    boost::asio::awaitable<result<target_answer>>
    exchange(caller_statement statement);
    /// Records the outcome of the write of a number.
    void record_write(unsigned number, session_error failure);
    /// Returns the lowest number that a read begun at this time may return.
    unsigned min_number_for_read(time_point started_at) const;
    /// Adds a violation if the value read is older than allowed.
    void verify_read_number(const std::string& value, unsigned min_number);

    boost::asio::any_io_executor executor_;
    const session_codec& codec_;
    route route_;
    std::string key_;
    std::string item_;
    boost::asio::ip::tcp::endpoint vm_;
    std::shared_ptr<target_session> session_;
    /// Highest number acknowledged on the current session.
    unsigned last_acknowledged_in_session_ = 0;
    std::uint64_t last_statement_number_ = 0;
    std::uint64_t session_number_ = 0;
    /// Null if texts are not recorded.
    text_check* text_check_ = nullptr;
    write_history history_;
    std::vector<std::string> violations_;
};

/// Compares a group's log with a caller's history and returns a message for
/// each write that was acknowledged but is missing, was refused but ran, or ran
/// more than once. Each line of `log` consists of an item and a number.
std::vector<std::string> find_log_violations(const verifying_caller& caller,
                                             const std::string& log);

} // namespace oleandergrade
