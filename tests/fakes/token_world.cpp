#include "token_world.hpp"

#include <algorithm>
#include <cmath>

namespace fakes
{

namespace
{

constexpr auto tick_interval = milliseconds(20);
constexpr auto pump_interval = milliseconds(10);
constexpr auto platform_timeout = milliseconds(1000);
constexpr auto heartbeat_timeout = milliseconds(1000);
constexpr auto bank_timeout = milliseconds(200);
constexpr auto admission_wait = milliseconds(500);
constexpr auto opening_delay =
    token_bank::batch_validity + token_bank::lapse_margin;
constexpr auto warm_up = seconds(10);
constexpr auto version_interval = milliseconds(2500);
/// A withdrawn key may be accepted for this long, the limit of
/// configuration_freshness and the spreading of the change included.
constexpr auto longest_stale = seconds(7);
constexpr auto burst_cycle = milliseconds(4000);
constexpr auto heavy_burst_cycle = milliseconds(7000);
constexpr double rate_between_heavy_bursts = 0.1;
constexpr auto burst_length = milliseconds(200);
constexpr double light_burst_factor = 3;
constexpr double rate_between_bursts = 0.85;
constexpr auto endless = seconds(10);
constexpr double tolerance = 1e-3;
const std::string lead_prefix = "leads/";

} // namespace

struct token_world::vm_state
{
    std::shared_ptr<host> machine;
    std::unique_ptr<control_plane> plane;
    std::unique_ptr<token_bank> bank;
    std::unique_ptr<token_borrower> borrower;
    std::map<std::string, std::string> leads;
    std::uint64_t version = 0;
    time_point bank_usable_until;
    time_point bank_closed_at;
    bool bank_was_open = false;
    std::map<std::uint64_t, std::shared_ptr<account_state>> waiting;
};

/// An account with a true token bucket beside the lent ones.
struct token_world::account_state
{
    std::string name;
    double rate = 0;
    double burst = 0;
    std::vector<time_point> grants;
    /// What a single bucket that sees all requests would still hold.
    double ideal_tokens = 0;
    time_point ideal_at;
    std::uint64_t ideal_refusals = 0;
    std::uint64_t refusals = 0;
};

token_world::token_world(std::uint64_t seed, const token_world_faults& faults,
                         planted_limit_bug bug, std::size_t domains,
                         std::size_t vms_per_domain)
    : network_(seed), faults_(faults), bug_(bug), bursty_(seed % 2 == 0)
{
    network_.faults.longest_delay = milliseconds(2);
    platform_ = std::make_shared<host>(host{"platform", "platform"});
    vm_list list;
    for (std::size_t d = 0; d < domains; ++d)
    {
        domains_.push_back("D" + std::to_string(d));
        for (std::size_t i = 0; i < vms_per_domain; ++i)
        {
            auto each = std::make_shared<vm_state>();
            const auto name = domains_[d] + "-" + std::to_string(i);
            each->machine = std::make_shared<host>(host{name, domains_[d]});
            list.vms.push_back({name, name, domains_[d], false});
            list.text += name + ";";
            vms_.push_back(each);
        }
    }
    list_ = std::make_shared<const vm_list>(list);
    accepted_[1] = network_.now();
    changed_at_ = network_.now();
    for (const auto& [name, rate, burst] :
         {std::tuple{"large", 400.0, 200.0}, std::tuple{"small", 20.0, 20.0},
          std::tuple{"patient", 10.0, 60.0}})
    {
        auto account = std::make_shared<account_state>();
        account->name = name;
        account->rate = rate;
        account->burst = burst;
        account->ideal_tokens = burst;
        account->ideal_at = network_.now();
        accounts_.push_back(account);
    }
    for (const auto& each : vms_)
        start_vm(each);
    for (const auto& each : vms_)
    {
        tick(each);
        pump(each);
    }
}

token_world::~token_world() = default;

// A VM that starts has forgotten everything.
void token_world::start_vm(const vm_handle& each)
{
    const auto& machine = each->machine;
    const auto now = network_.now();
    each->plane = std::make_unique<control_plane>(
        control_identity{machine->name, machine->domain, machine->run}, now);
    each->plane->use_vms(list_);
    each->bank = std::make_unique<token_bank>();
    std::map<std::string, account_limits> limits;
    for (const auto& account : accounts_)
        limits[account->name] = {
            account->rate / static_cast<double>(domains_.size()),
            account->burst / static_cast<double>(domains_.size())};
    each->bank->use_limits(limits, now);
    auto lenders = domains_;
    std::stable_partition(lenders.begin(), lenders.end(),
                          [&](const auto& d) { return d == machine->domain; });
    each->borrower = std::make_unique<token_borrower>(machine->name, lenders);
    each->leads.clear();
    each->waiting.clear();
    each->version = 0;
    each->bank_usable_until = {};
    each->bank_closed_at = now;
    each->bank_was_open = false;
}

void token_world::tick(const vm_handle& each)
{
    const auto machine = each->machine;
    network_.on_host(machine, machine->run,
                     [this, each]
                     {
                         for (const auto& action : each->plane->tick(
                                  network_.now(), network_.share()))
                             perform(each, action);
                         take_in_news(each);
                         update_bank(each);
                         check_leads();
                         note_acceptance();
                     });
    network_.at(std::max(machine->paused_until, network_.now()) + tick_interval,
                [this, each] { tick(each); });
}

void token_world::pump(const vm_handle& each)
{
    const auto machine = each->machine;
    network_.on_host(machine, machine->run,
                     [this, each]
                     {
                         const auto now = network_.now();
                         for (const auto& call : each->borrower->due_calls(now))
                             call_bank(each, call);
                         for (const auto& result :
                              each->borrower->take_results())
                             end_wait(each, result.ticket, result.admitted);
                     });
    network_.at(std::max(machine->paused_until, network_.now()) + pump_interval,
                [this, each] { pump(each); });
}

void token_world::perform(const vm_handle& each, const control_action& action)
{
    if (const auto* election = std::get_if<election_action>(&action))
    {
        run_election(each, election->call);
        return;
    }
    if (std::holds_alternative<read_platform_action>(action))
    {
        read_platform(each);
        return;
    }
    const auto& send = std::get<send_heartbeat_action>(action);
    const auto peer = find(send.vm);
    const auto sent_at = network_.now();
    network_.call<heartbeat>(
        each->machine, peer->machine, heartbeat_timeout,
        [this, peer, state = send.state]
        {
            auto reply = peer->plane->on_heartbeat(state, network_.now());
            take_in_news(peer);
            return reply;
        },
        [this, each, vm = send.vm, sent_at](const result<heartbeat>& outcome)
        {
            if (!succeeded(outcome))
                return;
            each->plane->on_heartbeat_reply(vm, value_of(outcome), sent_at);
            take_in_news(each);
        });
}

void token_world::run_election(const vm_handle& each, election_call call)
{
    const auto key = lead_prefix + each->machine->domain;
    const auto sent_at = network_.now();
    if (call.what == election_call::kind::read)
    {
        network_.call<platform_value>(
            each->machine, platform_, platform_timeout,
            [this, key]
            {
                const auto stored = store_.get(key, network_.now());
                return stored ? platform_value{key, stored->value,
                                               stored->revision}
                              : platform_value{key, "", 0};
            },
            [this, each](const result<platform_value>& outcome)
            { each->plane->election().on_read(outcome, network_.now()); });
        return;
    }
    if (call.what == election_call::kind::acquire)
    {
        const control_identity self{each->machine->name, each->machine->domain,
                                    each->machine->run};
        network_.call<std::uint64_t>(
            each->machine, platform_, platform_timeout,
            [this, key, self]
            {
                return store_
                    .compare_and_swap(key, 0, self.lease_value(),
                                      lead_election::lease_duration,
                                      network_.now())
                    .value_or(0);
            },
            [this, each, sent_at](const result<std::uint64_t>& outcome)
            {
                result<std::uint64_t> answer = outcome;
                if (succeeded(outcome) && value_of(outcome) == 0)
                    answer = error{error_kind::conflict, "cas", "", ""};
                each->plane->election().on_acquired(answer, sent_at,
                                                    network_.now());
            });
        return;
    }
    network_.call<bool>(
        each->machine, platform_, platform_timeout,
        [this, key, revision = call.revision]
        {
            return store_.renew(key, revision, lead_election::lease_duration,
                                network_.now());
        },
        [this, each, sent_at](const result<bool>& outcome)
        {
            result<bool> answer = outcome;
            if (succeeded(outcome) && !value_of(outcome))
                answer = error{error_kind::conflict, "renew", "", ""};
            each->plane->election().on_renewed(answer, sent_at, network_.now());
        });
}

void token_world::read_platform(const vm_handle& each)
{
    const auto sent_at = network_.now();
    network_.call<std::uint64_t>(
        each->machine, platform_, platform_timeout,
        [this]
        {
            store_.count_watch();
            return latest_version_;
        },
        [this, each, sent_at](const result<std::uint64_t>& outcome)
        {
            if (!succeeded(outcome))
                return;
            use_version(each, value_of(outcome));
            each->plane->on_platform_read(value_of(outcome), sent_at);
        });
}

void token_world::take_in_news(const vm_handle& each)
{
    for (const auto& news : each->plane->take_news())
    {
        if (const auto* lead = std::get_if<lead_change>(&news))
            each->leads[lead->failure_domain] = lead->vm;
        const auto* newer = std::get_if<newer_configuration>(&news);
        if (newer == nullptr)
            continue;
        const auto peer = find(newer->vm);
        network_.call<std::uint64_t>(
            each->machine, peer->machine, heartbeat_timeout,
            [peer] { return peer->version; },
            [this, each](const result<std::uint64_t>& outcome)
            {
                if (succeeded(outcome))
                    use_version(each, value_of(outcome));
            });
    }
}

void token_world::use_version(const vm_handle& each, std::uint64_t version)
{
    if (version <= each->version)
        return;
    each->version = version;
    each->plane->use_configuration(version, domains_);
    if (version != latest_version_)
        return;
    const bool everywhere = std::all_of(vms_.begin(), vms_.end(),
                                        [&](const vm_handle& other)
                                        { return other->version == version; });
    if (everywhere)
    {
        const std::chrono::duration<double> spread =
            network_.now() - changed_at_;
        outcome_.longest_spread_seconds =
            std::max(outcome_.longest_spread_seconds, spread.count());
    }
}

// Follows bank_service::update_lead.
void token_world::update_bank(const vm_handle& each)
{
    const auto now = network_.now();
    const auto& election = each->plane->election();
    if (election.leads(now))
        each->leads[each->machine->domain] = each->machine->name;
    const bool lapsed = each->bank->is_open() && now >= each->bank_usable_until;
    const auto until = leads_until(each);
    each->bank_usable_until = until;
    if (lapsed || (each->bank->is_open() && now >= until))
    {
        each->bank->close();
        each->bank_closed_at = now;
    }
    const auto delay = bug_ == planted_limit_bug::forgetful_bank
                           ? milliseconds(0)
                           : opening_delay;
    const auto opens_at =
        std::max(election.leading_since(), each->bank_closed_at) + delay;
    if (each->bank->is_open() || now >= until || now < opens_at)
        return;
    each->bank->open(
        bug_ == planted_limit_bug::forgetful_bank ? now - seconds(60) : now);
    ++outcome_.leads;
}

token_grant token_world::lend(const vm_handle& each,
                              const token_request& request)
{
    token_grant refusal;
    refusal.account = request.account;
    if (!each->bank->is_open() || network_.now() >= each->bank_usable_until)
        return refusal;
    return each->bank->lend(request, network_.now());
}

void token_world::call_bank(const vm_handle& each, const borrow_call& call)
{
    const auto sent_at = network_.now();
    const auto lead = find(each->leads[call.lender_domain]);
    if (!lead)
    {
        each->borrower->on_failure(call.lender_domain, call, sent_at);
        return;
    }
    network_.call<token_grant>(
        each->machine, lead->machine, bank_timeout,
        [this, lead, request = call.request] { return lend(lead, request); },
        [this, each, call, sent_at](const result<token_grant>& outcome)
        {
            const auto now = network_.now();
            if (!succeeded(outcome))
            {
                each->borrower->on_failure(call.lender_domain, call, now);
                return;
            }
            each->borrower->on_grant(call.lender_domain, call,
                                     value_of(outcome), sent_at, now);
            for (const auto& next : each->borrower->due_calls(now))
                call_bank(each, next);
            for (const auto& ended : each->borrower->take_results())
                end_wait(each, ended.ticket, ended.admitted);
        });
}

token_world_outcome token_world::run(duration time, double demand,
                                     double burst_factor)
{
    burst_factor_ = burst_factor;
    demand_ = demand;
    const auto start = network_.now();
    end_ = start + warm_up + time;
    last_fault_ = start;
    for (const auto& account : accounts_)
        network_.after(warm_up, [this, account] { arrive(account); });
    network_.after(warm_up, [this] { inject_faults(end_); });
    network_.after(warm_up, [this] { change_configuration(); });
    network_.run_until(end_ + seconds(3));
    for (const auto& account : accounts_)
    {
        // Grants in every interval between two of them stay within the
        // burst and what accrues in the interval.
        const auto& grants = account->grants;
        double level = 0;
        time_point at = start;
        for (const auto when : grants)
        {
            const std::chrono::duration<double> gap = when - at;
            at = when;
            level = std::max(0.0, level - gap.count() * account->rate) + 1;
            if (level <= account->burst + tolerance)
                continue;
            violation(account->name + " got more than its rate and burst");
            break;
        }
    }
    for (const auto& account : accounts_)
    {
        outcome_.refused += account->refusals;
        outcome_.wrongly_refused +=
            account->refusals -
            std::min(account->refusals, account->ideal_refusals);
    }
    const std::chrono::duration<double> seconds_run = network_.now() - start;
    outcome_.seconds = seconds_run.count();
    const auto& counts = store_.counts();
    outcome_.platform_calls = counts.get + counts.list +
                              counts.compare_and_swap + counts.renew +
                              counts.watch;
    return outcome_;
}

void token_world::arrive(const std::shared_ptr<account_state>& account)
{
    if (network_.now() >= end_)
        return;
    const auto mean =
        1 / (account->rate * demand_ * current_burst_factor(*account));
    const auto gap = -std::log(1 - network_.share()) * mean;
    network_.after(std::chrono::duration_cast<duration>(
                       std::chrono::duration<double>(gap)),
                   [this, account] { arrive(account); });
    const auto each = vms_[network_.below(vms_.size())];
    const auto now = network_.now();
    if (!each->machine->up || each->machine->paused_until > now)
        return;
    if (!each->plane->freshness().state(now).may_serve &&
        bug_ != planted_limit_bug::stale_keys)
    {
        ++outcome_.stale;
        return;
    }

    const std::chrono::duration<double> since = now - account->ideal_at;
    account->ideal_at = now;
    account->ideal_tokens = std::min(
        account->burst, account->ideal_tokens + since.count() * account->rate);
    ++outcome_.requests;
    if (account->ideal_tokens >= 1)
        account->ideal_tokens -= 1;
    else
        ++account->ideal_refusals;

    // A key that the next version withdraws is still accepted here.
    const auto next = accepted_.upper_bound(each->version);
    if (next != accepted_.end() && now - next->second > longest_stale)
        violation(each->machine->name + " still uses version " +
                  std::to_string(each->version) +
                  " long after the next one was accepted");

    const auto ticket = next_ticket_++;
    if (each->borrower->admit(ticket, account->name, now + admission_wait, now))
    {
        count_grant(account, each);
        return;
    }
    each->waiting[ticket] = account;
    for (const auto& call : each->borrower->due_calls(now))
        call_bank(each, call);
}

// Half of the seeds send in bursts.
double token_world::current_burst_factor(const account_state& account) const
{
    if (!bursty_)
        return 1;
    // Heavy bursts empty the bucket of every account, which fills up in the
    // quiet time before the next one.
    const bool is_heavy = burst_factor_ > light_burst_factor;
    const auto cycle = is_heavy ? heavy_burst_cycle : burst_cycle;
    const auto in_cycle = network_.now().time_since_epoch() % cycle;
    if (in_cycle >= burst_length)
        return is_heavy ? rate_between_heavy_bursts : rate_between_bursts;
    return is_heavy ? burst_factor_ * 2 * account.burst / account.rate
                    : burst_factor_;
}

// Until when a VM believes that it leads.
time_point token_world::leads_until(const vm_handle& each) const
{
    const auto until = each->plane->election().leads_until();
    const bool exaggerates = bug_ == planted_limit_bug::endless_lease;
    return exaggerates && until != time_point{} ? until + endless : until;
}

void token_world::end_wait(const vm_handle& each, std::uint64_t ticket,
                           bool admitted)
{
    const auto found = each->waiting.find(ticket);
    if (found == each->waiting.end())
        return;
    if (admitted)
        count_grant(found->second, each);
    else
        ++found->second->refusals;
    each->waiting.erase(found);
}

void token_world::count_grant(const std::shared_ptr<account_state>& account,
                              const vm_handle&)
{
    ++outcome_.granted;
    account->grants.push_back(network_.now());
}

// Accepts a new configuration through a VM that may accept one, as
// control_service::apply does.
void token_world::change_configuration()
{
    if (network_.now() >= end_)
        return;
    network_.after(version_interval, [this] { change_configuration(); });
    const auto each = vms_[network_.below(vms_.size())];
    const auto now = network_.now();
    const bool may_apply = each->machine->up &&
                           each->machine->paused_until <= now &&
                           each->plane->freshness().hears_majority(now) &&
                           each->version == latest_version_;
    if (!may_apply)
        return;
    const auto next = latest_version_ + 1;
    network_.call<std::uint64_t>(
        each->machine, platform_, platform_timeout,
        [this, next]
        {
            if (latest_version_ == next - 1)
            {
                latest_version_ = next;
                changed_at_ = network_.now();
            }
            return latest_version_;
        },
        [this, each](const result<std::uint64_t>& outcome)
        {
            if (succeeded(outcome))
                use_version(each, value_of(outcome));
        });
}

void token_world::inject_faults(time_point end)
{
    if (network_.now() >= end)
        return;
    inject_fault();
    network_.after(milliseconds(500 + network_.below(1500)),
                   [this, end] { inject_faults(end); });
}

void token_world::inject_fault()
{
    std::vector<std::function<void()>> choices;
    const auto any = vms_[network_.below(vms_.size())];
    const auto length = milliseconds(200 + network_.below(6000));
    const auto& from = domains_[network_.below(domains_.size())];
    const auto& to = domains_[network_.below(domains_.size())];
    if (faults_.messages)
        choices.push_back(
            [this]
            {
                network_.faults.loss = network_.share() * 0.2;
                network_.faults.repetition = network_.share() * 0.2;
                network_.faults.stray = network_.share() * 0.1;
            });
    if (faults_.restarts)
        choices.push_back(
            [this, any]
            {
                ++any->machine->run;
                start_vm(any);
            });
    if (faults_.pauses)
        choices.push_back(
            [this, any, length]
            { any->machine->paused_until = network_.now() + length; });
    if (faults_.cuts)
        choices.push_back(
            [this, from, to, length]
            {
                if (from != to)
                    network_.cut(from, to);
                if (from != to && network_.share() < 0.5)
                    network_.cut(to, from);
                if (network_.share() < 0.4)
                    network_.cut(from, "platform");
                if (network_.share() < 0.2)
                    for (const auto& other : domains_)
                        if (other != from)
                            network_.cut(from, other);
                network_.after(length, [this] { network_.heal(); });
            });
    if (faults_.platform)
        choices.push_back(
            [this, length]
            {
                platform_->up = false;
                network_.after(length * 2, [this] { platform_->up = true; });
            });
    if (choices.empty())
        return;
    ++outcome_.faults;
    choices[network_.below(choices.size())]();
}

void token_world::check_leads()
{
    const auto now = network_.now();
    std::map<std::string, unsigned> leads;
    for (const auto& each : vms_)
        if (each->machine->paused_until <= now && now < leads_until(each) &&
            ++leads[each->machine->domain] > 1)
            violation("two VMs lead " + each->machine->domain);
}

// A change counts as accepted once the leads of a majority of the domains have
// it in force, which is when control_service::apply reports success.
void token_world::note_acceptance()
{
    if (accepted_.contains(latest_version_))
        return;
    std::set<std::string> holders;
    for (const auto& each : vms_)
        if (each->version >= latest_version_ &&
            network_.now() < leads_until(each))
            holders.insert(each->machine->domain);
    if (holders.size() <= domains_.size() / 2)
        return;
    accepted_[latest_version_] = network_.now();
    ++outcome_.versions;
}

void token_world::violation(const std::string& line)
{
    if (std::find(outcome_.violations.begin(), outcome_.violations.end(),
                  line) == outcome_.violations.end())
        outcome_.violations.push_back(line);
}

token_world::vm_handle token_world::find(const std::string& name) const
{
    for (const auto& each : vms_)
        if (each->machine->name == name)
            return each;
    return nullptr;
}

} // namespace fakes
