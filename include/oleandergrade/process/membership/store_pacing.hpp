/// Paces a VM's calls to the store by the number of VMs. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/membership/member_list.hpp>

#include <cstddef>

namespace oleandergrade
{

/// Delays that keep the calls of a whole fleet below what the store accepts.
///
/// Each registration ends the watches of all VMs, and an unavailable store is
/// called by all VMs: the calls grow with the square of the number of VMs
/// unless the delays grow with it. Fleets of fewer than `large_fleet_size` VMs
/// have no delays.
class store_pacing
{
public:
    /// VMs of a lower rank are the first candidates for leadership. They watch
    /// without pause and soon notice the recovery of the store, since the
    /// others depend on them.
    static constexpr std::size_t first_candidates{3};
    static constexpr milliseconds watch_pause_per_member{5};
    static constexpr milliseconds min_watch_pause{50};
    static constexpr milliseconds max_watch_pause{1500};
    static constexpr milliseconds seeking_interval_per_member{1};
    static constexpr milliseconds min_seeking_interval{100};
    static constexpr milliseconds registration_spread_per_member{10};
    static constexpr milliseconds max_registration_spread{2000};
    /// The longest delays between failed calls for one prefix. With a jitter of
    /// 0.75 to 1, a fleet makes about 0.36 failed calls per second and VM: 0.14
    /// of the first candidates, 0.14 of the others and 0.08 for the prefixes
    /// that wait for the fleet's own keys. The limit is 0.4.
    static constexpr milliseconds candidate_retry_budget{25'000};
    static constexpr milliseconds min_candidate_retry_delay{250};
    static constexpr milliseconds max_candidate_retry_delay{1000};
    static constexpr milliseconds initial_retry_delay{400};
    static constexpr milliseconds max_retry_delay{8000};
    static constexpr milliseconds max_dependent_retry_delay{30'000};
    /// The first delay while there is a leader, which follows the store for the
    /// other VMs.
    static constexpr milliseconds initial_assisted_retry_delay{2000};
    /// The first delay for a prefix while the store answers the calls for the
    /// fleet's own keys.
    static constexpr milliseconds initial_answered_retry_delay{250};
    /// Difference between the delays after which two VMs of neighbouring ranks
    /// follow the store without a leader, and the longest such delay.
    static constexpr milliseconds follow_delay_per_rank{100};
    static constexpr milliseconds max_follow_delay{3000};

    /// `rank` is the VM's position among all; `fleet_size` if it is not known.
    store_pacing(std::size_t fleet_size, std::size_t rank)
        : fleet_size_(fleet_size), rank_(rank)
    {
    }

    bool is_large_fleet() const { return fleet_size_ >= large_fleet_size; }
    bool is_first_candidate() const { return rank_ < first_candidates; }

    /// The pause after a watch that returned registrations; 0 for the first
    /// candidates.
    milliseconds watch_pause() const;
    /// How long a VM that lacks members waits before it looks for them.
    milliseconds member_list_pause() const;
    /// The time over which the registrations of the VMs are spread; 0 for the
    /// first candidates.
    milliseconds registration_spread() const;
    /// The longest delay between failed calls for the fleet's own keys while
    /// there is no leader; 0 in a small fleet.
    milliseconds retry_delay_limit() const;
    /// The interval at which a VM without a grant asks other VMs for the
    /// leader. All VMs of a fleet that begins anew do so, hence it grows with
    /// the fleet up to the regular interval of reports.
    milliseconds seeking_interval(milliseconds report_interval) const;
    /// How long a VM without a leader waits before it follows the store, by its
    /// rank among the `domain_size` VMs of its failure domain.
    static milliseconds follow_delay(std::size_t rank_in_domain,
                                     std::size_t domain_size);

    bool operator==(const store_pacing&) const = default;

private:
    std::size_t fleet_size_;
    std::size_t rank_;
};

} // namespace oleandergrade
