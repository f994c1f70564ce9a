#include <oleandergrade/operations/verifying_caller.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

constexpr auto open_timeout = milliseconds(1000);
/// Added to the route's statement timeout, so that the VM's answer arrives
/// before the caller gives up.
constexpr auto answer_timeout_margin = milliseconds(500);

/// Returns the number in the text of a row, or 0 if the text is not a number,
/// such as the "none" of an item that was never written.
unsigned number_or_zero(const std::string& text)
{
    unsigned number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Returns a statement that a target must receive as it is.
caller_statement target_statement(std::string text)
{
    caller_statement statement;
    statement.text = std::move(text);
    statement.text_at_target = statement.text;
    return statement;
}

} // namespace

verifying_caller::verifying_caller(asio::any_io_executor executor,
                                   const session_codec& codec,
                                   route database_route, std::string key,
                                   std::string item)
    : executor_(std::move(executor)), codec_(codec),
      route_(std::move(database_route)), key_(std::move(key)),
      item_(std::move(item))
{
}

void verifying_caller::switch_to_vm(asio::ip::tcp::endpoint vm)
{
    vm_ = std::move(vm);
    if (session_ != nullptr)
        session_->close();
}

asio::awaitable<bool> verifying_caller::ensure_session()
{
    if (session_ != nullptr && session_->is_connection_usable())
        co_return true;
    last_acknowledged_in_session_ = 0;
    ++session_number_;
    session_ = std::make_shared<target_session>(
        executor_, codec_, target_session_key{"", route_.database, key_});
    const auto opened = co_await session_->open(vm_, open_timeout);
    co_return succeeded(opened);
}

asio::awaitable<result<target_answer>>
verifying_caller::exchange(caller_statement statement)
{
    std::string bytes;
    const auto id = item_ + "-" + std::to_string(++last_statement_number_) +
                    statement.id_suffix;
    codec_.append_statement(bytes, id, statement.text, std::nullopt);
    if (text_check_ != nullptr)
        text_check_->add_sent(id, statement);
    auto outcome = co_await session_->exchange(
        std::move(bytes), 1, route_.statement_timeout + answer_timeout_margin);
    if (!succeeded(outcome))
        co_return error_of(outcome);
    auto& answer = value_of(outcome).front();
    if (text_check_ != nullptr)
        text_check_->add_answer(id, answer.failure);
    co_return std::move(answer);
}

void verifying_caller::record_write(unsigned number, session_error failure)
{
    if (failure == session_error::none)
    {
        history_.acknowledged_at[number] = current_time();
        last_acknowledged_in_session_ = number;
    }
    else if (guarantees_not_applied(failure))
    {
        history_.not_applied.insert(number);
    }
    else
    {
        history_.in_doubt.insert(number);
    }
}

asio::awaitable<caller_outcome> verifying_caller::write()
{
    const auto started_at = current_time();
    const auto number = ++history_.last_number;
    caller_outcome outcome;
    const bool is_open = co_await ensure_session();
    if (!is_open)
    {
        history_.not_applied.insert(number);
        outcome.lost_session = true;
        co_return outcome;
    }
    auto text = codec_.encode_write(item_, std::to_string(number));
    const auto answer = co_await exchange(target_statement(std::move(text)));
    outcome.latency = current_time() - started_at;
    outcome.lost_session = !succeeded(answer);
    outcome.failure =
        succeeded(answer) ? value_of(answer).failure : session_error::in_doubt;
    record_write(number, outcome.failure);
    co_return outcome;
}

asio::awaitable<caller_outcome> verifying_caller::write_in_transaction()
{
    const auto started_at = current_time();
    const auto first_number = ++history_.last_number;
    const auto second_number = ++history_.last_number;
    caller_outcome outcome;
    const bool is_open = co_await ensure_session();
    bool reached_commit = false;
    std::vector<caller_statement> statements{
        {codec_.encode_begin(false), std::nullopt, ""},
        target_statement(
            codec_.encode_write(item_, std::to_string(first_number))),
        target_statement(
            codec_.encode_write(item_, std::to_string(second_number))),
        target_statement(codec_.encode_commit())};
    outcome.lost_session = !is_open;
    for (std::size_t i = 0; is_open && i < statements.size(); ++i)
    {
        reached_commit = i + 1 == statements.size();
        const auto answer = co_await exchange(statements[i]);
        outcome.lost_session = !succeeded(answer);
        outcome.failure = succeeded(answer) ? value_of(answer).failure
                                            : session_error::in_doubt;
        if (outcome.failure != session_error::none)
            break;
    }
    // If the commit was not sent, neither write may take effect.
    if (!reached_commit)
    {
        if (outcome.failure == session_error::none || outcome.lost_session)
            outcome.failure = session_error::aborted;
        if (session_ != nullptr)
            session_->close();
        history_.not_applied.insert({first_number, second_number});
    }
    else
    {
        record_write(first_number, outcome.failure);
        record_write(second_number, outcome.failure);
    }
    outcome.latency = current_time() - started_at;
    co_return outcome;
}

