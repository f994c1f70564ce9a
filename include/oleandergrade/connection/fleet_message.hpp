/// Messages between the VMs of a fleet and its leader.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/holder_table.hpp>
#include <oleandergrade/connection/lender_table.hpp>
#include <oleandergrade/process/failover/primary_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A target that a VM has failed to reach, and for how long.
struct failing_target
{
    std::string target;
    milliseconds failing_for{0};

    bool operator==(const failing_target&) const = default;
};

/// A VM's demand for operations of a client account, and the share that it
/// holds at present, both in operations per second.
struct account_demand
{
    std::string account;
    double wanted_rate = 0;
    double held_rate = 0;

    bool operator==(const account_demand&) const = default;
};

/// A VM's share of a client account's limits.
struct account_share
{
    std::string account;
    /// Operations per second.
    double rate = 0;
    /// Operations that may be admitted at once.
    double burst = 0;

    bool operator==(const account_share&) const = default;
};

/// A VM's regular report to the leader.
struct fleet_report
{
    std::string vm;
    /// Incarnation of the VM's process: differs after each start.
    std::uint64_t incarnation = 0;
    /// The store has acknowledged the VM's registration.
    bool is_registered = false;
    /// Highest fencing token that the VM has observed.
    std::uint64_t highest_token = 0;
    std::uint64_t configuration_version = 0;
    std::vector<failing_target> failing_targets;
    std::vector<account_demand> demands;
    /// The `stamp` of the last grant that the VM received from the leader with
    /// `highest_token`, or 0.
    std::uint64_t echoed_stamp = 0;
    /// Time since the VM last received a grant of a leader other than the one
    /// with `highest_token`.
    milliseconds other_leader_grant_age{0};
    /// Address of a relay that has not answered this VM; empty if there is
    /// none.
    std::string lost_relay;
    /// `demands` is left out, so the report tells nothing of the VM's shares.
    bool omits_demands = false;
    /// Version of the holder table that the VM has.
    std::uint64_t holders_version = 0;
    /// The VM takes no more forwarded statements because it stops.
    bool is_stopping = false;
    /// Version of the lender table that the VM has.
    std::uint64_t lenders_version = 0;

    bool operator==(const fleet_report&) const = default;
};

/// A primary record with the newest position of the primary's log that the
/// sender has observed.
struct primary_state
{
    primary_record record;
    bool has_position = false;
    std::uint64_t position = 0;
    /// Time since the position was requested from the target.
    milliseconds position_age{0};
    /// Replicas whose logs are awaited before a target can be promoted.
    std::vector<std::string> awaited_replicas = {};

    bool operator==(const primary_state&) const = default;
};

/// The answer to a report: the leader's time-limited permission to use
/// primaries.
struct fleet_grant
{
    /// False if the receiver of the request may not grant, for instance because
    /// it is not the leader.
    bool accepted = false;
    /// The leader's fencing token if accepted, else the highest token that the
    /// sender has observed.
    std::uint64_t token = 0;
    /// How long primaries may be used, counted from when the report was sent.
    milliseconds validity{0};
    /// Number of registered VMs, including those that are down.
    std::uint32_t member_count = 0;
    std::uint64_t configuration_version = 0;
    std::vector<primary_state> primaries;
    std::vector<account_share> shares;
    /// Address of the leader that the sender last observed; may be empty.
    std::string leader_address;
    /// The sender's clock in nanoseconds when it sent the grant. A report that
    /// returns it was made after this time.
    std::uint64_t stamp = 0;
    /// Digest of the registered targets as the leader has observed them.
    std::uint64_t targets_digest = 0;
    /// Time since the store last confirmed the leader's lease. A leader that
    /// may miss changes of the store sends the maximum time for which it grants
    /// without the store, so that VMs confirm the state themselves.
    milliseconds store_age{0};
    /// Address of the VM that is to relay the receiver's next reports; empty if
    /// the receiver is to report to the leader.
    std::string relay_address;
    /// Left out (version 0) if the VM has reported that it has this version.
    holder_table holders;
    /// Failure domains whose targets get no more work, as the leader knows
    /// them.
    std::vector<std::string> evacuated_domains;
    /// Left out (version 0) if the VM has reported that it has this version.
    lender_table lenders;
    /// The level of the protocol in force: the lowest of all members.
    std::uint32_t level = 0;

