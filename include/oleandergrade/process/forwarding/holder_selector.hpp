/// Chooses where an entry VM has a statement run. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/holder_table.hpp>

#include <map>
#include <optional>
#include <string>

namespace oleandergrade
{

/// Where a statement is run.
struct statement_destination
{
    /// Peer address of the VM to forward the statement to; empty if this VM
    /// runs it itself.
    std::string address;
    /// This VM holds the slice's sessions, or is its standby.
    bool is_holder = false;

    bool operator==(const statement_destination&) const = default;
};

/// Keeps the newest holder table, and which of the VMs in it do not answer this
/// VM.
class holder_selector
{
public:
    /// Time for which a VM is avoided after its first failure; it doubles with
    /// each further failure up to the maximum.
    static constexpr milliseconds initial_avoidance{150};
    static constexpr milliseconds max_avoidance{1200};

    explicit holder_selector(std::string own_address)
        : own_address_(std::move(own_address))
    {
    }

    /// Replaces the table if this one is newer.
    bool set_table(const holder_table& table);
    const holder_table& table() const { return table_; }

    /// Returns the destination for a statement of this account: the holder,
    /// the standby if the holder is avoided, or this VM.
    statement_destination choose(const std::string& group,
                                 const std::string& account,
                                 time_point now) const;
    /// Records that a VM did not answer or refused a statement.
    void record_failure(const std::string& address, time_point now);
    void record_success(const std::string& address);
    bool is_avoided(const std::string& address, time_point now) const;

private:
    struct failure_state
    {
        time_point avoid_until;
        milliseconds avoidance{0};
    };

    std::string own_address_;
    holder_table table_;
    std::map<std::string, failure_state> failures_;
};

} // namespace oleandergrade
