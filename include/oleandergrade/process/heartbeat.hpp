/// What daemons tell each other about themselves once in a while.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/version/group_record.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergrade
{

/// The VM that leads a failure domain.
struct domain_lead
{
    std::string failure_domain;
    std::string vm;

    bool operator==(const domain_lead&) const = default;
};

/// Digests of what a VM holds, to find out what it lacks.
struct directory_digests
{
    std::uint64_t vms = 0;
    std::uint64_t leads = 0;
    std::uint64_t groups = 0;

    bool operator==(const directory_digests&) const = default;
};

/// Sent by the lead of a failure domain to the domain's other VMs and to the
/// leads of other domains, and returned as the reply.
struct heartbeat
{
    std::string node;
    std::string failure_domain;
    std::uint64_t incarnation = 0;
    std::uint64_t configuration_version = 0;
    /// Age of the newest proof that this version is the latest accepted.
    milliseconds confirmation_age{0};
    /// Age of the newest proof that any domain heard from the platform.
    milliseconds platform_age{0};
    /// How long ago the sender's domain heard from a majority of domains.
    milliseconds majority_age{0};
    /// The lead of the sender's domain, as far as the sender knows.
    std::string lead;
    /// Revision of the lease under which `lead` leads.
    std::uint64_t epoch = 0;
    /// The sender's own clock, opaque to others.
    std::uint64_t clock = 0;
    /// The receiver's clock as of its last reply. A heartbeat proves nothing
    /// younger than that, since it may have been under way for long.
    std::uint64_t echo = 0;
    /// The list of VMs as JSON, if the receiver lacks it.
    std::string vms;
    /// The leads of all domains, if the receiver lacks one.
    std::vector<domain_lead> leads;
    /// New group records, and others in rotation if the receiver lacks some.
    std::vector<group_record> groups;
    directory_digests held;

    bool operator==(const heartbeat&) const = default;
};

} // namespace oleandergrade
