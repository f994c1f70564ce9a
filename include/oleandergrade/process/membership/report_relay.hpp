/// Relays the reports of other VMs to the leader.
#pragma once

#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace oleandergrade
{

/// Returns the grant that answers one of the relayed reports, by its index. It
/// is not accepted if the answer does not fit the reports.
fleet_grant relayed_grant_for(const relayed_reports& reports,
                              const relayed_grants& answer, std::size_t index);

/// Gathers reports for a short time and sends them to the leader in one
/// message.
///
/// The validity of a grant counts from when its VM sent the report. A grant may
/// therefore only answer reports that arrived before it was requested: each
/// report is answered by the exchange that contained it, and nothing is kept
/// for later reports. All members must be called on one executor.
class report_relay
{
public:
    /// How long reports are gathered before they are sent together.
    static constexpr milliseconds gather_interval{50};

    /// Sends reports to the leader and returns its answer.
    using sender = std::function<boost::asio::awaitable<result<relayed_grants>>(
        relayed_reports reports)>;

    report_relay(boost::asio::any_io_executor executor, sender send);
    ~report_relay();

    /// Relays a report and returns the leader's grant, which is not accepted if
    /// the leader did not answer.
    boost::asio::awaitable<fleet_grant> relay(fleet_report report);

    /// Number of reports that have been relayed.
    std::uint64_t relayed_count() const { return relayed_count_; }

private:
    struct batch;

    /// Sends a batch once the time for gathering is over.
    boost::asio::awaitable<void> send_batch(std::shared_ptr<batch> current);

    boost::asio::any_io_executor executor_;
    sender send_;
    /// The batch that accepts further reports, or null.
    std::shared_ptr<batch> open_batch_;
    std::uint64_t relayed_count_ = 0;
};

} // namespace oleandergrade
