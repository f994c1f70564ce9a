/// Keeps the registered targets. Without I/O.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/serving/target_record.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Registrations of all targets. A registration that has been removed from the
/// store is kept for a short time, because registrations also lapse while the
/// store is unavailable and are renewed soon after its recovery.
class target_registry
{
public:
    /// Time for which a removed registration is kept. Registrations that lapsed
    /// while the store was unavailable are renewed within two seconds of its
    /// recovery.
    static constexpr milliseconds lapsed_retention{2300};

    /// Adds or replaces a registration. One that was removed is restored.
    void put(const target_record& record);
    /// Marks a registration as removed at `now`; it is kept until its retention
    /// time has passed.
    void remove(const std::string& id, time_point now);
    /// Replaces all registrations; those that are missing in `records` are
    /// marked as removed.
    void replace(const std::vector<target_record>& records, time_point now);
    /// Discards removed registrations whose retention time has passed. Returns
    /// whether there were any.
    bool discard_lapsed(time_point now);

    /// Returns the target's registration, or null if there is none. The pointer
    /// is valid until the registration is discarded.
    const target_record* find(const std::string& id) const;
    /// Returns all targets of a group, including those that are draining or
    /// were removed recently.
    std::vector<const target_record*> in_group(const std::string& group) const;
    /// All registrations by target identifier, including those that were
    /// removed recently.
    const std::map<std::string, target_record>& all() const { return targets_; }
    /// Digest of all registrations that have not been removed. VMs with equal
    /// digests hold the same registrations.
    std::uint64_t digest() const { return digest_; }

private:
    /// Adds a registration to the digest, or removes it again.
    void toggle_in_digest(const target_record& record);

    std::map<std::string, target_record> targets_;
    /// Removed registrations that are still kept, with the time of their
    /// removal.
    std::map<std::string, time_point> lapsed_since_;
    /// Exclusive or of the digests of all registrations that have not been
    /// removed.
    std::uint64_t digest_ = 0;
};

} // namespace oleandergrade
