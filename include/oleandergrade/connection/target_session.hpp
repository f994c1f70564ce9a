/// A session at a target, which serves one caller after another.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/line_reader.hpp>
#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade
{

/// The whole answer to one statement.
struct target_answer
{
    /// Rows as lines, with their endings.
    std::string rows;
    /// Set if the statement ended well.
    std::optional<std::string> proof;
    /// Set if the statement failed.
    session_error failure = session_error::none;
    std::string failure_line;
    transaction_state state = transaction_state::none;
    std::optional<log_position> position;

    bool succeeded() const { return proof.has_value(); }
};

/// Where a session goes, and for whom.
struct target_session_key
{
    std::string target;
    std::string group;
    std::string account;

    bool operator==(const target_session_key&) const = default;
};

/// All members run on the executor given to the constructor. One exchange at a
/// time.
class target_session : public std::enable_shared_from_this<target_session>
{
public:
    target_session(const boost::asio::any_io_executor& executor,
                   const session_codec& codec, target_session_key key);
    ~target_session();

    /// Connects and greets the target. The error is "refused" with the name of
    /// a `session_error` as message if the target declined the session.
    boost::asio::awaitable<result<bool>>
    open(const boost::asio::ip::tcp::endpoint& endpoint, milliseconds timeout);

    /// Sends encoded statements in one piece and reads an answer for each.
    /// After an error the session is closed; the statements may have run.
    boost::asio::awaitable<result<std::vector<target_answer>>>
    exchange(std::string statements, std::size_t count, milliseconds timeout);

    void close();
    bool is_open() const { return open_; }
    /// Whether the target has neither closed the session nor sent anything.
    bool is_quiet();

    const target_session_key& key() const { return key_; }
    transaction_state state() const { return state_; }

    /// What the target holds for this session.
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    /// When it was given back last.
    time_point idle_since;

private:
    boost::asio::awaitable<result<target_answer>> read_answer();
    void start_timer(milliseconds timeout);
    void stop_timer();
    error broken(const char* step, const std::string& message) const;

    const session_codec& codec_;
    target_session_key key_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    line_reader reader_;
    transaction_state state_ = transaction_state::none;
    bool open_ = false;
    /// The target has taken the session.
    bool greeted_ = false;
    bool timed_out_ = false;
};

} // namespace oleandergrade
