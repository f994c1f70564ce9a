/// A session of this VM at a target.
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

/// The complete answer to one statement.
struct target_answer
{
    /// The rows as received, each with its line end.
    std::string rows;
    /// The target's proof that it ran the statement; set if it succeeded.
    std::optional<std::string> execution_proof;
    /// The error of a statement that failed; `none` if it succeeded.
    session_error failure = session_error::none;
    /// The error message as received, without its line end.
    std::string failure_line;
    /// Transaction state of the session after the statement.
    transaction_state transaction = transaction_state::none;
    /// The log position that the target's data had reached, including a write
    /// of this statement. Empty if the target gives none.
    std::optional<log_position> position;

    bool succeeded() const { return execution_proof.has_value(); }
};

/// Identifies the target of a session, and the client account for which it was
/// opened.
struct target_session_key
{
    std::string target;
    std::string group;
    std::string account;

    bool operator==(const target_session_key&) const = default;
};

/// A connection to a target that carries the statements of one caller after
/// another, all of the same client account. Call all members on the executor
/// given to the constructor; only one exchange may be in progress at a time. It
/// keeps the object alive. Must be owned by a shared_ptr.
class target_session : public std::enable_shared_from_this<target_session>
{
public:
    /// Does not connect yet. The codec must outlive the session.
    target_session(const boost::asio::any_io_executor& executor,
                   const session_codec& codec, target_session_key key);
    ~target_session();

    /// Connects to the target and opens the session. Fails with kind `refused`
    /// and the name of a `session_error` as message if the target refused the
    /// session, and with kind `unreachable` for all other failures.
    boost::asio::awaitable<result<bool>>
    open(const boost::asio::ip::tcp::endpoint& endpoint, milliseconds timeout);

    /// Sends `count` statements, encoded one after another in `statements`, and
    /// reads the answer to each. After an error the session is closed, and any
    /// of the statements may have run. If the target has sent more than the
    /// answers, they are returned, and the session is closed.
    boost::asio::awaitable<result<std::vector<target_answer>>>
    exchange(std::string statements, std::size_t count, milliseconds timeout);

    /// Closes the connection; an exchange in progress fails.
    void close();
    /// Whether the session was opened and not closed by this side.
    bool is_open() const { return is_open_; }
    /// Whether the session is open and the target has neither closed it nor
    /// sent anything since the last answer. Checks the socket. Call it only
    /// while no exchange is in progress.
    bool is_connection_usable();

    const target_session_key& key() const { return key_; }
    /// Whether the session is being opened or an exchange is in progress.
    bool is_exchanging() const { return is_exchanging_; }
    /// Transaction state after the last answer.
    transaction_state transaction() const { return transaction_; }

    /// The values that are set in the session at the target, by name. Kept up
    /// to date by the user of the session.
    std::map<std::string, std::string> session_values;
    /// The names of the statements that are prepared at the target. Kept up to
    /// date by the user of the session.
    std::set<std::string> prepared_names;
    /// Discards the above if it takes much memory. What is set or prepared at
    /// the target is then unknown, and the next user has to reset it.
    void forget_large_state();
    bool needs_reset = false;
    /// When its last user released the session to the pool.
    time_point idle_since;

private:
    /// Reads messages until the answer is complete.
    boost::asio::awaitable<result<target_answer>> read_answer();
    /// Closes the session after `timeout` unless the timer is stopped before.
    void start_exchange_timer(milliseconds timeout);
    void stop_exchange_timer();
    /// Returns an error of kind `timeout` if the timer has closed the session,
    /// of kind `broken` otherwise.
    error make_error(const char* step, const std::string& message) const;

    const session_codec& codec_;
    target_session_key key_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer exchange_timer_;
    line_reader reader_;
    transaction_state transaction_ = transaction_state::none;
    bool is_open_ = false;
    bool is_exchanging_ = false;
    /// The target has accepted the session.
    bool is_accepted_ = false;
    /// The timer has closed the session.
    bool has_timed_out_ = false;
};

} // namespace oleandergrade
