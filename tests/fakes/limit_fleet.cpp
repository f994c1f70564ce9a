#include "limit_fleet.hpp"

#include <oleandergrade/connection/protocol_level.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace oleandergrade::fakes
{

namespace
{

constexpr limit_tolerance tolerance{milliseconds(5000), 0.1, 20};
constexpr auto time_step = milliseconds(1);
constexpr double step_seconds = 0.001;
constexpr auto report_interval = milliseconds(250);
/// Relayed reports contain the demands only this often.
constexpr auto demand_interval = milliseconds(700);
/// How long the leader counts a VM as reporting.
constexpr auto leader_report_validity = milliseconds(800);
/// The largest accounts, in operations per second.
constexpr std::size_t large_accounts = 4;
constexpr double large_account_fraction = 0.12;
constexpr double max_overload = 10;

double window_limit(const client_account& account)
{
    return account.rate * 5 + account.burst;
}

} // namespace

limit_fleet::limit_fleet(std::uint64_t seed, limit_fleet_settings settings)
    : settings_(settings), random_(seed), answer_random_(seed),
      vms_(settings.vms), assigner_(settings.lenders_per_domain)
{
    make_accounts();
    for (std::size_t i = 0; i < vms_.size(); ++i)
    {
        auto& vm = vms_[i];
        vm.name = "vm-" + std::to_string(i);
        vm.domain = i % settings_.domains;
        vm.next_report_at =
            now_ + random_time(milliseconds(0), report_interval);
        vm.next_demand_report_at = vm.next_report_at;
        register_vm(vm);
    }
    started_vms_ = vms_.size();
    for (auto& vm : vms_)
    {
        vm.limiter = std::make_unique<operation_limiter>(tolerance, true);
        vm.limiter->set_limits(limits_, member_count(), now_);
        vm.limiter->on_registered(now_);
        vm.allocator = std::make_unique<share_allocator>(tolerance, true);
        vm.allocator->set_limits(limits_, now_);
    }
    leader_allocator().set_member_counts(member_count(), 1);
    // The fleet has run before the accounts' callers come.
    for (auto& vm : vms_)
        vm.reported_at = now_;
    review_lenders();
    leader_allocator().on_elected(true, now_);
    assigner_.on_elected(now_);
    next_limit_change_at_ = now_ + seconds(4);
}

double limit_fleet::random_fraction()
{
    return std::uniform_real_distribution<>()(random_);
}

bool limit_fleet::is_answer_lost()
{
    return std::uniform_real_distribution<>()(answer_random_) <
           settings_.faults.lost_answers;
}

milliseconds limit_fleet::random_time(milliseconds shortest,
                                      milliseconds longest)
{
    return shortest + milliseconds(static_cast<std::int64_t>(
                          random_fraction() *
                          static_cast<double>((longest - shortest).count())));
}

bool limit_fleet::occurs(double per_second)
{
    return per_second > 0 && random_fraction() < per_second * step_seconds;
}

void limit_fleet::make_accounts()
{
    accounts_.resize(settings_.accounts);
    double total_weight = 0;
    std::vector<double> weights(accounts_.size());
    for (std::size_t i = large_accounts; i < accounts_.size(); ++i)
        total_weight += weights[i] =
            0.2 + std::exponential_distribution<>()(random_);
    for (std::size_t i = 0; i < accounts_.size(); ++i)
    {
        auto& account = accounts_[i];
        account.name = "account-" + std::to_string(i);
        const auto fraction =
            i < large_accounts ? large_account_fraction
                               : (1 - large_accounts * large_account_fraction) *
                                     weights[i] / total_weight;
        account.demand = settings_.operations_per_second * fraction;
        account.base_rate = account.demand / settings_.demand_fraction;
        account.is_overloaded =
            random_fraction() < settings_.overloaded_fraction;
        account.has_changing_limit =
            random_fraction() < settings_.changing_fraction;
        // The callers of some accounts use a few VMs, those of others all.
        const auto users =
            random_fraction() < 0.5 ? 3 + random_() % 12 : vms_.size();
        std::vector<double> vm_weights;
        for (std::size_t vm = 0; vm < users; ++vm)
        {
            account.vms.push_back(random_() % vms_.size());
            vm_weights.push_back(std::exponential_distribution<>()(random_));
        }
        account.vm_choice = {vm_weights.begin(), vm_weights.end()};
        set_limit(account, account.base_rate);
    }
}

void limit_fleet::set_limit(account_state& account, double rate)
{
    auto& limit = limits_[account.name];
    limit = {account.name, 1, rate, rate};
    account.limits.push_back({now_, window_limit(limit)});
}

void limit_fleet::apply_limits()
{
    for (auto& account : accounts_)
        if (account.has_changing_limit)
            set_limit(account, account.base_rate * (1 + 2 * random_fraction()));
    for (auto& vm : vms_)
        if (vm.is_running)
            vm.limiter->set_limits(limits_, member_count(), now_);
    for (auto& vm : vms_)
        vm.allocator->set_limits(limits_, now_);
}

limit_fleet_outcome limit_fleet::run(milliseconds length)
{
    const auto end = now_ + length;
    std::vector<double> demands;
    for (const auto& account : accounts_)
        demands.push_back(account.demand *
                          (account.is_overloaded ? max_overload : 1));
    const auto total_demand =
        std::accumulate(demands.begin(), demands.end(), 0.0);
    std::discrete_distribution<std::size_t> choice(demands.begin(),
                                                   demands.end());
    std::poisson_distribution<int> arrivals(total_demand * step_seconds);
    for (; now_ < end; now_ += time_step)
    {
        inject_faults();
        report();
        for (int remaining = arrivals(random_); remaining > 0; --remaining)
        {
            auto& account = accounts_[choice(random_)];
            if (account.is_overloaded && settings_.moves_between_vms)
            {
                submit_moving(account);
                continue;
            }
            // Overloaded accounts alternate between 7 s of demand and 3 s of
            // none, at different times.
            const auto phase =
                (now_.time_since_epoch() + seconds(account.name.back())) %
                seconds(10);
            if (!account.is_overloaded || phase < seconds(7))
                submit(account);
        }
    }
    return outcome_;
}

void limit_fleet::inject_faults()
{
    const auto& faults = settings_.faults;
    if (occurs(faults.store_outages))
        store_unavailable_until_ = now_ + random_time(seconds(2), seconds(8));
    if (occurs(faults.leader_losses))
    {
        stop_vm(leader_, random_time(milliseconds(300), seconds(3)));
    }
    if (occurs(faults.partitions) && now_ >= partitioned_until_)
    {
        partitioned_domain_ = random_() % settings_.domains;
        partitioned_until_ = now_ + random_time(seconds(2), seconds(8));
        if (vms_[leader_].domain == partitioned_domain_)
            lose_leader();
    }
    if (occurs(faults.mass_kills))
        for (std::size_t i = 0; i < vms_.size(); ++i)
            if (random_fraction() < 0.5)
                stop_vm(i, random_time(milliseconds(300), seconds(3)));
    if (occurs(faults.total_losses))
        lose_all_vms();
    if (occurs(faults.replacements))
        replace_vm();
    if (occurs(faults.rolling_stops) && to_stop_.empty())
    {
        const auto first = random_() % vms_.size();
        for (std::size_t i = 0; i < vms_.size() / 10; ++i)
            to_stop_.push_back((first + i) % vms_.size());
    }
    if (!to_stop_.empty() && now_ >= next_stop_at_)
    {
        stop_vm(to_stop_.back(), milliseconds(600));
        to_stop_.pop_back();
        next_stop_at_ = now_ + milliseconds(700);
    }
    for (auto& vm : vms_)
        if (!vm.is_running && now_ >= vm.restart_at)
            start_vm(vm);
    if (awaits_election_ && now_ >= store_unavailable_until_ &&
        now_ >= leaderless_until_ - time_step)
        elect_leader();
    if (now_ >= next_limit_change_at_)
    {
        apply_limits();
        next_limit_change_at_ = now_ + random_time(seconds(2), seconds(8));
    }
}

void limit_fleet::stop_vm(std::size_t index, milliseconds downtime)
{
    auto& vm = vms_[index];
    if (!vm.is_running)
        return;
    vm.is_running = false;
    vm.restart_at = now_ + downtime;
    if (index == leader_)
        lose_leader();
}

void limit_fleet::lose_all_vms()
{
    for (std::size_t i = 0; i < vms_.size(); ++i)
        stop_vm(i, random_time(milliseconds(500), seconds(1)));
    // The last VM is neither a lender nor a candidate.
    if (!std::exchange(has_lost_vm_, true))
        vms_.back().restart_at = time_point::max();
}

void limit_fleet::start_vm(vm_state& vm)
{
    vm.is_running = true;
    ++vm.incarnation;
    if (gone_.contains(vm.name))
    {
        vm.name = "vm-" + std::to_string(started_vms_++);
        vm.incarnation = 1;
        vm.reported_at = {};
        register_vm(vm);
    }
    vm.next_report_at = now_ + random_time(milliseconds(0), milliseconds(100));
    vm.next_demand_report_at = vm.next_report_at;
    if (settings_.defect == limit_defect::restarted_vm_keeps_share)
        vm.earlier_limiter = std::move(vm.limiter);
    vm.limiter = std::make_unique<operation_limiter>(tolerance, false);
    vm.limiter->set_limits(limits_, member_count(), now_);
    vm.allocator = std::make_unique<share_allocator>(tolerance, false);
    vm.allocator->set_limits(limits_, now_);
    if (now_ < store_unavailable_until_)
        return;
    vm.limiter->on_registered(now_);
    leader_allocator().on_registered(vm.name, now_);
}

void limit_fleet::replace_vm()
{
    auto index = static_cast<std::size_t>(random_() % vms_.size());
    if (random_fraction() < 0.5 && !lenders_.empty())
    {
        const auto& lenders = lenders_.table().lenders;
        const auto& name = lenders[random_() % lenders.size()].vm;
        for (std::size_t i = 0; i < vms_.size(); ++i)
            if (vms_[i].name == name)
                index = i;
    }
    else if (random_fraction() < 0.5)
    {
        index = leader_;
    }
    if (!vms_[index].is_running)
        return;
    stop_vm(index, random_time(seconds(1), seconds(4)));
    gone_.insert(vms_[index].name);
}

void limit_fleet::lose_leader()
{
    awaits_election_ = true;
    leaderless_until_ = std::max(now_, store_unavailable_until_) +
                        random_time(milliseconds(1200), milliseconds(2500));
}

void limit_fleet::elect_leader()
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < vms_.size(); ++i)
        if (vms_[i].is_running && (now_ >= partitioned_until_ ||
                                   vms_[i].domain != partitioned_domain_))
            candidates.push_back(i);
    if (candidates.empty())
        return;
    awaits_election_ = false;
    elected_at_ = now_;
    leader_ =
        candidates[random_() % std::min<std::size_t>(candidates.size(), 3)];
    for (auto& vm : vms_)
        vm.reported_at = {};
    if (settings_.defect == limit_defect::shares_allocated_twice)
    {
        vms_[leader_].allocator =
            std::make_unique<share_allocator>(tolerance, true);
        leader_allocator().set_limits(limits_, now_);
    }
    leader_allocator().set_member_counts(member_count(), 1);
    leader_allocator().set_lenders(lender_table_);
    leader_allocator().on_elected(
        settings_.defect == limit_defect::shares_allocated_twice, now_);
    assigner_.on_elected(now_);
}

