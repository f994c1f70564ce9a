#include <oleandergrade/process/membership/duty_election.hpp>

#include <oleandergrade/connection/json_fields.hpp>

#include <algorithm>

namespace oleandergrade
{
namespace json = boost::json;

std::string serialize_duty_holder(const duty_holder& leader)
{
    return json::serialize(json::object{{"vm", leader.vm},
                                        {"incarnation", leader.incarnation},
                                        {"address", leader.address}});
}

result<duty_holder> parse_duty_holder(const std::string& value)
{
    const auto parsed = parse_json_object(value);
    if (!succeeded(parsed))
        return error{error_kind::invalid, "parse leader identity", "",
                     error_of(parsed).message};
    const auto& fields = value_of(parsed);
    duty_holder leader{text_field(fields, "vm"),
                       number_field(fields, "incarnation"),
                       text_field(fields, "address")};
    if (leader.vm.empty() || leader.address.empty())
        return error{error_kind::invalid, "parse leader identity", "",
                     "'vm' or 'address' is missing or empty"};
    return leader;
}

duty_election::duty_election(duty_holder self) : self_(std::move(self)) {}

void duty_election::on_seen(const stored_item& item,
                            std::uint64_t store_revision, time_point now)
{
    // A watch may report a change that a later read has already shown.
    if (store_revision < seen_as_of_)
        return;
    seen_as_of_ = store_revision;
    if (item.revision == 0)
    {
        known_holder_ = {};
        known_revision_ = 0;
        // The leader key of this VM has disappeared, so its lease has ended.
        if (is_holder())
            lose();
        wait(rank_delay * static_cast<int>(rank_), now);
        return;
    }
    const auto parsed = parse_duty_holder(item.value);
    known_revision_ = item.revision;
    known_holder_ = succeeded(parsed) ? value_of(parsed) : duty_holder{};
    if (known_holder_ == self_ && lease_.id != 0 && !in_flight_)
    {
        token_ = item.revision;
        verifying_ = false;
    }
    else if (is_holder() && item.revision > token_)
        lose();
}

void duty_election::on_token(std::uint64_t observed_token)
{
    if (!is_holder() || observed_token <= token_)
        return;
    lose();
    known_holder_ = {};
    known_revision_ = observed_token;
}

duty_call duty_election::due(time_point now)
{
    if (in_flight_ || now < next_call_)
        return duty_call::none;
    if (is_holder())
    {
        in_flight_ = true;
        return duty_call::renew;
    }
    if (verifying_)
    {
        in_flight_ = true;
        return duty_call::read;
    }
    const bool has_no_leader = seen_as_of_ != 0 && known_revision_ == 0;
    if (retiring_ || !has_no_leader)
        return duty_call::none;
    in_flight_ = true;
    const bool has_lease =
        lease_.id != 0 && now < lease_sent_at_ + lease_.lifetime - lease_margin;
    return has_lease ? duty_call::acquire : duty_call::create_lease;
}

void duty_election::on_lease_created(const result<store_lease>& outcome,
                                     time_point sent_at, time_point now)
{
    in_flight_ = false;
    if (!succeeded(outcome))
    {
        lease_ = {};
        return wait(retry_delay, now);
    }
    lease_ = value_of(outcome);
    lease_sent_at_ = sent_at;
    confirmed_at_ = sent_at;
}

void duty_election::on_acquired(const result<std::uint64_t>& outcome,
                                time_point now)
{
    in_flight_ = false;
    if (succeeded(outcome))
    {
        token_ = value_of(outcome);
        known_holder_ = self_;
        known_revision_ = token_;
        seen_as_of_ = token_;
        return wait(renewal_interval, now);
    }
    // The write may have been refused, or executed and its answer lost. Reading
    // the key shows which.
    verifying_ = true;
    wait(error_of(outcome).kind == error_kind::conflict ? milliseconds(0)
                                                        : retry_delay,
         now);
}

void duty_election::on_renewed(const result<bool>& outcome, time_point sent_at,
                               time_point now)
{
    in_flight_ = false;
    wait(renewal_interval, now);
    if (succeeded(outcome))
    {
        confirmed_at_ = sent_at;
        return;
    }
    if (error_of(outcome).kind != error_kind::conflict)
        return;
    lose();
    verifying_ = true;
    wait(milliseconds(0), now);
}

void duty_election::on_read(const result<stored_item>& outcome, time_point now)
{
    in_flight_ = false;
    if (!succeeded(outcome))
        return wait(retry_delay, now);
    verifying_ = false;
    const auto& item = value_of(outcome);
    on_seen(item, std::max(item.revision, seen_as_of_), now);
}

bool duty_election::holds(time_point now) const
{
    return is_holder() && now < confirmed_at_ + lease_.lifetime - lease_margin;
}

void duty_election::lose()
{
    token_ = 0;
    lease_ = {};
}

void duty_election::wait(milliseconds delay, time_point now)
{
    next_call_ = now + delay;
}

} // namespace oleandergrade
