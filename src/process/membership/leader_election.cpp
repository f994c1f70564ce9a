#include <oleandergrade/process/membership/leader_election.hpp>

#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/process/membership/member_list.hpp>
#include <oleandergrade/process/store_revision.hpp>

#include <algorithm>

namespace oleandergrade
{
namespace json = boost::json;

std::string serialize_leader_identity(const leader_identity& leader)
{
    return json::serialize(
        json::object{{"vm", leader.vm},
                     {"incarnation", leader.incarnation},
                     {"address", leader.address},
                     {"predecessor_token", leader.predecessor_token}});
}

result<leader_identity> parse_leader_identity(const std::string& value)
{
    const auto parsed = parse_json_object(value);
    if (!succeeded(parsed))
        return error{error_kind::invalid, "parse leader identity", "",
                     error_of(parsed).message};
    const auto& fields = value_of(parsed);
    leader_identity leader{string_field(fields, "vm"),
                           unsigned_field(fields, "incarnation"),
                           string_field(fields, "address"),
                           unsigned_field(fields, "predecessor_token")};
    if (leader.vm.empty() || leader.address.empty())
        return error{error_kind::invalid, "parse leader identity", "",
                     "'vm' or 'address' is missing or empty"};
    return leader;
}

leader_election::leader_election(leader_identity self) : self_(std::move(self))
{
}

void leader_election::on_key_observed(const stored_item& item,
                                      std::uint64_t store_revision,
                                      time_point now)
{
    // A watch may report a change that a later read has already shown.
    if (store_revision < key_observed_at_revision_)
        return;
    key_observed_at_revision_ = store_revision;
    if (item.revision == 0)
    {
        known_leader_ = {};
        known_leader_token_ = 0;
        // The leader key of this VM has disappeared, so its lease has ended.
        if (is_leader())
            lose_leadership();
        delay_next_call(rank_delay * static_cast<int>(rank_), now);
        return;
    }
    const auto parsed = parse_leader_identity(item.value);
    known_leader_ = succeeded(parsed) ? value_of(parsed) : leader_identity{};
    known_leader_token_ =
        rising_number(item.revision, known_leader_.predecessor_token);
    // A key of an earlier leadership of this VM, which a restored store may
    // contain, names another predecessor.
    if (known_leader_ == self_ && lease_.id != 0 && !call_in_flight_)
    {
        token_ = known_leader_token_;
        key_revision_ = item.revision;
        acquisition_unverified_ = false;
    }
    else if (is_leader() && item.revision > key_revision_)
        lose_leadership();
}

void leader_election::on_changes_applied(std::uint64_t store_revision)
{
    applied_revision_ = std::max(applied_revision_, store_revision);
}

void leader_election::on_token_observed(std::uint64_t observed_token)
{
    if (!is_leader() || observed_token <= token_)
        return;
    lose_leadership();
    known_leader_ = {};
    known_leader_token_ = observed_token;
}

election_call leader_election::begin_due_call(time_point now)
{
    if (call_in_flight_ || now < next_call_at_)
        return election_call::none;
    if (is_leader())
    {
        call_in_flight_ = true;
        return election_call::renew;
    }
    if (acquisition_unverified_)
    {
        call_in_flight_ = true;
        return election_call::read;
    }
    const bool has_no_leader =
        key_observed_at_revision_ != 0 && known_leader_token_ == 0;
    if (retiring_ || !has_no_leader)
        return election_call::none;
    call_in_flight_ = true;
    const bool has_lease =
        lease_.id != 0 && now < lease_sent_at_ + lease_.lifetime - lease_margin;
    if (!has_lease)
        return election_call::create_lease;
    self_.predecessor_token = highest_token_;
    return election_call::acquire;
}

void leader_election::on_lease_created(const result<store_lease>& outcome,
                                       time_point sent_at, time_point now)
{
    call_in_flight_ = false;
    if (!succeeded(outcome))
    {
        lease_ = {};
        return delay_after_failure(error_of(outcome), now);
    }
    lease_ = value_of(outcome);
    lease_sent_at_ = sent_at;
    lease_confirmed_at_ = sent_at;
}

void leader_election::on_acquired(const result<std::uint64_t>& outcome,
                                  time_point now)
{
    call_in_flight_ = false;
    if (succeeded(outcome))
    {
        key_revision_ = value_of(outcome);
        token_ = rising_number(key_revision_, self_.predecessor_token);
        known_leader_ = self_;
        known_leader_token_ = token_;
        key_observed_at_revision_ = key_revision_;
        return delay_next_call(renewal_interval, now);
    }
    // The write may have been refused, or executed and its answer lost. Reading
    // the key shows which.
    acquisition_unverified_ = true;
    if (error_of(outcome).kind == error_kind::conflict)
        return delay_next_call(milliseconds(0), now);
    delay_after_failure(error_of(outcome), now);
}

void leader_election::on_renewed(const result<bool>& outcome,
                                 time_point sent_at, time_point now)
{
    call_in_flight_ = false;
    delay_next_call(renewal_interval, now);
    if (succeeded(outcome))
    {
        lease_confirmed_at_ = sent_at;
        return;
    }
    if (error_of(outcome).kind != error_kind::conflict)
        return;
    lose_leadership();
    acquisition_unverified_ = true;
    delay_next_call(milliseconds(0), now);
}

void leader_election::on_read(const result<stored_item>& outcome,
                              time_point now)
{
    call_in_flight_ = false;
    if (!succeeded(outcome))
        return delay_after_failure(error_of(outcome), now);
    acquisition_unverified_ = false;
    const auto& item = value_of(outcome);
    on_key_observed(item, std::max(item.revision, key_observed_at_revision_),
                    now);
}

bool leader_election::has_valid_lease(time_point now) const
{
    return is_leader() &&
           now < lease_confirmed_at_ + lease_.lifetime - lease_margin;
}

void leader_election::lose_leadership()
{
    token_ = 0;
    key_revision_ = 0;
    lease_ = {};
}

// In a large fleet the first candidates find out whether the store answers
// again; the calls of all others would only add to its load.
void leader_election::delay_after_failure(const error& failure, time_point now)
{
    auto delay = retry_delay;
    if (rank_ >= large_fleet_size)
        delay += rank_delay * static_cast<int>(rank_);
    delay_next_call(std::max(delay, failure.retry_after), now);
}

void leader_election::delay_next_call(milliseconds delay, time_point now)
{
    next_call_at_ = now + delay;
}

} // namespace oleandergrade