void limit_fleet::register_vm(const vm_state& vm)
{
    members_.put({vm.name, vm.name, vm.incarnation, std::to_string(vm.domain),
                  500, protocol_level});
}

void limit_fleet::review_lenders()
{
    if (now_ < store_unavailable_until_ ||
        now_ < elected_at_ + milliseconds(200))
        return;
    const lender_input input{&members_, vms_[leader_].name,
                             [&](const std::string& name)
                             {
                                 const auto* vm = find_running(name);
                                 return vm != nullptr &&
                                        now_ - vm->reported_at <
                                            leader_report_validity;
                             },
                             members_.lowest_level()};
    auto table = assigner_.update(lender_table_, input, now_);
    if (!table)
        return;
    lender_table_ = std::move(*table);
    ++lender_table_.version;
    lenders_ = account_lenders(lender_table_);
    leader_allocator().set_lenders(lender_table_);
}

limit_fleet::vm_state* limit_fleet::find_running(const std::string& name)
{
    const auto found =
        std::find_if(vms_.begin(), vms_.end(),
                     [&](const vm_state& vm) { return vm.name == name; });
    return found == vms_.end() || !found->is_running ? nullptr : &*found;
}

bool limit_fleet::are_linked(const vm_state& first,
                             const vm_state& second) const
{
    return now_ >= partitioned_until_ || first.domain == second.domain ||
           (first.domain != partitioned_domain_ &&
            second.domain != partitioned_domain_);
}