    bool operator==(const fleet_grant&) const = default;
};

/// A report that the receiver is to relay to the leader. The answer is a
/// `fleet_grant`.
struct relay_request
{
    fleet_report report;

    bool operator==(const relay_request&) const = default;
};

/// Reports that a VM relays to the leader.
struct relayed_reports
{
    std::vector<fleet_report> reports;

    bool operator==(const relayed_reports&) const = default;
};

/// The part of a relayed grant that concerns only one VM.
struct relayed_grant
{
    std::string vm;
    bool accepted = false;
    std::vector<account_share> shares;
    /// Left out (version 0) if the VM has reported that it has this version.
    holder_table holders;

    bool operator==(const relayed_grant&) const = default;
};

/// The leader's answer to `relayed_reports`: what all grants have in common,
/// and the rest of each in the order of the reports.
struct relayed_grants
{
    fleet_grant common;
    std::vector<relayed_grant> grants;

    bool operator==(const relayed_grants&) const = default;
};

/// The leader's notification to a VM that primaries have changed or must no
/// longer be used.
struct primary_notice
{
    /// The leader's fencing token.
    std::uint64_t token = 0;
    /// The leader's address.
    std::string leader_address;
    std::vector<primary_state> primaries;
    /// Groups of which the leader only asks what the VM holds.
    std::vector<std::string> inquired_groups = {};

    bool operator==(const primary_notice&) const = default;
};

/// A VM's acknowledgement of a notification. If it was accepted, the VM acts on
/// the records that it holds from now on; if not, the VM has observed a higher
/// token.
struct notice_receipt
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t token = 0;
    bool accepted = false;
    /// Time since the VM last received a grant of another leader.
    milliseconds other_leader_grant_age{0};
    /// The records that the VM holds of the groups that the notification names;
    /// a group is missing if it holds none. Not set by VMs of earlier versions,
    /// which hold what the notification says.
    std::optional<std::vector<primary_record>> held_records = {};

    bool operator==(const notice_receipt&) const = default;
};

/// Requests operations of a client account out of the leader's reserve.
struct borrow_request
{
    std::string vm;
    std::string account;
    /// Number of operations that the VM wants.
    std::uint32_t operations = 1;

    bool operator==(const borrow_request&) const = default;
};

/// The answer to a `borrow_request`.
struct borrow_reply
{
    /// False if the receiver of the request may not grant, for instance because
    /// it is not the leader.
    bool accepted = false;
    /// Whether at least one operation is lent.
    bool admitted = false;
    /// Time to wait before the next request, if it was not admitted.
    milliseconds retry_after{0};
    /// Number of operations lent.
    std::uint32_t operations = 0;
    /// How long they may be spent, counted from when the request was sent.
    milliseconds valid_for{0};

    bool operator==(const borrow_reply&) const = default;
};

/// Requests copies of the records in the store.
struct snapshot_request
{
    /// The configuration's version that the sender of the request has; the
    /// reply contains the configuration only if it has a newer one.
    std::uint64_t known_configuration_version = 0;

    bool operator==(const snapshot_request&) const = default;
};

/// A record of the store.
struct snapshot_item
{
    std::string key;
    std::string value;

    bool operator==(const snapshot_item&) const = default;
};

/// Copies of the records in the store as the sender has observed them, for VMs
/// that cannot read the store.
struct fleet_snapshot
{
    std::uint64_t configuration_version = 0;
    /// The configuration's record, or empty.
    std::string configuration;
    std::vector<snapshot_item> targets;
    std::vector<snapshot_item> members;

    bool operator==(const fleet_snapshot&) const = default;
};

} // namespace oleandergrade
