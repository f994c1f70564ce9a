/// Decides whether this VM may use the primary of a group. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/failover/primary_record.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace oleandergrade
{

/// Holds the newest known primary record of each group and the grant under
/// which this VM may rely on these records.
///
/// A primary may be used only while its record is open and a grant of the
/// leader is valid. Before the leader orders a promotion, it closes the record
/// at every VM, or waits until the grants of the VMs that it cannot reach have
/// expired. A newly started process holds no grant.
class primary_authority
{
public:
    /// Applies a grant of the leader with this fencing token. The validity
    /// counts from `requested_at`, when this VM requested the grant. Grants of
    /// a leader that has been succeeded by another one are ignored.
    void on_grant(std::uint64_t token, time_point requested_at,
                  milliseconds validity);
    /// Records the fencing token of a leader. Returns false if a higher token
    /// has been observed before.
    bool on_token(std::uint64_t token);
    /// Stores the record if it is newer than the known one. Returns whether
    /// what this VM may do has changed.
    bool on_record(const primary_record& record);

    /// Returns the group's record if it is open and a grant is valid at `now`,
    /// null otherwise.
    const primary_record* find_usable(const std::string& group,
                                      time_point now) const;
    /// Ends the period in which statements that were in progress when a
    /// planned replacement began may still finish under the closed record.
    void finish_closing(const std::string& group);

    /// Returns whether statements may be sent, and their answers passed on,
    /// under the record with this revision. This holds for the open record
    /// and, until `finish_closing`, for a record closed by a planned
    /// replacement; in both cases a valid grant is required.
    bool is_revision_usable(const std::string& group, std::uint64_t revision,
                            time_point now) const;
    /// Returns the newest record, open or closed, or null if none is known.
    const primary_record* find(const std::string& group) const;
    const std::map<std::string, primary_record>& records() const
    {
        return records_;
    }
    bool has_grant(time_point now) const { return now < grant_valid_until_; }
    /// End of the current grant.
    time_point grant_valid_until() const { return grant_valid_until_; }
    /// Highest fencing token that has been observed.
    std::uint64_t highest_token() const { return highest_token_; }

private:
    /// Newest record, by group.
    std::map<std::string, primary_record> records_;
    /// Revision of the open record that a planned replacement has closed and
    /// under which statements may still finish, by group.
    std::map<std::string, std::uint64_t> closing_revisions_;
    std::uint64_t highest_token_ = 0;
    time_point grant_valid_until_;
};

} // namespace oleandergrade