bool limit_fleet::reaches_leader(const vm_state& vm) const
{
    return !awaits_election_ && are_linked(vm, vms_[leader_]);
}

std::uint32_t limit_fleet::reporting_count() const
{
    return static_cast<std::uint32_t>(std::count_if(
        vms_.begin(), vms_.end(),
        [&](const vm_state& vm)
        { return now_ - vm.reported_at < leader_report_validity; }));
}

void limit_fleet::report()
{
    if (!awaits_election_ && now_ >= next_lender_review_at_)
    {
        next_lender_review_at_ = now_ + report_interval;
        review_lenders();
    }
    for (auto& vm : vms_)
    {
        if (!vm.is_running || now_ < vm.next_report_at || !reaches_leader(vm))
            continue;
        vm.next_report_at = now_ + report_interval;
        vm.reported_at = now_;
        leader_allocator().set_member_counts(member_count(),
                                             std::max(reporting_count(), 1U));
        leader_allocator().set_fractions_lapse(now_ >=
                                               store_unavailable_until_);
        leader_allocator().on_report(vm.name, vm.incarnation, now_);
        std::vector<account_share> shares;
        if (now_ >= vm.next_demand_report_at)
        {
            vm.next_demand_report_at = now_ + demand_interval;
            shares = leader_allocator().allocate(
                vm.name, vm.limiter->demands(now_), now_);
        }
        if (!is_answer_lost())
            vm.limiter->set_shares(shares, now_, now_);
    }
}