asio::awaitable<caller_outcome> verifying_caller::run(statement_source source)
{
    const auto started_at = current_time();
    caller_outcome outcome;
    const bool is_open = co_await ensure_session();
    outcome.lost_session = !is_open;
    const auto statements =
        is_open ? source(session_number_) : std::vector<caller_statement>();
    for (std::size_t i = 0;
         i < statements.size() && outcome.failure == session_error::none; ++i)
    {
        const auto answer = co_await exchange(statements[i]);
        outcome.lost_session = !succeeded(answer);
        outcome.failure = succeeded(answer) ? value_of(answer).failure
                                            : session_error::in_doubt;
        const bool is_last = i + 1 == statements.size();
        if (outcome.failure != session_error::none &&
            (!is_last || session_->transaction() != transaction_state::none))
            session_->close();
    }
    outcome.latency = current_time() - started_at;
    co_return outcome;
}

asio::awaitable<caller_outcome> verifying_caller::read()
{
    const auto started_at = current_time();
    caller_outcome outcome;
    const bool is_open = co_await ensure_session();
    if (!is_open)
    {
        outcome.lost_session = true;
        co_return outcome;
    }
    const auto min_number = min_number_for_read(started_at);
    auto text = codec_.encode_read(item_);
    const auto answer = co_await exchange(target_statement(std::move(text)));
    outcome.latency = current_time() - started_at;
    outcome.lost_session = !succeeded(answer);
    outcome.failure =
        succeeded(answer) ? value_of(answer).failure : session_error::timeout;
    if (outcome.failure != session_error::none)
        co_return outcome;
    const auto& rows = value_of(answer).rows;
    verify_read_number(
        codec_.row_data({rows.substr(0, rows.find(session_line_end))}),
        min_number);
    co_return outcome;
}

unsigned verifying_caller::min_number_for_read(time_point started_at) const
{
    if (route_.consistency == read_consistency::own_writes)
        return last_acknowledged_in_session_;
    const auto age = route_.consistency == read_consistency::bounded_age
                         ? route_.max_age
                         : milliseconds(0);
    unsigned min_number = 0;
    for (const auto& [number, arrival_time] : history_.acknowledged_at)
        if (arrival_time <= started_at - age)
            min_number = std::max(min_number, number);
    return min_number;
}

void verifying_caller::verify_read_number(const std::string& value,
                                          unsigned min_number)
{
    const auto number = number_or_zero(value);
    // A write with an unknown outcome may take effect late and overwrite a
    // newer number.
    if (number >= min_number || history_.in_doubt.contains(number))
        return;
    violations_.push_back(route_.database + " " + item_ + ": a read returned " +
                          std::to_string(number) + ", expected at least " +
                          std::to_string(min_number));
}

std::vector<std::string> find_log_violations(const verifying_caller& caller,
                                             const std::string& log)
{
    std::map<unsigned, unsigned> occurrences;
    std::istringstream lines(log);
    std::string item;
    std::string data;
    while (lines >> item >> data)
        if (item == caller.item())
            ++occurrences[number_or_zero(data)];
    const auto& history = caller.history();
    std::vector<std::string> violations;
    const auto add_violation = [&](unsigned number, const char* problem)
    {
        violations.push_back(caller.assigned_route().database + " " +
                             caller.item() + ": write " +
                             std::to_string(number) + " " + problem);
    };
    for (const auto& [number, arrival_time] : history.acknowledged_at)
        if (!occurrences.contains(number))
            add_violation(number,
                          "was acknowledged but is missing from the log");
    for (const auto number : history.not_applied)
        if (occurrences.contains(number))
            add_violation(number, "was refused but is in the log");
    for (const auto& [number, count] : occurrences)
        if (count > 1)
            add_violation(number, "is in the log more than once");
    return violations;
}

} // namespace oleandergrade
