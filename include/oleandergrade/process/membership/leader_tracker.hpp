/// Tracks the leader's address and the age of its grants. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Chooses where a VM sends its reports, and records the grants that it gets.
///
/// Reports go to the leader that the store shows or that another VM has named.
/// When this leader does not answer, the reports go to the other VMs in turn;
/// a VM that is not the leader answers with the address of the leader that it
/// last observed.
class leader_tracker
{
public:
    /// After this many failed reports in a row, the next report goes to another
    /// VM.
    static constexpr unsigned max_failed_reports{2};
    /// A VM that has had no grant for longer than this probes its peers to find
    /// out whether it is isolated.
    static constexpr milliseconds max_time_without_grant{700};

    /// Returns the address for the next report, or an empty text if there is
    /// none. `stored_address` is the leader's address as the store shows it, or
    /// empty; `other_addresses` are the addresses of the VMs that get a report
    /// if the leader does not answer.
    std::string
    next_report_address(const std::string& stored_address,
                        const std::vector<std::string>& other_addresses);
    /// Returns the address that another VM has named as the leader's;
    /// `stored_address`, the address that the store shows, if there is no such
    /// address.
    const std::string&
    current_leader_address(const std::string& stored_address) const;

    /// Another VM has become the leader. If `address` is empty, reports go to
    /// the address that the store shows.
    void set_leader_address(const std::string& address);
    /// Records that a report got no answer. Returns true if the number of
    /// failed reports has just reached its limit.
    bool on_report_unanswered();
    /// Records that a report was answered without a grant. `leader_address` is
    /// the leader's address according to the VM that answered; if it is empty,
    /// the report counts as failed.
    void on_report_declined(const std::string& leader_address);
    /// Records a grant. The leader calls this for the grants to itself as well.
    void on_grant(std::uint64_t token, std::uint64_t stamp, time_point now);

    /// Time since the last grant of a leader other than the one with this
    /// token.
    milliseconds other_leader_grant_age(std::uint64_t token,
                                        time_point now) const;
    /// Stamp of the last grant of the leader with this token, or 0.
    std::uint64_t last_grant_stamp(std::uint64_t token) const;
    time_point last_granted_at() const { return last_granted_at_; }
    /// Whether the last grant is older than `max_time_without_grant`.
    bool is_grant_overdue(time_point now) const
    {
        return now - last_granted_at_ > max_time_without_grant;
    }

private:
    /// The leader's address as another VM has named it, or empty.
    std::string named_address_;
    unsigned failed_reports_ = 0;
    /// Counter that selects the next of the other VMs to report to.
    std::size_t next_other_index_ = 0;
    /// Stamp of the last grant, and the token of the leader that sent it.
    std::uint64_t last_grant_stamp_ = 0;
    std::uint64_t last_grant_token_ = 0;
    time_point last_granted_at_;
    /// Time of the last grant of the leader before the one with
    /// `last_grant_token_`.
    time_point other_leader_granted_at_;
};

} // namespace oleandergrade
