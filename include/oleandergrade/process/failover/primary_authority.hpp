/// Decides whether this VM may use a primary. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/failover/primary_record.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace oleandergrade
{

/// Holds the newest record of each group's primary and the grant under which
/// the records may be trusted.
///
/// A primary may be used only while its record is open and a grant of the
/// duty's holder is valid. The holder closes a record at every VM before it
/// orders a promotion, or waits until the grants of those that it cannot reach
/// have run out. A process that has just started holds no grant.
class primary_authority
{
public:
    /// The grant of the holder with this token was asked for at `asked_at`.
    /// Grants of a holder that another one has replaced count for nothing.
    void on_grant(std::uint64_t token, time_point asked_at,
                  milliseconds validity);
    /// A VM holds the duty with this token. Returns false if a higher one has
    /// been seen.
    bool on_token(std::uint64_t token);
    /// Takes in a record. Returns whether it was news.
    bool on_record(const primary_record& record);

    /// The group's open record if it may be used now, null otherwise.
    const primary_record* usable(const std::string& group,
                                 time_point now) const;
    /// Ends the use of a closed record. Statements under way when a planned
    /// replacement begins may end until then.
    void confirm_closed(const std::string& group);

    /// Whether statements may be sent under this record, or answered.
    bool still_holds(const std::string& group, std::uint64_t revision,
                     time_point now) const;
    /// The newest record, open or not; null if none is known.
    const primary_record* find(const std::string& group) const;
    const std::map<std::string, primary_record>& records() const
    {
        return records_;
    }
    bool has_grant(time_point now) const { return now < valid_until_; }
    time_point valid_until() const { return valid_until_; }
    std::uint64_t token() const { return token_; }

private:
    std::map<std::string, primary_record> records_;
    /// Revisions that are closed and not confirmed as such.
    std::map<std::string, std::uint64_t> ending_;
    std::uint64_t token_ = 0;
    time_point valid_until_;
};

} // namespace oleandergrade
