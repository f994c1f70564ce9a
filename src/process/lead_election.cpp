#include <oleandergrade/process/lead_election.hpp>

#include <algorithm>
#include <utility>

namespace oleandergrade
{

namespace
{

constexpr auto renew_interval = milliseconds(400);
constexpr auto retry_interval = milliseconds(200);
/// Part of the lease that the holder trusts, on a clock that may run slow.
constexpr double trusted_share = 0.8;
/// How long a neighbour's word counts; shorter than what it promises.
constexpr auto trusted_vouch = milliseconds(1000);

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

} // namespace

lead_election::lead_election(std::string identity, time_point started_at)
    : identity_(std::move(identity)), quiet_until_(started_at + vouch_period),
      next_call_(started_at)
{
}

election_call lead_election::due(time_point now, double random)
{
    if (in_flight_ || now < next_call_)
        return {};
    if (holds_ && !reacquiring_)
    {
        in_flight_ = true;
        next_call_ = now + renew_interval;
        return {election_call::kind::renew, epoch_};
    }
    const bool has_promised =
        heartbeat_at_ != time_point{} && now < heartbeat_at_ + vouch_period;
    const bool must_wait = now < quiet_until_ || (has_promised && !verifying_);
    if (must_wait && !reacquiring_)
        return {};
    in_flight_ = true;
    next_call_ = now + retry_interval + scaled(retry_interval, random);
    const bool acquires = std::exchange(key_is_absent_, false);
    return {acquires ? election_call::kind::acquire : election_call::kind::read,
            0};
}

void lead_election::on_read(const result<platform_value>& outcome,
                            time_point now)
{
    in_flight_ = false;
    if (!succeeded(outcome))
        return;
    const auto& found = value_of(outcome);
    if (found.revision != 0 && found.value == identity_)
    {
        if (verifying_)
            hold(found.revision, acquire_sent_at_, now);
        verifying_ = false;
        return;
    }
    verifying_ = false;
    if (found.revision != 0)
    {
        lose(now);
        epoch_ = std::max(epoch_, found.revision);
        return;
    }
    key_is_absent_ = true;
    next_call_ = now;
}

void lead_election::on_acquired(const result<std::uint64_t>& outcome,
                                time_point sent_at, time_point now)
{
    in_flight_ = false;
    if (succeeded(outcome))
    {
        hold(value_of(outcome), sent_at, now);
        return;
    }
    if (error_of(outcome).kind == error_kind::conflict)
    {
        lose(now);
        return;
    }
    // The change may have been made although its answer was lost.
    verifying_ = true;
    acquire_sent_at_ = sent_at;
    next_call_ = now;
}

void lead_election::on_renewed(const result<bool>& outcome, time_point sent_at,
                               time_point now)
{
    in_flight_ = false;
    if (succeeded(outcome))
    {
        // After a gap, leading begins anew.
        if (!leads(now))
            leading_since_ = now;
        valid_until_ = std::max(
            valid_until_, sent_at + scaled(lease_duration, trusted_share));
        return;
    }
    if (error_of(outcome).kind != error_kind::conflict)
    {
        next_call_ = now + retry_interval;
        return;
    }
    // The lease lapsed during an outage of the platform. The neighbours, who
    // vouched all the time, cannot have taken it.
    reacquiring_ = now < vouched_until();
    next_call_ = now;
    if (!reacquiring_)
        lose(now);
}

void lead_election::use_neighbours(const std::vector<std::string>& neighbours)
{
    std::map<std::string, time_point> kept;
    for (const auto& name : neighbours)
    {
        const auto known = neighbours_.find(name);
        kept[name] = known == neighbours_.end() ? time_point{} : known->second;
    }
    neighbours_ = std::move(kept);
}

void lead_election::on_vouched(const std::string& neighbour, time_point sent_at)
{
    const auto known = neighbours_.find(neighbour);
    if (known != neighbours_.end())
        known->second = std::max(known->second, sent_at);
}

bool lead_election::on_lead_heartbeat(const std::string& lead,
                                      std::uint64_t epoch, time_point now)
{
    if (epoch < epoch_ || (epoch == epoch_ && holds_))
        return false;
    if (holds_)
        lose(now);
    epoch_ = epoch;
    lead_ = lead;
    heartbeat_at_ = now;
    return true;
}

bool lead_election::leads(time_point now) const
{
    return now < leads_until();
}

time_point lead_election::leads_until() const
{
    return holds_ ? std::max(valid_until_, vouched_until()) : time_point{};
}

bool lead_election::is_in_overtime(time_point now) const
{
    return leads(now) && now >= valid_until_;
}

std::string lead_election::known_lead(time_point now) const
{
    const bool is_recent =
        heartbeat_at_ != time_point{} && now < heartbeat_at_ + vouch_period;
    return is_recent ? lead_ : "";
}

void lead_election::hold(std::uint64_t revision, time_point sent_at,
                         time_point now)
{
    if (!leads(now))
        leading_since_ = now;
    holds_ = true;
    reacquiring_ = false;
    epoch_ = revision;
    valid_until_ = sent_at + scaled(lease_duration, trusted_share);
    next_call_ = sent_at + renew_interval;
}

void lead_election::lose(time_point now)
{
    holds_ = false;
    reacquiring_ = false;
    next_call_ = now + retry_interval;
}

time_point lead_election::vouched_until() const
{
    if (neighbours_.empty())
        return {};
    auto earliest = time_point::max();
    for (const auto& [name, vouched_at] : neighbours_)
        earliest = std::min(earliest, vouched_at);
    return earliest == time_point{} ? earliest : earliest + trusted_vouch;
}

} // namespace oleandergrade
