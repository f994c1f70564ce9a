#include <oleandergrade/process/failover/primary_authority.hpp>

#include <oleandergrade/invariant.hpp>

#include <algorithm>

namespace oleandergrade
{

void primary_authority::on_grant(std::uint64_t token, time_point requested_at,
                                 milliseconds validity)
{
    if (!on_token(token))
        return;
    valid_until_ = std::max(valid_until_, requested_at + validity);
}

bool primary_authority::on_token(std::uint64_t token)
{
    if (token < token_)
        return false;
    token_ = token;
    return true;
}

bool primary_authority::on_record(const primary_record& record)
{
    auto& known = records_[record.group];
    if (record.revision <= known.revision)
        return false;
    check_invariant(record.term >= known.term,
                    "the term of a newer record must not be lower",
                    record.group);
    ending_.erase(record.group);
    if (known.is_open && !record.is_open && record.is_planned)
        ending_[record.group] = known.revision;
    known = record;
    return true;
}

const primary_record* primary_authority::usable(const std::string& group,
                                                time_point now) const
{
    const auto* record = find(group);
    if (record == nullptr || !record->is_open || !has_grant(now))
        return nullptr;
    return record;
}

bool primary_authority::still_holds(const std::string& group,
                                    std::uint64_t revision,
                                    time_point now) const
{
    if (!has_grant(now))
        return false;
    const auto* record = find(group);
    if (record != nullptr && record->is_open && record->revision == revision)
        return true;
    const auto closing = ending_.find(group);
    return closing != ending_.end() && closing->second == revision;
}

void primary_authority::confirm_closed(const std::string& group)
{
    ending_.erase(group);
}

const primary_record* primary_authority::find(const std::string& group) const
{
    const auto found = records_.find(group);
    return found == records_.end() ? nullptr : &found->second;
}

} // namespace oleandergrade
