/// A fleet of VMs that enforce accounts' limits while VMs, links and the store
/// fail. In virtual time, without network.
#pragma once

#include <oleandergrade/process/limits/lender_assigner.hpp>
#include <oleandergrade/process/limits/share_allocator.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleandergrade::fakes
{

/// Faults injected in a run, as average numbers per second.
struct limit_fleet_faults
{
    /// The leader is killed; its VM starts again later.
    double leader_losses = 0;
    /// No leader can be elected for 2 to 8 s.
    double store_outages = 0;
    /// A failure domain is cut off from the others for 2 to 8 s. If the leader
    /// is in it, another one is elected.
    double partitions = 0;
    /// Half of the VMs are killed and start again after 0.3 to 3 s.
    double mass_kills = 0;
    /// All VMs are killed and start again after 0.5 to 1 s, except for one that
    /// is gone for good.
    double total_losses = 0;
    /// A VM is gone for good, and one of another name starts 1 to 4 s later;
    /// the leader, or a lender, half of the time.
    double replacements = 0;
    /// The VMs of a tenth of the fleet are stopped one after another.
    double rolling_stops = 0;
    /// Fraction of the answers to reports and loans that is lost.
    double lost_answers = 0;
};

/// Operations of one kind of account in a run.
struct limit_fleet_count
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Refused although the operations offered in the 5 s before were within
    /// `inside_fraction` of the account's limit.
    std::uint64_t refused_inside = 0;
    /// Those of them at VMs that reach a leader elected 1 s before or earlier.
    std::uint64_t refused_inside_with_leader = 0;
};

struct limit_fleet_outcome
{
    limit_fleet_count total;
    /// Accounts with shares, and accounts that are too small for shares.
    limit_fleet_count large;
    limit_fleet_count small;
    /// Largest number of operations in a window of 5 s, as a fraction of the
    /// number that is allowed, and the account that it was found at.
    double max_window_fraction = 0;
    std::string max_window_account;
    /// Requests for loans.
    std::uint64_t loan_requests = 0;
};

/// Which rule is broken on purpose, to show that the checks find it.
enum class limit_defect
{
    none,
    /// A new leader allocates all shares at once, although VMs hold shares of
    /// the previous leader.
    shares_allocated_twice,
    /// A restarted VM keeps using the share of its earlier incarnation, which
    /// the leader has voided.
    restarted_vm_keeps_share
};

struct limit_fleet_settings
{
    std::size_t vms = 90;
    std::size_t domains = 3;
    /// Number of VMs of each domain that the accounts are divided among.
    std::size_t lenders_per_domain = 5;
    std::size_t accounts = 87;
    /// Operations per second of all accounts.
    double operations_per_second = 1078;
    /// Demand of the accounts as a fraction of their rate.
    double demand_fraction = 0.8;
    /// Fraction of the accounts whose demand is up to ten times their rate, at
    /// times.
    double overloaded_fraction = 0;
    /// The callers of these accounts use one VM after another for 3 s each,
    /// and then, after a pause of 4 s, all VMs at once.
    bool moves_between_vms = false;
    /// Fraction of the accounts whose limit is changed every few seconds. Their
    /// demand is inside the lowest limit.
    double changing_fraction = 0.2;
    limit_fleet_faults faults = {};
    limit_defect defect = limit_defect::none;
};

class limit_fleet
{
public:
    /// An account's demand is inside its limit if no window of 5 s contains
    /// more than this fraction of the limit.
    static constexpr double inside_fraction = 0.8;

    limit_fleet(std::uint64_t seed, limit_fleet_settings settings);

    limit_fleet_outcome run(milliseconds length);

private:
    struct vm_state
    {
        std::string name;
        std::size_t domain = 0;
        std::uint64_t incarnation = 1;
        std::unique_ptr<operation_limiter> limiter;
        /// Used while the VM is the leader; it lives as long as the process.
        std::unique_ptr<share_allocator> allocator;
        /// That of the earlier incarnation, if the VM wrongly keeps it.
        std::unique_ptr<operation_limiter> earlier_limiter;
        bool is_running = true;
        time_point restart_at = time_point::max();
        time_point next_report_at;
        time_point next_demand_report_at;
        /// As the leader observes it.
        time_point reported_at;
    };
    struct limit_change
    {
        time_point at;
        double operations_per_window = 0;
    };
    struct account_state
    {
        std::string name;
        double base_rate = 0;
        double demand = 0;
        bool is_overloaded = false;
        bool has_changing_limit = false;
        /// Times of this account's operations in the last window.
        std::deque<time_point> offered_at;
        std::deque<time_point> admitted_at;
        /// Limits in force in the last window, the oldest first.
        std::deque<limit_change> limits;
        /// VMs that the account's callers use.
        std::vector<std::size_t> vms;
        std::discrete_distribution<std::size_t> vm_choice;
    };

    double random_fraction();
    bool is_answer_lost();
    milliseconds random_time(milliseconds shortest, milliseconds longest);
    bool occurs(double per_second);
    void make_accounts();
    void set_limit(account_state& account, double rate);
    void apply_limits();
    void inject_faults();
    void stop_vm(std::size_t index, milliseconds downtime);
    void lose_all_vms();
    void start_vm(vm_state& vm);
    void replace_vm();
    void lose_leader();
    void elect_leader();
    void register_vm(const vm_state& vm);
    /// Brings the lender table up to date, as the leader does.
    void review_lenders();
    vm_state* find_running(const std::string& name);
    std::uint32_t member_count() const { return members_.size(); }
    bool are_linked(const vm_state& first, const vm_state& second) const;
    bool has_leader() const { return now_ >= leaderless_until_; }
    share_allocator& leader_allocator() { return *vms_[leader_].allocator; }
    bool reaches_leader(const vm_state& vm) const;
    std::uint32_t reporting_count() const;
    void report();
    void submit(account_state& account);
    void submit_moving(account_state& account);
    bool admit(const account_state& account, vm_state& vm);
    admission borrow(const std::string& account, const vm_state& vm,
                     std::uint32_t operations);
    void check(account_state& account, bool is_admitted, bool has_leader);
    static void drop_before(std::deque<time_point>& times, time_point start);

    limit_fleet_settings settings_;
    std::mt19937_64 random_;
    /// Draws which answers are lost, so that faults and demand of a seed do not
    /// depend on what is admitted.
    std::mt19937_64 answer_random_;
    time_point now_{seconds(960)};
    std::vector<vm_state> vms_;
    std::vector<account_state> accounts_;
    std::map<std::string, client_account> limits_;
    member_list members_;
    lender_assigner assigner_;
    /// The table in the store.
    lender_table lender_table_;
    account_lenders lenders_;
    time_point next_lender_review_at_;
    std::size_t started_vms_ = 0;
    /// Names of VMs that are gone for good.
    std::set<std::string> gone_;
    std::size_t leader_ = 0;
    bool awaits_election_ = false;
    time_point elected_at_;
    bool has_lost_vm_ = false;
    time_point leaderless_until_;
    time_point store_unavailable_until_;
    /// The domain that is cut off, and until when.
    std::size_t partitioned_domain_ = 0;
    time_point partitioned_until_;
    /// The VMs still to be stopped one after another.
    std::vector<std::size_t> to_stop_;
    time_point next_stop_at_;
    time_point next_limit_change_at_;
    limit_fleet_outcome outcome_;
};

} // namespace oleandergrade::fakes
