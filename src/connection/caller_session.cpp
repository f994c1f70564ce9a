#include <oleandergrade/connection/caller_session.hpp>

namespace oleandergrade
{

session_error caller_session::apply(const session_statement& statement)
{
    if (state_ == transaction_state::failed)
        return session_error::malformed;
    switch (statement.verb)
    {
    case session_verb::set_value:
        if (values_.size() >= most_names && !values_.contains(statement.name))
            return session_error::malformed;
        values_[statement.name] = statement.data;
        return session_error::none;
    case session_verb::prepare:
        if (prepared_.size() >= most_names &&
            !prepared_.contains(statement.name))
            return session_error::malformed;
        prepared_[statement.name] = {statement.prepares_write,
                                     statement.subject};
        return session_error::none;
    case session_verb::deallocate:
        return prepared_.erase(statement.name) > 0
                   ? session_error::none
                   : session_error::unknown_prepared;
    default:
        return session_error::malformed;
    }
}

const prepared_statement*
caller_session::find_prepared(const std::string& name) const
{
    const auto found = prepared_.find(name);
    return found == prepared_.end() ? nullptr : &found->second;
}

void caller_session::begin(bool read_only)
{
    state_ = transaction_state::open;
    read_only_ = read_only;
}

void caller_session::fail()
{
    if (state_ == transaction_state::open)
        state_ = transaction_state::failed;
}

void caller_session::end()
{
    state_ = transaction_state::none;
    read_only_ = false;
}

void caller_session::on_commit(log_position position)
{
    if (!position_ || *position_ < position)
        position_ = position;
}

} // namespace oleandergrade
