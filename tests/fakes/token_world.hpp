/// Banks, borrowers, leads and the platform over a virtual network.
#pragma once

#include "virtual_network.hpp"

#include "platform_store.hpp"

#include <oleandergrade/process/control_plane.hpp>
#include <oleandergrade/process/token_bank.hpp>
#include <oleandergrade/process/token_borrower.hpp>

namespace fakes
{

/// Bugs that can be planted to show that the checks notice them.
enum class planted_limit_bug
{
    none,
    /// A new bank starts at once and with full buckets.
    forgetful_bank,
    /// A lead goes on lending after its lease has lapsed.
    endless_lease,
    /// A VM serves callers without regard to the freshness of its version.
    stale_keys
};

struct token_world_faults
{
    bool messages = false;
    bool restarts = false;
    bool pauses = false;
    bool cuts = false;
    bool platform = false;
};

struct token_world_outcome
{
    std::vector<std::string> violations;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    /// Requests refused beyond those that one bucket which sees all requests
    /// would have refused.
    std::uint64_t wrongly_refused = 0;
    std::uint64_t requests = 0;
    /// Requests refused since the configuration might be out of date.
    std::uint64_t stale = 0;
    std::uint64_t faults = 0;
    std::uint64_t leads = 0;
    std::uint64_t versions = 0;
    double longest_spread_seconds = 0;
    std::uint64_t platform_calls = 0;
    double seconds = 0;
};

/// One fleet of VMs that serve the requests of a few accounts.
class token_world
{
public:
    token_world(std::uint64_t seed, const token_world_faults& faults,
                planted_limit_bug bug = planted_limit_bug::none,
                std::size_t domains = 3, std::size_t vms_per_domain = 2);
    ~token_world();

    /// `demand` is the offered load of each account relative to its rate.
    /// In bursts it is `burst_factor` times as high.
    token_world_outcome run(duration time, double demand,
                            double burst_factor = 3);

private:
    struct vm_state;
    struct account_state;
    using vm_handle = std::shared_ptr<vm_state>;

    void start_vm(const vm_handle& each);
    void tick(const vm_handle& each);
    void pump(const vm_handle& each);
    void perform(const vm_handle& each, const control_action& action);
    void run_election(const vm_handle& each, election_call call);
    void read_platform(const vm_handle& each);
    void take_in_news(const vm_handle& each);
    void use_version(const vm_handle& each, std::uint64_t version);
    void call_bank(const vm_handle& each, const borrow_call& call);
    void update_bank(const vm_handle& each);
    token_grant lend(const vm_handle& each, const token_request& request);
    void arrive(const std::shared_ptr<account_state>& account);
    double current_burst_factor(const account_state& account) const;
    time_point leads_until(const vm_handle& each) const;
    void end_wait(const vm_handle& each, std::uint64_t ticket, bool admitted);
    void count_grant(const std::shared_ptr<account_state>& account,
                     const vm_handle& where);
    void change_configuration();
    void inject_faults(time_point end);
    void inject_fault();
    void check_leads();
    void note_acceptance();
    void violation(const std::string& line);
    vm_handle find(const std::string& name) const;

    virtual_network network_;
    token_world_faults faults_;
    planted_limit_bug bug_;
    bool bursty_ = false;
    token_world_outcome outcome_;
    std::vector<std::string> domains_;
    std::shared_ptr<const vm_list> list_;
    std::shared_ptr<host> platform_;
    standins::platform_store store_;
    std::vector<vm_handle> vms_;
    std::vector<std::shared_ptr<account_state>> accounts_;
    /// Time at which each configuration version was accepted.
    std::map<std::uint64_t, time_point> accepted_;
    std::uint64_t latest_version_ = 1;
    time_point changed_at_;
    std::uint64_t revision_ = 0;
    time_point end_;
    double demand_ = 1;
    double burst_factor_ = 3;
    std::uint64_t next_ticket_ = 1;
    time_point last_fault_;
};

} // namespace fakes
