/// In which order a VM asks the lenders. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/lender_table.hpp>

#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// The lenders of the fleet as this VM knows them. Tables that differ between
/// VMs for a short time do no harm, as a lender lends only what it holds.
class lender_directory
{
public:
    /// A lender that has not answered is not asked for this time, which doubles
    /// with each further failure up to the maximum.
    static constexpr milliseconds initial_avoidance{1000};
    static constexpr milliseconds max_avoidance{8000};

    /// `own_address` and `failure_domain` are those of this VM.
    lender_directory(std::string own_address, std::string failure_domain);

    /// Replaces the table by one with a higher version. Returns whether it was
    /// replaced.
    bool apply(const lender_table& table);
    const account_lenders& lenders() const { return lenders_; }

    /// Returns the addresses to ask, one after another: the account's lenders
    /// in this VM's failure domain, the leader, the account's other lenders.
    /// `leader_address` may be empty. This VM's own address is left out.
    std::vector<std::string> addresses_to_ask(const std::string& account,
                                              const std::string& leader_address,
                                              time_point now) const;
    /// Records whether the VM at this address has answered.
    void on_answered(const std::string& address);
    void on_unanswered(const std::string& address, time_point now);

private:
    struct avoidance
    {
        milliseconds length;
        time_point until;
    };

    bool is_avoided(const std::string& address, time_point now) const;

    std::string own_address_;
    std::string failure_domain_;
    account_lenders lenders_;
    std::map<std::string, avoidance> avoided_;
};

} // namespace oleandergrade
