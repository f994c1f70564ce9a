/// A caller that remembers what it was told, and checks later answers by it.
#pragma once

#include <oleandergrade/connection/target_session.hpp>
#include <oleandergrade/version/route_table.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// What a caller has learnt of the numbers that it wrote to its item.
struct write_history
{
    unsigned last = 0;
    /// When each acknowledgement arrived.
    std::map<unsigned, time_point> acknowledged;
    /// Refused with the promise that nothing was kept, or never sent.
    std::set<unsigned> denied;
    std::set<unsigned> in_doubt;
};

/// How an operation ended, as the caller saw it.
struct caller_outcome
{
    session_error failure = session_error::none;
    /// No session could be opened, or it broke.
    bool lost_session = false;
    duration latency{0};
};

/// Writes rising numbers to one item of a database and reads them back; the
/// item is its own. All members run on one executor, one operation at a time.
class checked_caller
{
public:
    checked_caller(boost::asio::any_io_executor executor,
                   const session_codec& codec, route used, std::string key,
                   std::string item);

    /// Takes another VM from the next operation on.
    void turn_to(boost::asio::ip::tcp::endpoint vm);
    boost::asio::awaitable<caller_outcome> write();
    boost::asio::awaitable<caller_outcome> read();
    /// Two writes in a transaction; both or neither must be kept.
    boost::asio::awaitable<caller_outcome> write_in_transaction();

    const write_history& history() const { return history_; }
    const std::string& item() const { return item_; }
    const route& used() const { return used_; }
    /// Reads that showed less than they had to.
    const std::vector<std::string>& violations() const { return violations_; }

private:
    boost::asio::awaitable<bool> open();
    boost::asio::awaitable<result<target_answer>> exchange(std::string text);
    void note_write(unsigned number, session_error failure);
    unsigned floor_at(time_point begun) const;
    void check_value(const std::string& value, unsigned floor);

    boost::asio::any_io_executor executor_;
    const session_codec& codec_;
    route used_;
    std::string key_;
    std::string item_;
    boost::asio::ip::tcp::endpoint vm_;
    std::shared_ptr<target_session> session_;
    /// Highest number acknowledged on the present session.
    unsigned session_floor_ = 0;
    std::uint64_t next_statement_ = 0;
    write_history history_;
    std::vector<std::string> violations_;
};

/// What the log of a group shows of a caller's item that contradicts what the
/// caller was told. `log` has an item and a number in each line.
std::vector<std::string> check_log(const checked_caller& caller,
                                   const std::string& log);

} // namespace oleandergrade