void limit_fleet::submit(account_state& account)
{
    auto* vm = &vms_[account.vms[account.vm_choice(random_)]];
    // Callers of a VM that does not run use any other one.
    for (int attempts = 0; !vm->is_running && attempts < 50; ++attempts)
        vm = &vms_[random_() % vms_.size()];
    if (vm->is_running)
        check(account, admit(account, *vm), reaches_leader(*vm));
}

void limit_fleet::submit_moving(account_state& account)
{
    const auto time = now_.time_since_epoch() % seconds(60);
    const bool uses_one_vm = time < seconds(48);
    const bool uses_all_vms = time >= seconds(52);
    if (!uses_all_vms && !(uses_one_vm && random_fraction() * max_overload < 1))
        return;
    const auto index =
        uses_all_vms ? random_() : static_cast<std::size_t>(time / seconds(3));
    auto& vm = vms_[index % vms_.size()];
    if (vm.is_running)
        check(account, admit(account, vm), reaches_leader(vm));
}

bool limit_fleet::admit(const account_state& account, vm_state& vm)
{
    if (vm.earlier_limiter != nullptr &&
        vm.earlier_limiter->admit(account.name, now_).admitted)
        return true;
    auto decision = vm.limiter->admit(account.name, now_);
    if (!decision.may_borrow)
        return decision.admitted;
    const auto operations = vm.limiter->loan_size(account.name, now_);
    decision = borrow(account.name, vm, operations);
    if (decision.admitted)
        vm.limiter->on_loan(account.name, decision.operations,
                            now_ + operation_limiter::loan_validity, now_);
    else
        vm.limiter->on_reserve_empty(account.name, decision.retry_after, now_);
    return decision.admitted;
}

