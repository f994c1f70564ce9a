#include <oleandergrade/connection/caller_session.hpp>

namespace oleandergrade
{

namespace
{

/// Bytes of an entry of a map, without the bytes of its texts.
constexpr std::size_t entry_overhead = 128;

std::size_t bytes_of(const std::string& name, const std::string& text)
{
    return entry_overhead + name.size() + text.size();
}

} // namespace

std::size_t
caller_session::bytes_held_after(const session_statement& statement) const
{
    auto bytes = bytes_held_;
    if (statement.verb == session_verb::set_value)
    {
        const auto found = values_.find(statement.name);
        if (found != values_.end())
            bytes -= bytes_of(found->first, found->second);
        return bytes + bytes_of(statement.name, statement.data);
    }
    const auto found = prepared_statements_.find(statement.name);
    if (found != prepared_statements_.end())
        bytes -= bytes_of(found->first, found->second.shape);
    return statement.verb == session_verb::prepare
               ? bytes + bytes_of(statement.name, statement.item_or_shape)
               : bytes;
}

// Names are removed before they are added again: a string that is assigned a
// shorter text keeps its memory.
session_error caller_session::apply(const session_statement& statement)
{
    if (transaction_ == transaction_state::failed)
        return session_error::malformed;
    const auto bytes = bytes_held_after(statement);
    const bool is_too_large = bytes > max_bytes;
    switch (statement.verb)
    {
    case session_verb::set_value:
        if (is_too_large ||
            (values_.size() >= max_names && !values_.contains(statement.name)))
            return session_error::malformed;
        values_.erase(statement.name);
        values_.emplace(statement.name, statement.data);
        bytes_held_ = bytes;
        return session_error::none;
    case session_verb::prepare:
        if (is_too_large || (prepared_statements_.size() >= max_names &&
                             !prepared_statements_.contains(statement.name)))
            return session_error::malformed;
        prepared_statements_.erase(statement.name);
        prepared_statements_.emplace(
            statement.name, prepared_statement{statement.prepares_write,
                                               statement.item_or_shape});
        bytes_held_ = bytes;
        return session_error::none;
    case session_verb::deallocate:
        if (prepared_statements_.erase(statement.name) == 0)
            return session_error::unknown_prepared;
        bytes_held_ = bytes;
        return session_error::none;
    default:
        return session_error::malformed;
    }
}

void caller_session::forget_names()
{
    values_.clear();
    prepared_statements_.clear();
    bytes_held_ = 0;
}

const prepared_statement*
caller_session::find_prepared(const std::string& name) const
{
    const auto found = prepared_statements_.find(name);
    return found == prepared_statements_.end() ? nullptr : &found->second;
}

void caller_session::begin_transaction(bool read_only)
{
    transaction_ = transaction_state::open;
    transaction_read_only_ = read_only;
}

void caller_session::fail_transaction()
{
    if (transaction_ != transaction_state::open)
        return;
    transaction_ = transaction_state::failed;
    is_state_told_ = false;
}

void caller_session::end_transaction()
{
    transaction_ = transaction_state::none;
    transaction_read_only_ = false;
}

void caller_session::record_commit(log_position position)
{
    if (!last_commit_position_ || *last_commit_position_ < position)
        last_commit_position_ = position;
}

} // namespace oleandergrade
