/// Decides which VM holds the fleet's one duty. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/process/metadata_store.hpp>

#include <cstdint>
#include <string>

namespace oleandergrade
{

/// The VM that holds the duty, as the store's value says.
struct duty_holder
{
    std::string vm;
    std::uint64_t incarnation = 0;
    /// Where the holder takes calls of other VMs.
    std::string address;

    bool operator==(const duty_holder&) const = default;
};

std::string serialize_duty_holder(const duty_holder& holder);
/// Errors: step "parse duty holder".
result<duty_holder> parse_duty_holder(const std::string& value);

/// The store call that the election wants made next.
enum class duty_call : std::uint8_t
{
    none,
    create_lease,
    acquire,
    renew,
    /// Read the duty's key: the outcome of an acquisition is not known.
    read
};

/// The duty's key lives only as long as its holder's lease, and is written
/// only if it does not exist. Its revision is the fencing token: it rises from
/// holder to holder.
///
/// At most one call is under way at a time; its outcome goes to the member
/// named like it.
class duty_election
{
public:
    /// The shortest that the users' store grants: the sooner a lost holder is
    /// replaced, the shorter grants can be.
    static constexpr milliseconds lease_lifetime{1000};
    /// Covers a slow spell of the store, in which a renewal takes 250 ms.
    static constexpr milliseconds renewal_interval{250};
    /// Kept back from the lease for an order that is on its way.
    static constexpr milliseconds lease_margin{200};
    /// Between the attempts of VMs that want a free duty.
    static constexpr milliseconds rank_delay{30};
    static constexpr milliseconds retry_delay{200};

    explicit duty_election(duty_holder self);

    /// Position of this VM among those that want the duty.
    void use_rank(std::size_t rank) { rank_ = rank; }
    /// The VM is about to stop: it gives the duty up and takes it no more.
    void retire() { retiring_ = true; }

    /// What the store shows of the duty's key as of one of its revisions; an
    /// item of revision 0 says that the duty is free.
    void on_seen(const stored_item& item, std::uint64_t as_of, time_point now);

    /// Another VM has shown a higher token than this holder's. The store may
    /// not answer this VM for long.
    void on_token(std::uint64_t token);

    duty_call due(time_point now);
    void on_lease_created(const result<store_lease>& outcome,
                          time_point sent_at, time_point now);
    void on_acquired(const result<std::uint64_t>& outcome, time_point now);
    void on_renewed(const result<bool>& outcome, time_point sent_at,
                    time_point now);
    void on_read(const result<stored_item>& outcome, time_point now);

    /// Earliest time of the next call, as far as time alone decides.
    time_point next_call() const { return next_call_; }
    const duty_holder& self() const { return self_; }
    /// This VM holds the duty, and its lease surely lasts.
    bool holds(time_point now) const;
    /// This VM has held the duty and has not learnt of its loss.
    bool is_holder() const { return token_ != 0; }
    /// When the lease was last known to last, by the time it was asked for.
    time_point confirmed_at() const { return confirmed_at_; }
    /// The fencing token; 0 if this VM does not hold the duty.
    std::uint64_t token() const { return token_; }
    std::uint64_t lease() const { return lease_.id; }
    /// Who holds the duty as far as known; empty if nobody.
    const duty_holder& known_holder() const { return known_holder_; }
    /// Revision under which the known holder took the duty.
    std::uint64_t known_revision() const { return known_revision_; }

private:
    void lose();
    void wait(milliseconds delay, time_point now);

    duty_holder self_;
    std::size_t rank_ = 0;
    bool retiring_ = false;
    bool in_flight_ = false;
    /// An acquisition's outcome is not known.
    bool verifying_ = false;
    store_lease lease_;
    time_point lease_sent_at_;
    time_point confirmed_at_;
    time_point next_call_;
    std::uint64_t token_ = 0;
    duty_holder known_holder_;
    std::uint64_t known_revision_ = 0;
    /// The store's revision up to which the duty's key is known; 0 if not yet.
    std::uint64_t seen_as_of_ = 0;
};

} // namespace oleandergrade
