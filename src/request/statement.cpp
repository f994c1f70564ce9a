#include <oleandergrade/request/statement.hpp>

#include <array>

namespace oleandergrade
{

namespace
{

constexpr std::array<const char*, refusal_code_count> code_names{
    "none",
    "bad_request",
    "unknown_key",
    "key_withdrawn",
    "database_not_allowed",
    "unknown_database",
    "bad_session",
    "over_rate",
    "stale_configuration",
    "overloaded",
    "deadline",
    "no_primary",
    "not_owner",
    "wrong_term",
    "behind",
    "target_unreachable",
    "target_refused",
    "unknown_transaction",
    "transaction_lost",
    "connection_lost",
    "unconfirmed",
    "stopping"};

} // namespace

const char* to_string(statement_kind kind)
{
    switch (kind)
    {
    case statement_kind::read:
        return "read";
    case statement_kind::write:
        return "write";
    case statement_kind::begin:
        return "begin";
    case statement_kind::transaction_read:
        return "transaction_read";
    case statement_kind::transaction_write:
        return "transaction_write";
    case statement_kind::commit:
        return "commit";
    case statement_kind::rollback:
        return "rollback";
    }
    return "unknown";
}

const char* to_string(run_status run)
{
    switch (run)
    {
    case run_status::ran:
        return "ran";
    case run_status::not_run:
        return "not_run";
    case run_status::outcome_unknown:
        return "outcome_unknown";
    }
    return "unknown";
}

const char* to_string(refusal_code code)
{
    const auto index = static_cast<std::size_t>(code);
    return index < code_names.size() ? code_names[index] : "unknown";
}

answer refuse(refusal_code code, std::string step, std::string peer,
              std::string message, milliseconds retry_after)
{
    answer refusal;
    refusal.run = run_status::not_run;
    refusal.code = code;
    refusal.step = std::move(step);
    refusal.peer = std::move(peer);
    refusal.message = std::move(message);
    refusal.retry_after = retry_after;
    return refusal;
}

answer unknown_outcome(refusal_code code, std::string step, std::string peer,
                       std::string message)
{
    auto refusal =
        refuse(code, std::move(step), std::move(peer), std::move(message));
    refusal.run = run_status::outcome_unknown;
    return refusal;
}

} // namespace oleandergrade
