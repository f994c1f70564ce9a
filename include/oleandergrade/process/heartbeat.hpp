/// What daemons tell each other about themselves once in a while.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/version/group_record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergrade
{

/// What is known of one failure domain's contacts.
struct domain_contact
{
    std::string failure_domain;
    /// Age of the newest proof that the domain heard from the platform.
    milliseconds platform_age{0};
    /// Age of the sender's newest direct contact with the domain.
    milliseconds heard_age{0};
    /// The VM that leads the domain, as far as the sender knows.
    std::string lead;

    bool operator==(const domain_contact&) const = default;
};

/// Sent by the lead of a failure domain to the domain's other VMs and to the
/// leads of other domains.
struct heartbeat
{
    std::string node;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t configuration_version = 0;
    /// Age of the newest proof that this version is the latest accepted.
    milliseconds confirmation_age{0};
    std::vector<domain_contact> contacts;
    /// The lead of the sender's domain, as far as the sender knows.
    std::string lead;
    std::vector<group_record> groups;
    bool leaving = false;
    /// The list of VMs as JSON, or empty if the receiver holds it already.
    /// In a reply, the digest of the list held.
    std::string vms;
    /// Revision of the lease under which `lead` leads.
    std::uint64_t epoch = 0;
    /// The sender's own clock, opaque to others.
    std::uint64_t clock = 0;
    /// The receiver's clock as of its last reply. A heartbeat proves nothing
    /// younger than that, since it may have been under way for long.
    std::uint64_t echo = 0;

    bool operator==(const heartbeat&) const = default;
};

} // namespace oleandergrade
