/// Decides which VM leads a failure domain. Pure decision logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/process/platform_client.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A platform call that the election wants made. The answer goes back to the
/// member named like the kind.
struct election_call
{
    enum class kind
    {
        none,
        read,
        acquire,
        renew
    };
    kind what = kind::none;
    std::uint64_t revision = 0;

    bool operator==(const election_call&) const = default;
};

/// Holds or waits for the one lease of a failure domain.
///
/// The holder trusts its lease for less time than the platform keeps it. While
/// the platform does not answer, the holder goes on as long as every other VM
/// of its domain vouches for it: a VM that vouches promises not to acquire the
/// lease for `vouch_period`. A process that has just started has forgotten
/// what it promised, so it waits for that period first.
class lead_election
{
public:
    static constexpr milliseconds lease_duration{1500};
    static constexpr milliseconds vouch_period{1500};

    /// `identity` is unique for each run of a process; it is the lease's
    /// value in the platform.
    lead_election(std::string identity, time_point started_at);

    /// The call to make now, if any. No second call is returned before the
    /// answer to the first one.
    election_call due(time_point now, double random);

    void on_read(const result<platform_value>& outcome, time_point now);
    void on_acquired(const result<std::uint64_t>& outcome, time_point sent_at,
                     time_point now);
    void on_renewed(const result<bool>& outcome, time_point sent_at,
                    time_point now);

    /// The VMs of the domain other than this one.
    void use_neighbours(const std::vector<std::string>& neighbours);
    /// A neighbour answered a heartbeat sent at `sent_at`, naming this VM.
    void on_vouched(const std::string& neighbour, time_point sent_at);
    /// Another lead sent a heartbeat. Returns whether this VM vouches for it.
    bool on_lead_heartbeat(const std::string& lead, std::uint64_t epoch,
                           time_point now);

    bool leads(time_point now) const;
    /// Until when this VM leads if it hears nothing more; in the past if it
    /// does not lead.
    time_point leads_until() const;
    /// Leads without an answer from the platform, on the neighbours' word.
    bool is_in_overtime(time_point now) const;
    /// Revision of the lease that this VM holds or has seen last.
    std::uint64_t epoch() const { return epoch_; }
    /// Since when this VM has led without a gap.
    time_point leading_since() const { return leading_since_; }
    /// The other VM that leads, as far as known; empty otherwise.
    std::string known_lead(time_point now) const;
    time_point last_heartbeat() const { return heartbeat_at_; }

private:
    void hold(std::uint64_t revision, time_point sent_at, time_point now);
    void lose(time_point now);
    time_point vouched_until() const;

    std::string identity_;
    time_point quiet_until_;
    time_point next_call_;
    bool in_flight_ = false;
    bool holds_ = false;
    /// An acquire call lost its answer; a read will tell its outcome.
    bool verifying_ = false;
    bool key_is_absent_ = false;
    /// Takes the lease anew after an outage, while neighbours vouch.
    bool reacquiring_ = false;
    time_point acquire_sent_at_;
    std::uint64_t epoch_ = 0;
    time_point valid_until_;
    time_point leading_since_;
    std::map<std::string, time_point> neighbours_;
    std::string lead_;
    time_point heartbeat_at_;
};

} // namespace oleandergrade
