#include <oleandergrade/process/membership/fleet_service.hpp>

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/endpoint.hpp>
#include <oleandergrade/connection/listener.hpp>
#include <oleandergrade/connection/protocol_level.hpp>
#include <oleandergrade/connection/socket_options.hpp>
#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/membership/member_registration.hpp>
#include <oleandergrade/process/store_revision.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace oleandergrade
{
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace
{

/// Longest time between two checks for a due election call.
constexpr auto max_election_wait = milliseconds(250);
/// Members beyond this rank compete in elections at the same time as this rank,
/// which bounds their delay.
constexpr std::size_t max_election_rank = 100;
/// Number of VMs of each failure domain that follow the store always. Leaders
/// and relays are among them.
constexpr std::size_t followers_per_domain = 2;
/// Number of other VMs that a VM of a large fleet reports to while it has no
/// leader.
constexpr std::size_t max_report_peers = 3;
/// A VM of a large fleet closes a link to another VM that has not been used for
/// this long. Links that are in use carry a call at least each second.
constexpr auto max_link_idle_time = milliseconds(3000);
/// Timeout for the statements at a primary that is replaced as planned: its
/// closed record is confirmed when they have ended, or after this time.
constexpr auto planned_closing_timeout = milliseconds(250);
/// How often it is checked whether these statements have ended.
constexpr auto planned_closing_poll_interval = milliseconds(10);
/// A stopping leader keeps its lease for this long while an order that it has
/// sent is not answered.
constexpr auto max_order_wait = milliseconds(1500);
constexpr auto order_poll_interval = milliseconds(5);
/// If the store last answered the leader longer ago than this, VMs confirm the
/// state of the store themselves instead of relying on the leader.
constexpr auto max_leader_store_age = milliseconds(2000);
/// The store counts as available for this long after an answer. Not longer than
/// the timeout of a call, so that calls which get no answer because the store
/// is unavailable do not find it available when they fail.
constexpr auto max_answer_age = milliseconds(1000);
/// A VM whose store shows other evacuated domains than the leader's for longer
/// than this reads them again.
constexpr auto max_evacuation_difference = milliseconds(1000);
/// How often a VM with a relay reports its demands. Its shares are valid for
/// several times as long.
constexpr auto relayed_demand_interval = milliseconds(700);
static_assert(operation_limiter::share_validity >= 3 * relayed_demand_interval);

} // namespace

fleet_service::fleet_service(asio::io_context& context, fleet_state& state)
    : context_(context), state_(state),
      election_({state.settings.name, state.incarnation,
                 state.settings.advertised_peer_address}),
      peers_(context.get_executor()),
      failover_(context.get_executor(), state, election_, grant_tracker_,
                peers_),
      grants_(state, election_, leader_, failover_, grant_tracker_),
      lending_(context.get_executor(), state, election_, grants_, peers_,
               [this] { return leader_address(); }),
      isolation_(context.get_executor(), state, leader_, peers_,
                 [this] { return make_report(); }),
      relay_(context.get_executor(), [this](relayed_reports reports)
             { return send_relayed_reports(std::move(reports)); }),
      store_mirror_(context.get_executor(), state),
      own_keys_follower_(
          context.get_executor(), state.store, own_prefix,
          store_mirror::confirmation_interval(state.settings),
          {[this](const stored_range& range) { apply_all_own_keys(range); },
           [this](const stored_change& change)
           {
               apply_own_key(change);
               on_changes_applied(change.revision);
           },
           [this] { update_retry_delays(own_keys_follower_.mode()); }}),
      copies_(context.get_executor(), state, store_mirror_, own_keys_follower_,
              peers_, [this] { return leader_address(); }),
      acceptor_(context), election_wake_timer_(context),
      report_wake_timer_(context),
      random_(static_cast<std::minstd_rand::result_type>(state.incarnation)),
      report_peers_(
          max_report_peers,
          static_cast<std::minstd_rand::result_type>(state.incarnation))
{
    failover_.on_local_notice = [this](primary_notice notice)
    { return handle_notice(std::move(notice)); };
    state_.configuration.subscribe(
        [this](const route_table& table)
        {
            state_.update_limits();
            grants_.set_limits(table, current_time());
        });
    failover_.on_higher_token = [this](std::uint64_t token)
    { on_higher_token(token); };
    grants_.on_higher_token = [this](std::uint64_t token)
    { on_higher_token(token); };
    grants_.is_current = [this] { return is_current(); };
    grants_.on_newer_configuration = [this](const std::string& address)
    { copies_.fetch_from(address); };
    copies_.on_members_applied = [this] { on_members_changed(); };
    store_mirror_.on_call_ended = [this]
    { update_retry_delays(own_keys_follower_.mode()); };
}

fleet_service::~fleet_service() = default;

void fleet_service::start()
{
    started_at_ = current_time();
    store_mirror_.set_follow_mode(follow_mode::paused);
    const auto endpoint = parse_endpoint(state_.settings.peer_address);
    if (!succeeded(endpoint))
        throw boost::system::system_error(
            asio::error::make_error_code(asio::error::invalid_argument),
            state_.settings.peer_address);
    listen_with_port_reuse(acceptor_, value_of(endpoint));
    const auto executor = context_.get_executor();
    asio::co_spawn(executor, accept_loop(), asio::detached);
    store_mirror_.start();
    own_keys_follower_.start();
    asio::co_spawn(executor, register_member(), asio::detached);
    asio::co_spawn(executor, run_election(), asio::detached);
    asio::co_spawn(executor, run_report_loop(), asio::detached);
    failover_.start();
}

asio::awaitable<void> fleet_service::retire()
{
    election_.retire();
    failover_.stop_ordering();
    // The successor's orders must not arrive before this leader's.
    const auto deadline = current_time() + max_order_wait;
    while (failover_.has_open_orders() && current_time() < deadline)
        co_await sleep_for(order_poll_interval);
    const bool has_open_orders = failover_.has_open_orders();
    const auto lease = election_.lease_id();
    if (!election_.is_leader() || lease == 0)
        co_return;
    log_event(event_level::info, "duty", "resigned",
              {{"token", election_.token()}});
    election_.on_renewed(error{error_kind::conflict, "retire", "", "stopping"},
                         current_time(), current_time());
    on_election_event();
    // The lease lapses if an order may still take effect.
    if (!has_open_orders)
        co_await end_lease(lease);
}

std::vector<followed_prefix>
fleet_service::followed_prefixes(time_point now) const
{
    auto prefixes = store_mirror_.followed_prefixes(now);
    prefixes.push_back(own_keys_follower_.status(now));
    return prefixes;
}

void fleet_service::apply_all_own_keys(const stored_range& range)
{
    check_store_generation();
    stored_item leader_item{leader_key, "", 0};
    std::vector<std::string> unlisted_members = state_.members.names();
    std::set<std::string> listed_groups;
    bool has_lender_table = false;
    for (const auto& item : range.items)
    {
        if (item.key == leader_key)
            leader_item = item;
        else if (item.key.starts_with(members_prefix))
            apply_member({item.key, item.value, item.revision});
        else
            apply_own_key({item.key, item.value, item.revision});
        std::erase(unlisted_members,
                   item.key.substr(std::min(
                       item.key.size(), std::string(members_prefix).size())));
        if (item.key.starts_with(primaries_prefix))
            listed_groups.insert(
                item.key.substr(std::string(primaries_prefix).size()));
        has_lender_table = has_lender_table || item.key == lenders_key;
    }
    failover_.on_store_read(listed_groups);
    if (!has_lender_table)
        lending_.on_stored_table({lenders_key, std::nullopt, 0});
    // A VM whose registration was lost may hold a grant all the same.
    if (!store_was_restored_)
        for (const auto& name : unlisted_members)
            if (name != state_.settings.name)
                state_.members.remove(name);
    restore_registrations(unlisted_members, range);
    const auto earlier_leader = election_.known_leader().address;
    election_.on_key_observed(leader_item, range.store_revision,
                              current_time());
    // A VM that starts does not wait for the next interval of the report loop,
    // unless the leader would receive the reports of too many VMs at once.
    const auto& leader_address = election_.known_leader().address;
    if (!leader_address.empty() && leader_address != earlier_leader &&
        state_.members.size() < state_.settings.relay_from)
        switch_to_leader("");
    on_election_event();
    on_members_changed();
    on_changes_applied(range.store_revision);
}

void fleet_service::on_changes_applied(std::uint64_t store_revision)
{
    const bool had_complete_view = election_.has_complete_view();
    election_.on_changes_applied(store_revision);
    if (had_complete_view || !election_.has_complete_view())
        return;
    log_event(event_level::info, "duty", "view complete",
              {{"token", election_.token()},
               {"revision", store_number(store_revision)},
               {"members", state_.members.size()}});
    if (is_first_leader_ && store_shows_earlier_leader())
        grants_.on_predecessor_found(current_time());
    grant_to_self(current_time());
    failover_.wake();
}

// Only leaders write these keys, and they do so soon after their first grants.
bool fleet_service::store_shows_earlier_leader() const
{
    return !state_.view.authority.records().empty() ||
           lending_.table_version() != 0;
}

void fleet_service::apply_own_key(const stored_change& change)
{
    const auto now = current_time();
    if (change.key == leader_key)
    {
        const stored_item item{change.key, change.value.value_or(""),
                               change.value ? change.revision : 0};
        election_.on_key_observed(item, change.revision, now);
        switch_to_leader("");
        on_election_event();
        return;
    }
    if (change.key.starts_with(members_prefix))
    {
        apply_member(change);
        on_members_changed();
        if (!election_.is_leader())
            own_keys_follower_.delay_next_watch(pacing().watch_pause());
        return;
    }
    if (change.key == lenders_key)
        return lending_.on_stored_table(change);
    if (!change.key.starts_with(primaries_prefix) || !change.value)
        return;
    const auto stored =
        parse_stored_primary_record(*change.value, change.revision);
    if (!succeeded(stored))
        return log_event(
            event_level::error, "failover", "primary record cannot be parsed",
            {{"key", change.key}, {"error", to_string(error_of(stored))}});
    // The leader finds out whether the record is still valid.
    if (!value_of(stored).may_be_superseded())
        apply_primary_record(value_of(stored).record, "store");
    failover_.on_stored_record(value_of(stored));
}

void fleet_service::check_store_generation()
{
    const auto generation = state_.store.generation();
    const auto previous = std::exchange(store_generation_, generation);
    if (previous == generation)
        return;
    const auto followed = own_keys_follower_.status(current_time());
    log_event(event_level::warning, "store",
              previous == 0 ? "generation" : "restored from a copy",
              {{"generation", generation},
               {"before", previous},
               {"revision_before", store_number(followed.revision)},
               {"token", state_.view.authority.highest_token()}});
    if (previous == 0)
        return;
    store_was_restored_ = true;
    // A watch of the earlier generation may never be answered.
    own_keys_follower_.refresh("the store was restored");
    store_mirror_.refresh("the store was restored");
    failover_.on_store_restored();
}

void fleet_service::restore_registrations(
    const std::vector<std::string>& lost_members, const stored_range& range)
{
    const auto own_key = members_prefix + state_.settings.name;
    const auto own = std::find_if(range.items.begin(), range.items.end(),
                                  [&](const stored_item& item)
                                  { return item.key == own_key; });
    const auto stored_member = own == range.items.end()
                                   ? parse_fleet_member("")
                                   : parse_fleet_member(own->value);
    const bool is_listed =
        succeeded(stored_member) &&
        value_of(stored_member).incarnation == state_.incarnation;
    if (registered_ && !is_listed && store_was_restored_)
    {
        registered_ = false;
        asio::co_spawn(context_, register_member(), asio::detached);
    }
    if (!election_.is_leader() || !store_was_restored_)
        return;
    for (const auto& name : lost_members)
        if (const auto* member = state_.members.find(name);
            member != nullptr && name != state_.settings.name)
            asio::co_spawn(context_, restore_registration(*member),
                           asio::detached);
}

asio::awaitable<void> fleet_service::restore_registration(fleet_member member)
{
    conditional_write change;
    change.key = members_prefix + member.name;
    change.value = serialize_fleet_member(member);
    change.expected = {{change.key, "", 0},
                       {leader_key, "", election_.key_revision()}};
    const auto outcome = co_await state_.store.write(std::move(change));
    log_event(event_level::info, "membership", "registration written again",
              {{"vm", member.name},
               {"outcome",
                succeeded(outcome) ? "stored" : to_string(error_of(outcome))}});
}

void fleet_service::on_higher_token(std::uint64_t token)
{
    state_.view.authority.on_token(token);
    if (!election_.is_leader() || token <= election_.token())
        return;
    log_event(event_level::warning, "duty", "higher token observed",
              {{"token", election_.token()}, {"observed", token}});
    const auto lease = election_.lease_id();
    election_.on_token_observed(token);
    on_election_event();
    // If no other VM is the leader, the next election begins at once.
    asio::co_spawn(context_, end_lease(lease), asio::detached);
}

asio::awaitable<void> fleet_service::end_lease(std::uint64_t lease)
{
    const auto outcome = co_await state_.store.end_lease(lease);
    if (!succeeded(outcome))
        log_event(event_level::info, "duty", "lease not ended",
                  {{"error", to_string(error_of(outcome))}});
}

void fleet_service::apply_member(const stored_change& change)
{
    const auto name = change.key.substr(std::string(members_prefix).size());
    if (!change.value)
        return state_.members.remove(name);
    auto member = parse_fleet_member(*change.value);
    if (!succeeded(member))
        return;
    const auto* known = state_.members.find(name);
    if (known == nullptr || known->incarnation != value_of(member).incarnation)
        grants_.on_registered(name, current_time());
    state_.members.put(value_of(member));
}

void fleet_service::apply_primary_record(const primary_record& record,
                                         const char* source)
{
    if (!state_.view.authority.on_record(record))
        return;
    // The primary has answered the leader before the record was opened.
    if (record.is_open)
    {
        state_.view.health.discard_failures(record.target);
        state_.view.set_awaited_replicas(record.group, {});
    }
    state_.view.wait_estimator.on_record(record, current_time());
    log_event(event_level::info, "failover", "record",
              {{"group", record.group},
               {"term", record.term},
               {"target", record.target},
               {"open", record.is_open ? "yes" : "no"},
               {"revision", record.revision},
               {"source", source}});
    // Statements at a primary that is replaced after a failure get no more
    // answers; their callers are notified at once.
    if (!record.is_open && !record.is_planned)
        state_.pool.abort_exchanges(record.target);
    state_.pool.serve_waiting(record.group);
}

void fleet_service::on_members_changed()
{
    const auto rank = state_.members.rank_of(state_.settings.name);
    election_.set_rank(std::min(rank, max_election_rank));
    grants_.on_members_changed(current_time());
    rank_in_domain_ = state_.members.rank_in_domain(state_.settings.name);
    is_follower_ = known_fleet_size() < large_fleet_size ||
                   rank_in_domain_ < followers_per_domain;
    update_follow_mode(current_time());
    // A large fleet that starts is known by its seeds before all are members.
    const auto fleet_size = known_fleet_size();
    state_.min_member_count = fleet_size < large_fleet_size
                                  ? 0
                                  : static_cast<std::uint32_t>(fleet_size);
    state_.update_limits();
}

// The registration is never removed when the VM stops, because the leader must
// have a record of every VM that may still hold a grant.
asio::awaitable<void> fleet_service::register_member()
{
    const fleet_member self{state_.settings.name,
                            state_.settings.advertised_peer_address,
                            state_.incarnation,
                            state_.settings.failure_domain,
                            state_.settings.processor_millicores,
                            protocol_level};
    member_registration registration(
        state_.store, members_prefix + self.name, self,
        {[this] { return pacing(); },
         [this]
         {
             return own_keys_follower_.is_connected() ||
                    own_keys_follower_.is_paused();
         }},
        random_());
    const auto sent_at = co_await registration.run();
    state_.limiter.on_registered(sent_at);
    registered_ = true;
    election_wake_timer_.cancel();
    log_event(event_level::info, "membership", "registered",
              {{"address", self.address}});
}

asio::awaitable<void> fleet_service::run_election()
{
    for (;;)
    {
        const auto now = current_time();
        // In a large fleet the calls for the fleet's own keys find out whether
        // the store is available. Only the leader calls it meanwhile.
        const bool may_call =
            registered_ &&
            (election_.is_leader() || !pacing().is_large_fleet() ||
             own_keys_follower_.is_connected());
        election_.set_highest_token(state_.view.authority.highest_token());
        const auto call =
            may_call ? election_.begin_due_call(now) : election_call::none;
        if (call != election_call::none)
        {
            co_await execute_election_call(call);
            on_election_event();
            continue;
        }
        // If the time of the next call has passed and none is due, the election
        // waits for the leader key to change.
        const auto time_until_call = election_.next_call_at() - now;
        const auto delay =
            time_until_call > duration(0)
                ? std::min<duration>(time_until_call, max_election_wait)
                : max_election_wait;
        election_wake_timer_.expires_after(delay);
        error_code ignored;
        co_await election_wake_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> fleet_service::execute_election_call(election_call call)
{
    auto& store = state_.store;
    const auto sent_at = current_time();
    if (call == election_call::create_lease)
    {
        const auto lifetime = std::max(leader_election::lease_lifetime,
                                       state_.settings.min_lease_lifetime);
        auto outcome = co_await store.create_lease(lifetime);
        election_.on_lease_created(outcome, sent_at, current_time());
    }
    else if (call == election_call::acquire)
    {
        conditional_write change;
        change.expected = {{leader_key, "", 0}};
        change.key = leader_key;
        change.value = serialize_leader_identity(election_.self());
        change.lease_id = election_.lease_id();
        auto outcome = co_await store.write(std::move(change));
        election_.on_acquired(outcome, current_time());
    }
    else if (call == election_call::renew)
    {
        auto outcome = co_await store.renew_lease(election_.lease_id());
        election_.on_renewed(outcome, sent_at, current_time());
    }
    else
    {
        auto outcome = co_await store.read(leader_key);
        election_.on_read(outcome, current_time());
    }
    check_store_generation();
}

void fleet_service::on_election_event()
{
    const auto now = current_time();
    const bool is_leader = election_.is_leader();
    const auto earlier_token = state_.view.authority.highest_token();
    if (election_.known_leader_token() != 0)
        state_.view.authority.on_token(election_.known_leader_token());
    election_wake_timer_.cancel();
    if (is_leader == was_leader_)
        return;
    was_leader_ = is_leader;
    if (is_leader)
        isolation_.on_grant();
    log_event(event_level::info, "duty", is_leader ? "became leader" : "lost",
              {{"token", election_.token()},
               {"holder", election_.known_leader().vm},
               {"members", state_.members.size()}});
    if (is_leader)
    {
        ++counts_.elections_won;
        is_first_leader_ =
            (earlier_token == 0 || earlier_token == election_.token()) &&
            !store_shows_earlier_leader();
        grants_.on_elected(is_first_leader_, now);
        lending_.on_elected(now);
        state_.view.authority.on_token(election_.token());
        grant_to_self(now);
    }
    update_follow_mode(now);
    // The leader key is a change of the fleet's own keys, so that this watch is
    // answered at once and completes the view.
    if (is_leader)
        own_keys_follower_.refresh("this VM became the leader");
    failover_.on_leadership_changed(is_leader);
    report_wake_timer_.cancel();
}

// Does not wait for the next interval of the report loop.
void fleet_service::switch_to_leader(const std::string& address)
{
    leader_.set_leader_address(address);
    // The regular report may still be waiting for a VM that does not answer.
    if (!election_.is_leader() && !next_report_address().empty())
        asio::co_spawn(context_, send_report(), asio::detached);
}

void fleet_service::grant_to_self(time_point now)
{
    const auto validity = grants_.allowed_validity(now);
    if (validity.count() == 0)
        return;
    leader_.on_grant(election_.token(), 0, now);
    isolation_.on_grant();
    grants_.grant_to_self(validity, now);
    lending_.review(now);
}

asio::awaitable<void> fleet_service::run_report_loop()
{
    for (;;)
    {
        const auto now = current_time();
        store_mirror_.discard_lapsed_targets(now);
        state_.pool.close_expired_idle(now);
        state_.pool.end_transactions_at_evacuated_targets(now);
        // What its predecessor ordered is in force until this leader has read
        // the store.
        if (election_.is_leader() && store_mirror_.is_current() &&
            state_.view.evacuations.set_granted({}, now))
            store_mirror_.on_evacuations_changed();
        update_follow_mode(now);
        if (pacing().is_large_fleet())
        {
            peers_.close_idle(now, max_link_idle_time);
            copies_.close_idle_links(now, max_link_idle_time);
        }
        if (!election_.is_leader())
            co_await send_report();
        else if (grants_.may_issue(now))
            grant_to_self(now);
        isolation_.check(now);
        const bool has_grant = state_.view.authority.has_grant(current_time());
        state_.view.wait_estimator.on_grant(has_grant, current_time());
        if (has_grant != had_grant_)
        {
            had_grant_ = has_grant;
            counts_.grants_lost += has_grant ? 0 : 1;
            log_event(has_grant ? event_level::info : event_level::warning,
                      "grant", has_grant ? "regained" : "lost",
                      {{"token", state_.view.authority.highest_token()},
                       {"holder", election_.known_leader().vm}});
            state_.pool.serve_all_waiting();
        }
        report_wake_timer_.expires_after(
            has_grant ? report_interval
                      : pacing().seeking_interval(report_interval));
        error_code ignored;
        co_await report_wake_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void fleet_service::update_follow_mode(time_point now)
{
    const bool is_assisted = !election_.is_leader() &&
                             !leader_.is_grant_overdue(now) &&
                             leader_store_age_ <= max_leader_store_age;
    auto mode = is_assisted ? follow_mode::assisted : follow_mode::confirming;
    if (!is_follower_ && !election_.is_leader())
    {
        const auto delay = store_pacing::follow_delay(
            rank_in_domain_,
            state_.members.domain_size(state_.settings.failure_domain));
        const auto last_granted_at =
            std::max(leader_.last_granted_at(), started_at_);
        if (now - last_granted_at <
            leader_tracker::max_time_without_grant + delay)
            mode = follow_mode::paused;
    }
    // Until the members are known, this VM may be one of those that leave the
    // other keys to others.
    store_mirror_.set_follow_mode(
        own_keys_follower_.has_read() ? mode : follow_mode::paused);
    own_keys_follower_.set_confirmation_interval(
        store_mirror::confirmation_interval(state_.settings));
    own_keys_follower_.set_mode(mode);
    update_retry_delays(mode);
}

void fleet_service::update_retry_delays(follow_mode mode)
{
    const auto pace = pacing();
    const milliseconds none(0);
    const bool is_confirming = mode == follow_mode::confirming;
    // The calls for the fleet's own keys show whether the store is available.
    // If it is, no deadline for changes may pass in a delay after failed calls
    // for other prefixes. The leader does not rely on them, since the others
    // learn of changes from it.
    const bool is_store_available =
        own_keys_follower_.is_connected() && mode != follow_mode::paused &&
        own_keys_follower_.status(current_time()).unanswered_for <=
            max_answer_age;
    const bool must_retry_soon = is_store_available || election_.is_leader();
    const auto max_delay = store_mirror::max_retry_delay(state_.settings);
    if (!pace.is_large_fleet())
    {
        own_keys_follower_.set_retry_delays(none, none);
        if (must_retry_soon && !is_confirming)
            return store_mirror_.set_retry_delays(
                store_follower::initial_retry_delay, max_delay);
        return store_mirror_.set_retry_delays(none, none);
    }
    auto initial_delay = store_pacing::initial_assisted_retry_delay;
    auto delay_limit = store_pacing::max_retry_delay;
    own_keys_follower_.set_retry_delays(
        is_confirming ? store_pacing::initial_retry_delay : initial_delay,
        is_confirming ? pace.retry_delay_limit() : delay_limit);
    if (must_retry_soon)
    {
        initial_delay = store_pacing::initial_answered_retry_delay;
        delay_limit = max_delay;
    }
    else if (is_confirming)
        initial_delay = delay_limit = store_pacing::max_dependent_retry_delay;
    store_mirror_.set_retry_delays(initial_delay, delay_limit);
}

std::size_t fleet_service::known_fleet_size() const
{
    const std::size_t member_count =
        std::max(state_.members.size(), reported_member_count_);
    return election_.is_leader() || leader_.last_granted_at() > started_at_
               ? member_count
               : std::max(member_count,
                          state_.settings.seed_addresses.size() + 1);
}

void fleet_service::on_member_count_reported(const fleet_grant& answer)
{
    // Registrations can be deleted, which only the leader is certain to know.
    const auto count =
        answer.accepted ? answer.member_count
                        : std::max(answer.member_count, reported_member_count_);
    if (std::exchange(reported_member_count_, count) != count &&
        count >= large_fleet_size)
        on_members_changed();
}

store_pacing fleet_service::pacing() const
{
    const auto fleet_size = known_fleet_size();
    const bool is_listed = state_.members.find(state_.settings.name) != nullptr;
    return {fleet_size, is_listed ? state_.members.rank_of(state_.settings.name)
                                  : fleet_size};
}

bool fleet_service::must_seek_members(std::uint32_t member_count,
                                      time_point now)
{
    if (member_count <= state_.members.size())
    {
        members_sought_at_.reset();
        return false;
    }
    const auto pause = pacing().member_list_pause();
    if (!members_sought_at_)
        members_sought_at_ = now + pause;
    if (now < *members_sought_at_)
        return false;
    members_sought_at_ = now + pause;
    return true;
}

std::string fleet_service::next_report_address()
{
    return leader_.next_report_address(election_.known_leader().address,
                                       report_peer_addresses());
}

const std::string& fleet_service::leader_address() const
{
    return leader_.current_leader_address(election_.known_leader().address);
}

std::vector<std::string> fleet_service::other_addresses() const
{
    std::vector<std::string> addresses = state_.settings.seed_addresses;
    for (const auto& [name, member] : state_.members.all())
        addresses.push_back(member.address);
    std::erase(addresses, state_.settings.advertised_peer_address);
    return addresses;
}

std::vector<std::string> fleet_service::report_peer_addresses()
{
    auto addresses = other_addresses();
    return pacing().is_large_fleet() ? report_peers_.choose(addresses)
                                     : addresses;
}

fleet_report fleet_service::make_report()
{
    const auto now = current_time();
    fleet_report report;
    report.vm = state_.settings.name;
    report.incarnation = state_.incarnation;
    report.is_registered = registered_;
    report.highest_token = state_.view.authority.highest_token();
    report.configuration_version = state_.configuration.version();
    report.failing_targets = state_.view.health.failing_targets(now);
    // The shares are most of the reports and grants of a large fleet.
    report.omits_demands = !relay_address_.empty() &&
                           now - demands_reported_at_ < relayed_demand_interval;
    if (!report.omits_demands)
    {
        report.demands = state_.limiter.demands(now);
        demands_reported_at_ = now;
    }
    report.other_leader_grant_age =
        leader_.other_leader_grant_age(report.highest_token, now);
    report.echoed_stamp = leader_.last_grant_stamp(report.highest_token);
    report.lost_relay = lost_relay_;
    report.holders_version = state_.holders.table().version;
    report.is_stopping = state_.is_stopping;
    report.lenders_version = lending_.table_version();
    return report;
}

void fleet_service::report_now()
{
    if (!election_.is_leader())
        asio::co_spawn(context_, send_report(), asio::detached);
}

asio::awaitable<void> fleet_service::send_report()
{
    if (!relay_address_.empty() &&
        relay_address_ != state_.settings.advertised_peer_address)
    {
        const bool granted = co_await send_report_to_relay();
        if (granted)
            co_return;
    }
    const auto address = next_report_address();
    if (address.empty())
        co_return;
    const auto sent_at = current_time();
    peer_body body = make_report();
    auto outcome = co_await peers_.call(address, std::move(body), call_timeout);
    if (!succeeded(outcome))
    {
        ++counts_.reports_unanswered;
        report_peers_.replace(address);
        if (leader_.on_report_unanswered())
            log_event(event_level::warning, "grant", "leader does not answer",
                      {{"address", address},
                       {"error", to_string(error_of(outcome))}});
        co_return;
    }
    if (const auto* grant = std::get_if<fleet_grant>(&value_of(outcome)))
        apply_grant(*grant, address, sent_at);
}

asio::awaitable<bool> fleet_service::send_report_to_relay()
{
    const auto address = relay_address_;
    const auto sent_at = current_time();
    peer_body body = relay_request{make_report()};
    auto outcome =
        co_await peers_.call(address, std::move(body), relay_timeout);
    if (succeeded(outcome))
        if (const auto* grant = std::get_if<fleet_grant>(&value_of(outcome));
            grant != nullptr && grant->accepted)
        {
            apply_grant(*grant, address, sent_at);
            co_return true;
        }
    ++counts_.relays_lost;
    log_event(event_level::warning, "grant", "relay does not answer",
              {{"address", address},
               {"error", succeeded(outcome) ? "no grant"
                                            : to_string(error_of(outcome))}});
    // A relay that answers without a grant may have lost the leader only.
    if (!succeeded(outcome))
        lost_relay_ = address;
    relay_address_.clear();
    co_return false;
}

asio::awaitable<result<relayed_grants>>
fleet_service::send_relayed_reports(relayed_reports reports)
{
    if (election_.is_leader())
        co_return grants_.answer_relayed_reports(reports, current_time());
    const auto address = leader_address();
    if (address.empty() || address == state_.settings.advertised_peer_address)
        co_return error{error_kind::unreachable, "relay", "",
                        "no leader is known"};
    peer_body body = std::move(reports);
    auto outcome =
        co_await peers_.call(address, std::move(body),
                             relay_timeout - report_relay::gather_interval);
    if (!succeeded(outcome))
        co_return error_of(outcome);
    auto* grants = std::get_if<relayed_grants>(&value_of(outcome));
    if (grants == nullptr)
        co_return error{error_kind::invalid, "relay", address,
                        "the answer is of another type"};
    // This VM may have received a newer one from the store.
    grants->common.configuration_version = std::max(
        grants->common.configuration_version, state_.configuration.version());
    co_return std::move(*grants);
}

void fleet_service::apply_grant(const fleet_grant& grant,
                                const std::string& sender_address,
                                time_point report_sent_at)
{
    const auto now = current_time();
    copies_.compare_configuration(grant.configuration_version, sender_address,
                                  now);
    if (!store_mirror_.has_target_list())
        copies_.fetch_from(sender_address);
    on_member_count_reported(grant);
    if (!grant.accepted)
    {
        if (state_.view.evacuations.add_reported(grant.evacuated_domains, now))
            store_mirror_.on_evacuations_changed();
        leader_.on_report_declined(grant.token >=
                                           state_.view.authority.highest_token()
                                       ? grant.leader_address
                                       : "");
        return;
    }
    isolation_.on_grant();
    if (!state_.view.authority.on_token(grant.token))
        return;
    if (state_.view.evacuations.set_granted(grant.evacuated_domains, now))
        store_mirror_.on_evacuations_changed();
    compare_evacuations(grant, now);
    leader_store_age_ = grant.store_age;
    relay_address_ = grant.relay_address;
    if (sender_address != lost_relay_)
        lost_relay_.clear();
    // The members decide how limits and connections are divided.
    const bool lacks_members = must_seek_members(grant.member_count, now);
    if (lacks_members &&
        std::exchange(refreshed_at_member_count_, grant.member_count) !=
            grant.member_count)
        own_keys_follower_.refresh("the leader knows more members");
    const bool lacks_targets =
        !store_mirror_.receives_targets() &&
        grant.store_age <= max_leader_store_age &&
        grant.targets_digest != state_.view.registry.digest();
    copies_.set_lacks_targets(
        lacks_targets || (lacks_members && own_keys_follower_.is_paused()),
        sender_address, now);
    for (const auto& primary : grant.primaries)
    {
        // This confirms no closed record: that is done when a notification asks
        // for it. Statements at the primary are aborted here already unless the
        // replacement is planned.
        apply_primary_record(primary.record, "holder");
        state_.view.set_awaited_replicas(primary.record.group,
                                         primary.awaited_replicas);
        if (primary.has_position)
            state_.view.positions[primary.record.group].observe(
                {primary.record.term, primary.position},
                report_sent_at - primary.position_age);
    }
    leader_.on_grant(grant.token, grant.stamp, now);
    const bool had_grant = state_.view.authority.has_grant(now);
    state_.view.authority.on_grant(grant.token, report_sent_at, grant.validity);
    state_.limiter.set_shares(grant.shares, report_sent_at, now);
    state_.apply_holder_table(grant.holders);
    lending_.on_granted_table(grant.lenders);
    if (!had_grant)
        state_.pool.serve_all_waiting();
}

// The answer to a watch may have been lost. The changes reach the VMs at
// slightly different times, so that a short difference means nothing.
void fleet_service::compare_evacuations(const fleet_grant& grant,
                                        time_point now)
{
    const auto& stored = state_.view.evacuations.stored();
    if (std::equal(stored.begin(), stored.end(),
                   grant.evacuated_domains.begin(),
                   grant.evacuated_domains.end()))
        return evacuations_differ_since_.reset();
    if (!evacuations_differ_since_)
        evacuations_differ_since_ = now;
    if (now - *evacuations_differ_since_ < max_evacuation_difference)
        return;
    evacuations_differ_since_ = now;
    store_mirror_.refresh_configuration();
}

asio::awaitable<void> fleet_service::accept_loop()
{
    for (;;)
    {
        error_code failure;
        auto socket = co_await acceptor_.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure)
        {
            co_await sleep_for(milliseconds(50));
            continue;
        }
        enable_dead_peer_detection(socket);
        const auto number = ++last_link_;
        const auto link = std::make_shared<peer_link>(
            std::move(socket), [this, number](peer_body body)
            { return handle_request(std::move(body), number); });
        link->on_closed(
            [this, number]
            {
                if (on_link_closed)
                    on_link_closed(number);
            });
        link->start();
    }
}

asio::awaitable<peer_body>
fleet_service::handle_forwarding_request(peer_body body, std::uint64_t link)
{
    if (const auto* probe = std::get_if<liveness_probe>(&body))
        co_return liveness_reply{probe->number};
    forwarded_answer answer;
    if (auto* statement = std::get_if<forwarded_statement>(&body);
        statement != nullptr && serve_forwarded)
        answer = co_await serve_forwarded(std::move(*statement), link);
    else if (auto* end = std::get_if<forwarded_end>(&body);
             end != nullptr && end_forwarded)
        answer = co_await end_forwarded(std::move(*end));
    co_return peer_body(std::move(answer));
}

asio::awaitable<peer_body> fleet_service::handle_request(peer_body body,
                                                         std::uint64_t link)
{
    if (std::holds_alternative<forwarded_statement>(body) ||
        std::holds_alternative<forwarded_end>(body) ||
        std::holds_alternative<liveness_probe>(body))
    {
        auto reply = co_await handle_forwarding_request(std::move(body), link);
        co_return reply;
    }
    if (const auto* report = std::get_if<fleet_report>(&body))
        co_return grants_.answer_report(*report, current_time());
    if (auto* request = std::get_if<relay_request>(&body))
    {
        auto grant = co_await relay_.relay(std::move(request->report));
        co_return peer_body(std::move(grant));
    }
    if (const auto* reports = std::get_if<relayed_reports>(&body))
        co_return grants_.answer_relayed_reports(*reports, current_time());
    if (const auto* request = std::get_if<borrow_request>(&body))
        co_return lending_.handle_request(*request);
    if (auto* notice = std::get_if<primary_notice>(&body))
    {
        auto receipt = co_await handle_notice(std::move(*notice));
        co_return peer_body(std::move(receipt));
    }
    if (const auto* request = std::get_if<snapshot_request>(&body))
        co_return store_mirror_.make_snapshot(
            request->known_configuration_version);
    co_return fleet_grant{};
}

asio::awaitable<notice_receipt>
fleet_service::handle_notice(primary_notice notice)
{
    notice_receipt receipt;
    receipt.vm = state_.settings.name;
    receipt.incarnation = state_.incarnation;
    if (!state_.view.authority.on_token(notice.token))
    {
        receipt.token = state_.view.authority.highest_token();
        co_return receipt;
    }
    const auto& stored_leader_address = election_.known_leader().address;
    if (notice.leader_address != stored_leader_address &&
        notice.leader_address !=
            leader_.current_leader_address(stored_leader_address))
        switch_to_leader(notice.leader_address);
    election_.on_token_observed(notice.token);
    on_election_event();
    bool has_planned_closing = false;
    for (const auto& primary : notice.primaries)
    {
        apply_primary_record(primary.record, "notice");
        has_planned_closing =
            has_planned_closing ||
            (!primary.record.is_open && primary.record.is_planned);
    }
    const auto deadline = current_time() + planned_closing_timeout;
    while (has_planned_closing && current_time() < deadline &&
           std::any_of(notice.primaries.begin(), notice.primaries.end(),
                       [&](const primary_state& primary)
                       {
                           return !primary.record.is_open &&
                                  state_.pool.busy_count(
                                      primary.record.target) > 0;
                       }))
        co_await sleep_for(planned_closing_poll_interval);
    for (const auto& primary : notice.primaries)
        if (!primary.record.is_open)
            state_.view.authority.finish_closing(primary.record.group);
    receipt.token = notice.token;
    receipt.other_leader_grant_age =
        leader_.other_leader_grant_age(notice.token, current_time());
    receipt.accepted = state_.view.authority.on_token(notice.token);
    auto& held = receipt.held_records.emplace();
    const auto add_held = [&](const std::string& group)
    {
        if (const auto* record = state_.view.authority.find(group))
            held.push_back(*record);
    };
    for (const auto& primary : notice.primaries)
        add_held(primary.record.group);
    for (const auto& group : notice.inquired_groups)
        add_held(group);
    co_return receipt;
}

} // namespace oleandergrade
