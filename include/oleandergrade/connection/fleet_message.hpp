/// Messages by which the VMs of a fleet and the holder of its duty keep each
/// other informed.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/failover/primary_record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A target that a VM cannot use, and since when.
struct target_trouble
{
    std::string target;
    milliseconds lasting{0};

    bool operator==(const target_trouble&) const = default;
};

/// Operations per second that a VM's callers ask for, and its present share.
struct account_demand
{
    std::string account;
    double wanted = 0;
    double held = 0;

    bool operator==(const account_demand&) const = default;
};

/// A VM's part of an account's limits.
struct account_share
{
    std::string account;
    /// Operations per second.
    double rate = 0;
    /// Operations that may come at once.
    double burst = 0;

    bool operator==(const account_share&) const = default;
};

/// A VM's regular report to the duty's holder.
struct fleet_report
{
    std::string vm;
    /// Differs for each run of the process.
    std::uint64_t incarnation = 0;
    /// The store has acknowledged the VM's membership.
    bool is_registered = false;
    /// Highest fencing token that the VM has seen.
    std::uint64_t token = 0;
    std::uint64_t configuration_version = 0;
    std::vector<target_trouble> troubles;
    std::vector<account_demand> demands;
    /// The stamp of the last grant that the VM got of the receiver, or 0.
    std::uint64_t echo = 0;
    /// Time since the VM got a grant of another holder than the one with
    /// `token`.
    milliseconds grant_age{0};

    bool operator==(const fleet_report&) const = default;
};

/// A primary record with the newest position that its log is known to have.
struct primary_state
{
    primary_record record;
    bool has_position = false;
    std::uint64_t position = 0;
    /// Time since the position was asked for.
    milliseconds position_age{0};

    bool operator==(const primary_state&) const = default;
};

/// The holder's answer to a report.
struct fleet_grant
{
    /// False if the receiver does not hold the duty.
    bool accepted = false;
    std::uint64_t token = 0;
    /// How long primaries may be used, from the sending of the report.
    milliseconds validity{0};
    /// VMs of the fleet, those that are down included.
    std::uint32_t members = 0;
    std::uint64_t configuration_version = 0;
    std::vector<primary_state> primaries;
    std::vector<account_share> shares;
    /// Address of the duty's holder as the sender knows it; may be empty.
    std::string holder;
    /// The sender's clock; a report that sends it back is not older than it.
    std::uint64_t stamp = 0;
    /// Digest of the registered targets as the sender knows them.
    std::uint64_t targets_digest = 0;
    /// Time since the store last showed the sender its targets.
    milliseconds store_age{0};

    bool operator==(const fleet_grant&) const = default;
};

/// The holder tells a VM that primaries have changed or must not be used.
struct primary_notice
{
    std::uint64_t token = 0;
    std::string holder;
    std::vector<primary_state> primaries;

    bool operator==(const primary_notice&) const = default;
};

/// The VM acts on the notice from now on, unless it has seen a higher token.
struct notice_receipt
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t token = 0;
    bool accepted = false;
    /// Time since the VM got a grant of another holder.
    milliseconds grant_age{0};

    bool operator==(const notice_receipt&) const = default;
};

/// Asks for one operation of an account out of the holder's reserve.
struct borrow_request
{
    std::string vm;
    std::string account;

    bool operator==(const borrow_request&) const = default;
};

struct borrow_reply
{
    /// False if the receiver does not hold the duty.
    bool accepted = false;
    bool admitted = false;
    /// When to ask again, if it was not admitted.
    milliseconds retry_after{0};

    bool operator==(const borrow_reply&) const = default;
};

/// Asks for copies of what the store holds.
struct snapshot_request
{
    /// The configuration is sent only if it is newer than this.
    std::uint64_t known_version = 0;

    bool operator==(const snapshot_request&) const = default;
};

struct snapshot_item
{
    std::string key;
    std::string value;

    bool operator==(const snapshot_item&) const = default;
};

/// Copies of what the store holds, as far as the sender knows.
struct fleet_snapshot
{
    std::uint64_t configuration_version = 0;
    std::string configuration;
    std::vector<snapshot_item> targets;
    std::vector<snapshot_item> members;

    bool operator==(const fleet_snapshot&) const = default;
};

} // namespace oleandergrade
