/// The state that the proxy keeps for one session of a caller. Does no I/O and
/// reads no clock.
#pragma once

#include <oleandergrade/connection/session_message.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace oleandergrade
{

/// A statement that a caller has prepared. The caller refers to it by a name
/// that it chose itself.
struct prepared_statement
{
    bool writes = false;
    /// What the statement does, as opaque text that only targets interpret.
    /// Each EXECUTE supplies the item and the data.
    std::string shape;

    bool operator==(const prepared_statement&) const = default;
};

/// Session values, prepared statements and transaction state of one session of
/// a caller. Different callers may use the same name for different things, so
/// each session has its own names.
class caller_session
{
public:
    /// Maximum number of values that one session may hold, and likewise of
    /// prepared statements.
    static constexpr std::size_t max_names = 256;
    /// Maximum number of bytes that one session may hold, as counted by
    /// bytes_held(). A statement that is forwarded with all of them, and with
    /// the longest text, fits into a frame between VMs.
    static constexpr std::size_t max_bytes = 4 * 1024 * 1024;

    /// Executes a statement that needs no target: SET, PREPARE or DEALLOC.
    /// Returns `none` on success, `unknown_prepared` if the name to deallocate
    /// is not prepared, and `malformed` for any other statement, in a failed
    /// transaction, and if the session would hold too many names or bytes.
    session_error apply(const session_statement& statement);

    /// Number of bytes that names, values and shapes take, with what the
    /// containers need for each.
    std::size_t bytes_held() const { return bytes_held_; }
    /// Returns what bytes_held() will be after apply() has succeeded.
    std::size_t bytes_held_after(const session_statement& statement) const;
    /// Discards all values and prepared statements.
    void forget_names();

    /// Returns the statement that the caller prepared under this name; null if
    /// there is none. The pointer is valid until the next call of apply().
    const prepared_statement* find_prepared(const std::string& name) const;

    /// Records that the caller has begun a transaction.
    void begin_transaction(bool read_only);
    /// Records that the open transaction has failed. Does nothing if none is
    /// open.
    void fail_transaction();
    /// Records that an answer has told the caller the transaction's state.
    void on_state_told() { is_state_told_ = true; }
    /// Whether the transaction has failed without any fault of the caller, who
    /// does not know it yet.
    bool has_failed_untold() const
    {
        return transaction_ == transaction_state::failed && !is_state_told_;
    }
    /// Records that the transaction was committed or rolled back.
    void end_transaction();
    transaction_state transaction() const { return transaction_; }
    /// Whether the transaction was begun as read-only. False outside a
    /// transaction.
    bool is_transaction_read_only() const { return transaction_read_only_; }

    /// The values that the caller has set for its session, by name.
    const std::map<std::string, std::string>& values() const { return values_; }

    /// Records the log position of a commit of this session, so that its later
    /// reads see that commit. Positions before the recorded one are ignored.
    void record_commit(log_position position);
    /// The latest recorded position; empty if the session has not committed.
    const std::optional<log_position>& last_commit_position() const
    {
        return last_commit_position_;
    }

private:
    std::map<std::string, std::string> values_;
    std::map<std::string, prepared_statement> prepared_statements_;
    std::size_t bytes_held_ = 0;
    transaction_state transaction_ = transaction_state::none;
    bool transaction_read_only_ = false;
    /// The caller knows the state of its transaction.
    bool is_state_told_ = true;
    std::optional<log_position> last_commit_position_;
};

} // namespace oleandergrade