// In the order of `operation_lending`: the lender of the VM's own failure
// domain, the leader, the other lenders.
admission limit_fleet::borrow(const std::string& account, const vm_state& vm,
                              std::uint32_t operations)
{
    admission decision{false, milliseconds(20), false};
    const auto borrow_from = [&](const std::string& name)
    {
        auto* lender = find_running(name);
        if (decision.admitted || lender == nullptr || lender == &vm ||
            !are_linked(vm, *lender))
            return;
        ++outcome_.loan_requests;
        decision = lender->limiter->lend(account, operations, now_);
        if (is_answer_lost())
            decision = {false, milliseconds(20), false};
    };
    const auto domain = std::to_string(vm.domain);
    for (const auto& listed : lenders_.of(account))
        if (listed.failure_domain == domain)
            borrow_from(listed.vm);
    if (!decision.admitted && reaches_leader(vm))
    {
        ++outcome_.loan_requests;
        decision = leader_allocator().borrow(account, now_, operations);
        if (is_answer_lost())
            decision = {false, milliseconds(20), false};
    }
    for (const auto& listed : lenders_.of(account))
        if (listed.failure_domain != domain)
            borrow_from(listed.vm);
    return decision;
}

void limit_fleet::drop_before(std::deque<time_point>& times, time_point start)
{
    while (!times.empty() && times.front() <= start)
        times.pop_front();
}

void limit_fleet::check(account_state& account, bool is_admitted,
                        bool has_leader)
{
    const auto start = now_ - tolerance.window;
    drop_before(account.offered_at, start);
    drop_before(account.admitted_at, start);
    while (account.limits.size() > 1 && account.limits[1].at <= start)
        account.limits.pop_front();
    const auto [lowest, highest] = std::minmax_element(
        account.limits.begin(), account.limits.end(),
        [](const limit_change& left, const limit_change& right)
        { return left.operations_per_window < right.operations_per_window; });
    account.offered_at.push_back(now_);
    const bool is_inside = static_cast<double>(account.offered_at.size()) <=
                           inside_fraction * lowest->operations_per_window;
    if (is_admitted)
    {
        account.admitted_at.push_back(now_);
        const auto allowed = highest->operations_per_window *
                                 (1 + tolerance.overshoot_fraction) +
                             tolerance.slack_operations;
        const auto fraction =
            static_cast<double>(account.admitted_at.size()) / allowed;
        if (fraction > outcome_.max_window_fraction)
        {
            outcome_.max_window_fraction = fraction;
            outcome_.max_window_account = account.name;
        }
    }
    for (auto* count :
         {&outcome_.total, account.base_rate < min_shared_rate_per_second
                               ? &outcome_.small
                               : &outcome_.large})
    {
        ++count->offered;
        count->admitted += is_admitted ? 1 : 0;
        count->refused += is_admitted ? 0 : 1;
        const bool is_refused_inside = !is_admitted && is_inside;
        count->refused_inside += is_refused_inside ? 1 : 0;
        count->refused_inside_with_leader +=
            is_refused_inside && has_leader && now_ >= elected_at_ + seconds(1)
                ? 1
                : 0;
    }
}

} // namespace oleandergrade::fakes
