/// Writes a VM's registration to the store.
#pragma once

#include <oleandergrade/process/membership/member_list.hpp>
#include <oleandergrade/process/membership/store_pacing.hpp>
#include <oleandergrade/process/metadata_store.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <random>
#include <string>

namespace oleandergrade
{

/// Registers a VM once the store has been read, and repeats the write until the
/// store confirms it. The registrations of a large fleet are spread over time.
class member_registration
{
public:
    /// A registration does not wait longer than this for the first read of the
    /// store, whose members decide how registrations are spread.
    static constexpr milliseconds max_read_wait{200};
    /// Delay before a failed registration is repeated for the first time; it
    /// doubles with each further failure up to the maximum.
    static constexpr milliseconds initial_retry_delay{300};
    static constexpr milliseconds max_retry_delay{2400};
    static constexpr milliseconds max_large_fleet_retry_delay{8000};

    struct callbacks
    {
        /// Returns the pacing by what is known of the fleet now.
        std::function<store_pacing()> pacing;
        /// Returns whether the store has answered the last other call.
        std::function<bool()> is_store_answering;
    };

    /// The store must outlive the object.
    member_registration(metadata_store& store, std::string key,
                        fleet_member self, callbacks parts,
                        std::minstd_rand::result_type seed);

    /// Returns once the store has confirmed the registration: the time when the
    /// confirmed call was sent.
    boost::asio::awaitable<time_point> run();

private:
    /// Waits until the store answers other calls, in a small fleet for at most
    /// `small_fleet_limit`. In a large fleet these calls find out whether it is
    /// available again; failed registrations would add to them.
    boost::asio::awaitable<void> wait_for_store(milliseconds small_fleet_limit);
    /// Waits for a random part of the time over which registrations are spread.
    boost::asio::awaitable<void> wait_for_turn();

    metadata_store& store_;
    std::string key_;
    fleet_member self_;
    callbacks callbacks_;
    std::minstd_rand random_;
};

} // namespace oleandergrade
