/// Lends operations of the accounts' limits between the VMs.
#pragma once

#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/limits/lender_assigner.hpp>
#include <oleandergrade/process/limits/lender_directory.hpp>
#include <oleandergrade/process/membership/grant_issuer.hpp>
#include <oleandergrade/process/membership/leader_election.hpp>
#include <oleandergrade/process/membership/peer_client.hpp>
#include <oleandergrade/process/metadata_store.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace oleandergrade
{

/// Counters of lent operations since the start of the process.
struct lending_counts
{
    std::uint64_t borrowed = 0;
    std::uint64_t lent = 0;
    /// Requests that the leader or a lender answered without a loan.
    std::uint64_t refused = 0;
};

/// Borrows operations for this VM, lends them to others, and, at the leader,
/// keeps the lender table. All members must be called on one executor.
class operation_lending
{
public:
    /// The references must outlive the object. `leader_address` returns the
    /// leader's address as far as it is known.
    operation_lending(boost::asio::any_io_executor executor, fleet_state& state,
                      const leader_election& election, grant_issuer& grants,
                      peer_client& peers,
                      std::function<std::string()> leader_address);

    /// This VM was elected leader.
    void on_elected(time_point now) { assigner_.on_elected(now); }
    /// Applies the lender table of the store, or its removal.
    void on_stored_table(const stored_change& change);
    /// Applies the lender table of a grant, if it contains one.
    void on_granted_table(const lender_table& table);
    std::uint64_t table_version() const
    {
        return directory_.lenders().table().version;
    }
    /// Brings the lender table up to date. To be called regularly at a leader
    /// that may issue grants.
    void review(time_point now);

    /// Borrows operations of the account from the leader or from a lender.
    boost::asio::awaitable<admission> borrow(std::string account);
    /// Lends operations to another VM, out of the reserve or this VM's share.
    /// Not accepted if this VM neither may grant nor is a lender.
    borrow_reply handle_request(const borrow_request& request);

    const lending_counts& counts() const { return counts_; }

private:
    void apply(const lender_table& table);
    boost::asio::awaitable<void> write_table(lender_table table);
    /// Asks the VM at `address` to lend operations.
    boost::asio::awaitable<result<borrow_reply>>
    request_loan(std::string address, std::string account,
                 std::uint32_t operations, duration timeout);

    boost::asio::any_io_executor executor_;
    fleet_state& state_;
    const leader_election& election_;
    grant_issuer& grants_;
    peer_client& peers_;
    std::function<std::string()> leader_address_;
    lender_directory directory_;
    lender_assigner assigner_;
    bool is_writing_ = false;
    time_point write_allowed_at_;
    /// Revision and version of the table in the store; 0 if there is none.
    std::uint64_t stored_revision_ = 0;
    std::uint64_t stored_version_ = 0;
    lending_counts counts_;
};

} // namespace oleandergrade
