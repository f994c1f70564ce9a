#include <oleandergrade/connection/caller_session.hpp>

namespace oleandergrade
{

session_error caller_session::apply(const session_statement& statement)
{
    if (transaction_ == transaction_state::failed)
        return session_error::malformed;
    switch (statement.verb)
    {
    case session_verb::set_value:
        if (values_.size() >= max_names && !values_.contains(statement.name))
            return session_error::malformed;
        values_[statement.name] = statement.data;
        return session_error::none;
    case session_verb::prepare:
        if (prepared_statements_.size() >= max_names &&
            !prepared_statements_.contains(statement.name))
            return session_error::malformed;
        prepared_statements_[statement.name] = {statement.prepares_write,
                                                statement.item_or_shape};
        return session_error::none;
    case session_verb::deallocate:
        return prepared_statements_.erase(statement.name) > 0
                   ? session_error::none
                   : session_error::unknown_prepared;
    default:
        return session_error::malformed;
    }
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
