/// Which VMs lend operations of the client accounts' limits.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A VM that lends operations.
struct lender
{
    std::string vm;
    /// Address at which the VM accepts calls of other VMs.
    std::string address;
    std::string failure_domain;

    auto operator<=>(const lender&) const = default;
};

/// The lenders of the fleet. Chosen by the leader, which writes the table to
/// the store before it acts on it, so that its successor knows which VMs may
/// hold a lender's share. VMs receive it with their grants.
struct lender_table
{
    /// Revision of the store at which the table was written; 0 if there is no
    /// table. A table with a higher version replaces one with a lower version.
    std::uint64_t version = 0;
    /// Number of the listed VMs of each failure domain that lend operations of
    /// one account; 0 stands for all of them.
    std::uint32_t lenders_per_account = 0;
    /// In the order of their failure domains and names.
    std::vector<lender> lenders;
    /// Names of VMs that are no longer lenders but may still hold a lender's
    /// share.
    std::vector<std::string> former_lenders;

    bool operator==(const lender_table&) const = default;
};

/// The lenders of each account according to a table. An account has the same
/// number of lenders in a failure domain as every other account; which of the
/// listed VMs these are is decided by rendezvous hashing, so that the loss of
/// a VM changes the lenders of its own accounts only.
class account_lenders
{
public:
    account_lenders() = default;
    explicit account_lenders(lender_table table);

    const lender_table& table() const { return table_; }
    bool empty() const { return table_.lenders.empty(); }
    /// Number of lenders of each account.
    std::size_t count() const { return count_; }
    /// Whether the VM lends operations of any account.
    bool contains(const std::string& vm) const;
    /// Whether the VM lends operations of the account.
    bool contains(const std::string& account, const std::string& vm) const;
    /// Returns the lenders of an account. Valid until the object is changed.
    const std::vector<lender>& of(const std::string& account) const;

private:
    std::vector<lender> choose(const std::string& account) const;

    lender_table table_;
    std::size_t count_ = 0;
    /// The lenders that have been chosen already, by account.
    mutable std::map<std::string, std::vector<lender>> chosen_;
};

} // namespace oleandergrade
