/// What a caller's session has agreed with the product. Pure logic.
#pragma once

#include <oleandergrade/connection/session_message.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace oleandergrade
{

/// A statement that a caller prepared under a name of its own.
struct prepared_statement
{
    bool writes = false;
    std::string shape;

    bool operator==(const prepared_statement&) const = default;
};

/// Values, prepared statements and transaction state of one session. Callers'
/// names collide; each session has its own.
class caller_session
{
public:
    /// Values and prepared statements that one session may hold.
    static constexpr std::size_t most_names = 256;

    /// Carries out a statement that needs no target: values, prepared
    /// statements. Returns `none` if it went well.
    session_error apply(const session_statement& statement);

    /// The statement that a caller's EXECUTE names; null if it was never
    /// prepared.
    const prepared_statement* find_prepared(const std::string& name) const;

    void begin(bool read_only);
    void fail();
    void end();
    transaction_state state() const { return state_; }
    bool is_read_only() const { return read_only_; }

    const std::map<std::string, std::string>& values() const { return values_; }

    /// A commit of this session got this position.
    void on_commit(log_position position);
    const std::optional<log_position>& position() const { return position_; }

private:
    std::map<std::string, std::string> values_;
    std::map<std::string, prepared_statement> prepared_;
    transaction_state state_ = transaction_state::none;
    bool read_only_ = false;
    std::optional<log_position> position_;
};

} // namespace oleandergrade
