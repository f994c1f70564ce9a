#include <oleandergrade/request/retry_policy.hpp>

#include <algorithm>
#include <array>

namespace oleandergrade
{

namespace
{

constexpr double retries_per_request = 0.2;
constexpr double highest_credit = 1000;
constexpr auto first_delay = milliseconds(5);
constexpr auto longest_delay = milliseconds(100);
constexpr unsigned highest_exponent = 8;

struct retry_rule
{
    refusal_code code;
    retry_action action;
};

constexpr std::array retry_rules{
    retry_rule{refusal_code::no_primary, retry_action::await_leadership},
    retry_rule{refusal_code::not_owner, retry_action::back_off},
    retry_rule{refusal_code::wrong_term, retry_action::await_leadership},
    retry_rule{refusal_code::behind, retry_action::reroute},
    retry_rule{refusal_code::target_unreachable, retry_action::back_off},
    retry_rule{refusal_code::target_refused, retry_action::back_off},
    retry_rule{refusal_code::connection_lost, retry_action::back_off},
    retry_rule{refusal_code::unconfirmed, retry_action::back_off},
    retry_rule{refusal_code::stopping, retry_action::back_off},
};

} // namespace

bool is_idempotent(const statement& sent)
{
    return sent.kind == statement_kind::read ||
           (sent.kind == statement_kind::write && !sent.request_id.empty());
}

retry_action action_after(const answer& refusal, const statement& sent)
{
    const bool in_transaction = !sent.transaction.empty();
    if (refusal.run == run_status::ran || in_transaction)
        return retry_action::give_up;
    if (refusal.run == run_status::outcome_unknown && !is_idempotent(sent))
        return retry_action::give_up;
    const auto* rule = std::find_if(retry_rules.begin(), retry_rules.end(),
                                    [&](const retry_rule& entry)
                                    { return entry.code == refusal.code; });
    return rule == retry_rules.end() ? retry_action::give_up : rule->action;
}

milliseconds back_off_delay(unsigned attempt, double random)
{
    const auto exponent = std::min(attempt, highest_exponent);
    const auto ceiling = std::min(first_delay * (1 << exponent), longest_delay);
    const auto jittered =
        static_cast<double>(ceiling.count()) * (0.5 + 0.5 * random);
    return milliseconds(static_cast<std::int64_t>(jittered));
}

void retry_budget::count_request()
{
    credit_ = std::min(credit_ + retries_per_request, highest_credit);
}

bool retry_budget::spend()
{
    if (credit_ < 1)
        return false;
    credit_ -= 1;
    return true;
}

} // namespace oleandergrade
