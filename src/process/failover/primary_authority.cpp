#include <oleandergrade/process/failover/primary_authority.hpp>

#include <algorithm>

namespace oleandergrade
{

void primary_authority::on_grant(std::uint64_t token, time_point requested_at,
                                 milliseconds validity)
{
    if (!on_token(token))
        return;
    grant_valid_until_ = std::max(grant_valid_until_, requested_at + validity);
}

bool primary_authority::on_token(std::uint64_t token)
{
    if (token < highest_token_)
        return false;
    highest_token_ = token;
    return true;
}

bool primary_authority::on_record(const primary_record& record)
{
    auto& current = records_[record.group];
    if (!is_newer(record, current))
        return false;
    // The store tells more of a record than notifications of earlier versions.
    const bool is_same =
        record.term == current.term && record.revision == current.revision &&
        record.is_open == current.is_open && record.target == current.target;
    if (is_same)
    {
        current = record;
        return false;
    }
    closing_revisions_.erase(record.group);
    if (current.is_open && !record.is_open && record.is_planned)
        closing_revisions_[record.group] = current.revision;
    current = record;
    return true;
}

const primary_record* primary_authority::find_usable(const std::string& group,
                                                     time_point now) const
{
    const auto* record = find(group);
    if (record == nullptr || !record->is_open || !has_grant(now))
        return nullptr;
    return record;
}

bool primary_authority::is_revision_usable(const std::string& group,
                                           std::uint64_t revision,
                                           time_point now) const
{
    if (!has_grant(now))
        return false;
    const auto* record = find(group);
    if (record != nullptr && record->is_open && record->revision == revision)
        return true;
    const auto closing = closing_revisions_.find(group);
    return closing != closing_revisions_.end() && closing->second == revision;
}

void primary_authority::finish_closing(const std::string& group)
{
    closing_revisions_.erase(group);
}

const primary_record* primary_authority::find(const std::string& group) const
{
    const auto found = records_.find(group);
    return found == records_.end() ? nullptr : &found->second;
}

} // namespace oleandergrade
