#include <oleandergrade/process/failover/failover_driver.hpp>

#include <oleandergrade/connection/endpoint.hpp>
#include <oleandergrade/process/event_log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// Account name of the leader's own sessions with targets.
const std::string leader_account = "-";
constexpr auto idle_interval = milliseconds(100);
constexpr auto open_timeout = milliseconds(400);
constexpr auto report_request_timeout = milliseconds(300);

} // namespace

failover_driver::failover_driver(asio::any_io_executor executor,
                                 fleet_state& state, leader_election& election,
                                 grant_tracker& grants, peer_client& peers)
    : executor_(std::move(executor)), state_(state), election_(election),
      grant_tracker_(grants), peers_(peers), timer_(executor_)
{
}

void failover_driver::start()
{
    asio::co_spawn(executor_, run(), asio::detached);
}

void failover_driver::wake()
{
    timer_.cancel();
}

void failover_driver::on_leadership_changed(bool is_leader)
{
    is_leader_ = is_leader;
    vm_reports_.clear();
    notice_states_.clear();
    for (auto& [name, group] : groups_)
        group.abort_replacement();
    if (!is_leader)
    {
        end_orders();
        for (auto& [id, connection] : target_connections_)
            if (connection.session != nullptr)
                connection.session->close();
        target_connections_.clear();
    }
    wake();
}

void failover_driver::stop_ordering()
{
    has_stopped_ordering_ = true;
    const auto orders = orders_;
    for (const auto& order : orders)
        if (!order->is_sent())
            order->end();
}

void failover_driver::end_orders()
{
    const auto orders = orders_;
    for (const auto& order : orders)
        order->end();
}

void failover_driver::on_report(const fleet_report& report, time_point now)
{
    vm_reports_.on_report(report, now);
}

void failover_driver::on_stored_record(const stored_primary_record& stored)
{
    const auto& name = stored.record.group;
    groups_.try_emplace(name, name).first->second.on_stored_record(stored);
}

void failover_driver::on_store_read(const std::set<std::string>& listed_groups)
{
    for (auto& [name, group] : groups_)
        if (!listed_groups.contains(name))
            group.on_record_missing();
}

void failover_driver::on_store_restored()
{
    vm_reports_.forget_inquiries();
    wake();
}

std::vector<primary_state> failover_driver::primary_states(time_point now) const
{
    std::vector<primary_state> states;
    for (const auto& [group, record] : state_.view.authority.records())
    {
        primary_state state;
        state.record = record;
        if (const auto replaced = groups_.find(group);
            replaced != groups_.end())
            state.awaited_replicas = replaced->second.awaited_replicas();
        const auto found = state_.view.positions.find(group);
        if (found != state_.view.positions.end())
        {
            const auto newest = found->second.newest();
            if (newest && newest->term == record.term)
            {
                state.has_position = true;
                state.position = newest->index;
                state.position_age =
                    std::chrono::duration_cast<milliseconds>(
                        now - found->second.newest_requested_at()) +
                    milliseconds(1);
            }
        }
        states.push_back(std::move(state));
    }
    return states;
}

asio::awaitable<void> failover_driver::run()
{
    for (;;)
    {
        const auto delay =
            is_leader_ ? advance_groups(current_time()) : seconds(1);
        timer_.expires_after(delay);
        boost::system::error_code ignored;
        co_await timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void failover_driver::add_groups()
{
    for (const auto& [id, target] : state_.view.registry.all())
        groups_.try_emplace(target.group, target.group);
}

milliseconds failover_driver::advance_groups(time_point now)
{
    add_groups();
    if (!election_.may_act(now))
        end_orders();
    bool is_active = false;
    for (auto& [name, group] : groups_)
    {
        const auto& primary = group.record().target;
        auto& connection = target_connections_[primary];
        if (group.record().is_open && !connection.exchange_in_flight &&
            now >= connection.next_ping_at)
        {
            connection.next_ping_at = now + ping_interval;
            asio::co_spawn(executor_, ping_primary(name, primary),
                           asio::detached);
        }
        // Without a valid lease or a complete view, no action is safe.
        if (!election_.may_act(now) || has_stopped_ordering_)
            continue;
        const std::string previous_step = group.step_name();
        for (const auto& action : group.tick(observe_group(name, now), now))
            execute(name, action);
        state_.view.set_awaited_replicas(name, group.awaited_replicas());
        if (previous_step != group.step_name())
            log_event(event_level::info, "failover", "step",
                      {{"group", name},
                       {"from", previous_step},
                       {"to", group.step_name()},
                       {"term", group.record().term},
                       {"primary", group.record().target},
                       {"record", group.record().revision},
                       {"token", election_.token()}});
        is_active = is_active || std::string("watching") != group.step_name();
        if (!group.record().is_open && group.record().revision != 0)
            is_active = true;
    }
    notify_unconfirmed_vms(now);
    return is_active ? step_interval : idle_interval;
}

group_observation failover_driver::observe_group(const std::string& group,
                                                 time_point now)
{
    group_observation observation;
    observation.reporting_vms = vm_reports_.reporting_vms(now);
    const auto found = groups_.find(group);
    const auto opened_at =
        found == groups_.end() ? time_point() : found->second.opened_at();
    for (const auto* target : state_.view.registry.in_group(group))
    {
        target_observation observed;
        observed.record = *target;
        observed.is_evacuated =
            state_.view.evacuations.contains(target->failure_domain);
        const auto connection = target_connections_.find(target->id);
        if (connection != target_connections_.end() &&
            connection->second.failing_since)
        {
            // Only the primary is pinged. A failure from an earlier term is
            // outdated if the target has answered this VM since.
            const auto failing_since = *connection->second.failing_since;
            if (failing_since < opened_at &&
                !state_.view.health.is_failing(target->id))
                connection->second.failing_since.reset();
            else
                observed.leader_failing_for =
                    std::chrono::duration_cast<milliseconds>(now -
                                                             failing_since);
        }
        for (const auto& failure : state_.view.health.failing_targets(now))
            if (failure.target == target->id)
                observed.leader_failing_for = std::max(
                    observed.leader_failing_for.value_or(failure.failing_for),
                    failure.failing_for);
        observed.vms_failing_to_reach =
            vm_reports_.vms_failing_to_reach(target->id, opened_at, now);
        observation.targets.push_back(std::move(observed));
    }
    const auto& configuration = state_.configuration.current();
    const auto* limits =
        configuration == nullptr ? nullptr : configuration->find_group(group);
    if (configuration == nullptr)
        observation.synchronous_replicas.reset();
    else
        observation.synchronous_replicas =
            limits == nullptr ? 0 : limits->synchronous_replicas;
    const auto positions = state_.view.positions.find(group);
    if (positions != state_.view.positions.end())
        observation.primary_position =
            positions->second.newest().value_or(log_position{});
    observation.is_record_binding =
        found != groups_.end() &&
        vm_reports_.is_binding(found->second.record(), state_.members,
                               grant_tracker_, now);
    observation.store_generation = state_.store.generation();
    observation.is_inquiry_complete = vm_reports_.is_inquiry_complete(
        group, state_.members, grant_tracker_, now);
    return observation;
}

void failover_driver::execute(const std::string& group,
                              const group_action& action)
{
    if (const auto* order = std::get_if<write_primary_record>(&action))
        asio::co_spawn(executor_, write_record(group, *order), asio::detached);
    else if (std::holds_alternative<announce_primary>(action))
        wake();
    else if (const auto* requested =
                 std::get_if<request_target_report>(&action))
        asio::co_spawn(
            executor_,
            request_report(group, requested->target,
                           state_.platform.codec->encode_report_request()),
            asio::detached);
    else if (const auto* fenced = std::get_if<fence_target>(&action))
        asio::co_spawn(
            executor_,
            request_report(group, fenced->target,
                           state_.platform.codec->encode_fence(fenced->term),
                           true),
            asio::detached);
    else if (const auto* resumed = std::get_if<resume_target>(&action))
        asio::co_spawn(executor_, resume(group, resumed->target),
                       asio::detached);
    else if (const auto* demoted = std::get_if<demote_target>(&action))
        asio::co_spawn(
            executor_,
            request_report(group, demoted->target,
                           state_.platform.codec->encode_demote(demoted->term),
                           true),
            asio::detached);
    else
        asio::co_spawn(
            executor_,
            order_promotion(group, std::get<promote_target>(action).target),
            asio::detached);
}

void failover_driver::notify_unconfirmed_vms(time_point now)
{
    if (!election_.may_act(now))
        return;
    for (const auto& member : state_.members.all())
    {
        const auto& vm = member.first;
        auto& notice = notice_states_[vm];
        if (notice.in_flight || now < notice.next_notice_at)
            continue;
        const bool is_unconfirmed = std::any_of(
            groups_.begin(), groups_.end(),
            [&](const auto& entry)
            {
                const auto& [name, group] = entry;
                if (group.is_inquiring())
                    return !vm_reports_.has_answered_inquiry(vm, name);
                return group.record().revision != 0 &&
                       !vm_reports_.has_confirmed(vm, group.record());
            });
        if (!is_unconfirmed)
            continue;
        notice.in_flight = true;
        notice.next_notice_at = now + notice_interval;
        asio::co_spawn(executor_, notify_vm(vm, member.second.address),
                       asio::detached);
    }
}

asio::awaitable<void> failover_driver::notify_vm(std::string vm,
                                                 std::string address)
{
    primary_notice notice;
    notice.token = election_.token();
    notice.leader_address = state_.settings.advertised_peer_address;
    for (const auto& [name, group] : groups_)
        if (group.is_inquiring())
            notice.inquired_groups.push_back(name);
        else if (group.record().revision != 0)
            notice.primaries.push_back({group.record(), false, 0, {}});
    std::optional<notice_receipt> receipt;
    if (vm == state_.settings.name)
    {
        receipt = co_await on_local_notice(notice);
    }
    else
    {
        peer_body body = notice;
        auto outcome =
            co_await peers_.call(address, std::move(body), notice_timeout);
        if (succeeded(outcome))
            if (const auto* reply =
                    std::get_if<notice_receipt>(&value_of(outcome)))
                receipt = *reply;
    }
    notice_states_[vm].in_flight = false;
    if (!receipt || notice.token != election_.token())
        co_return;
    if (!receipt->accepted)
    {
        if (receipt->token > notice.token && on_higher_token)
            on_higher_token(receipt->token);
        co_return;
    }
    if (vm != state_.settings.name)
        grant_tracker_.on_token_acknowledged(vm, receipt->incarnation,
                                             receipt->other_leader_grant_age,
                                             current_time());
    apply_receipt(vm, notice, *receipt);
    wake();
}

void failover_driver::apply_receipt(const std::string& vm,
                                    const primary_notice& notice,
                                    const notice_receipt& receipt)
{
    for (const auto& group : notice.inquired_groups)
        vm_reports_.on_inquiry_answered(vm, group);
    if (!receipt.held_records)
    {
        for (const auto& state : notice.primaries)
            vm_reports_.on_confirmed(vm, state.record);
        return;
    }
    for (const auto& record : *receipt.held_records)
    {
        const auto found = groups_.find(record.group);
        if (found == groups_.end())
            continue;
        vm_reports_.on_confirmed(vm, record);
        if (is_newer(record, found->second.record()))
            log_event(event_level::info, "failover", "newer record at a VM",
                      {{"group", record.group},
                       {"vm", vm},
                       {"term", record.term},
                       {"revision", record.revision},
                       {"known_term", found->second.record().term},
                       {"known_revision", found->second.record().revision}});
        found->second.on_record(record);
    }
}

asio::awaitable<void> failover_driver::write_record(std::string group,
                                                    write_primary_record order)
{
    conditional_write change;
    change.key = primaries_prefix + group;
    change.value = serialize_primary_record(order.record, order.origin);
    // The condition on the leader key makes the write fail if another VM has
    // become the leader.
    change.expected = {{change.key, "", order.expected_revision},
                       {leader_key, "", election_.key_revision()}};
    auto outcome = co_await state_.store.write(std::move(change));
    if (!succeeded(outcome))
        log_event(event_level::warning, "failover",
                  "primary record not written",
                  {{"group", group}, {"error", to_string(error_of(outcome))}});
    groups_.at(group).on_write_result(outcome, current_time());
    wake();
}

asio::awaitable<void> failover_driver::order_promotion(std::string group,
                                                       std::string target)
{
    const auto started_at = current_time();
    const promotion_order order{group, target, state_.settings.name,
                                election_.token()};
    const auto authority = std::make_shared<order_authority>(
        [this, token = order.token]
        {
            return election_.token() == token && !has_stopped_ordering_ &&
                   election_.may_act(current_time());
        });
    result<bool> outcome =
        error{error_kind::unreachable, "promote", target,
              "promotion not ordered: this VM has no valid leader lease"};
    if (authority->is_valid())
    {
        orders_.insert(authority);
        outcome =
            co_await state_.platform.promotions->promote(order, authority);
        orders_.erase(authority);
        promotions_ordered_ += authority->is_sent() ? 1 : 0;
    }
    log_event(event_level::info, "failover",
              authority->is_sent() ? "promotion ordered"
                                   : "promotion not ordered",
              {{"group", group},
               {"target", target},
               {"token", order.token},
               {"took", std::chrono::duration_cast<milliseconds>(
                            current_time() - started_at)},
               {"outcome", succeeded(outcome) ? "accepted"
                                              : to_string(error_of(outcome))}});
    groups_.at(group).on_promotion_result(target, outcome, current_time());
    wake();
}

asio::awaitable<void> failover_driver::request_report(std::string group,
                                                      std::string target,
                                                      std::string text,
                                                      bool is_order)
{
    const auto requested_at = current_time();
    auto outcome = co_await exchange(target, std::move(text),
                                     report_request_timeout, is_order);
    result<target_report> report =
        error{error_kind::refused, "report", target,
              "the target answered the report request with an error"};
    if (!succeeded(outcome))
        report = error_of(outcome);
    else if (value_of(outcome).succeeded())
        report = state_.platform.codec->parse_target_report(
            value_of(outcome).rows.substr(
                0, value_of(outcome).rows.find(session_line_end)));
    if (!succeeded(report))
        log_event(event_level::warning, "failover", "target did not report",
                  {{"group", group},
                   {"target", target},
                   {"error", to_string(error_of(report))}});
    else
        log_event(event_level::info, "failover", "report",
                  {{"group", group},
                   {"target", target},
                   {"primary", value_of(report).is_primary ? "yes" : "no"},
                   {"term", value_of(report).term},
                   {"received_term", value_of(report).received_position.term},
                   {"received", value_of(report).received_position.index}});
    groups_.at(group).on_report(target, report, requested_at, current_time());
    wake();
}

asio::awaitable<void> failover_driver::resume(std::string group,
                                              std::string target)
{
    const auto outcome =
        co_await exchange(target, state_.platform.codec->encode_resume(),
                          report_request_timeout, true);
    const bool is_resumed = succeeded(outcome) && value_of(outcome).succeeded();
    if (!is_resumed)
        log_event(
            event_level::info, "failover", "target not resumed",
            {{"group", group},
             {"target", target},
             {"error", succeeded(outcome) ? "the target answered with an error"
                                          : to_string(error_of(outcome))}});
    groups_.at(group).on_resumed(target, is_resumed);
}

// Sends a statement that occupies no statement slot of the target. The answer
// shows that the primary is reachable and contains its log position.
asio::awaitable<void> failover_driver::ping_primary(std::string group,
                                                    std::string target)
{
    const auto sent_at = current_time();
    const auto* record = state_.view.authority.find_usable(group, sent_at);
    const auto term =
        record != nullptr && record->target == target ? record->term : 0;
    auto outcome = co_await exchange(
        target, state_.platform.codec->encode_reset(), ping_timeout);
    auto& connection = target_connections_[target];
    if (!succeeded(outcome))
    {
        if (!connection.failing_since)
        {
            connection.failing_since = sent_at;
            log_event(event_level::warning, "failover", "primary lost",
                      {{"group", group},
                       {"target", target},
                       {"error", to_string(error_of(outcome))}});
        }
        connection.next_ping_at = current_time() + milliseconds(50);
        wake();
        co_return;
    }
    if (connection.failing_since)
        log_event(event_level::info, "failover", "primary regained",
                  {{"group", group}, {"target", target}});
    connection.failing_since.reset();
    const auto& position = value_of(outcome).position;
    if (term != 0 && position && position->term == term)
        state_.view.positions[group].observe(*position, sent_at);
}

asio::awaitable<result<target_answer>>
failover_driver::exchange(std::string target, std::string text,
                          milliseconds timeout, bool is_order)
{
    const auto* record = state_.view.registry.find(target);
    if (record == nullptr)
        co_return error{error_kind::unreachable, "exchange", target,
                        "not registered"};
    if (target_connections_[target].exchange_in_flight)
        co_return error{error_kind::refused, "exchange", target,
                        "another exchange with the target is in progress"};
    target_connections_[target].exchange_in_flight = true;
    auto session = target_connections_[target].session;
    if (session == nullptr || !session->is_connection_usable())
    {
        session = std::make_shared<target_session>(
            executor_, *state_.platform.codec,
            target_session_key{target, record->group, leader_account});
        target_connections_[target].session = session;
        const auto endpoint = parse_endpoint(record->address);
        result<bool> opened = true;
        if (succeeded(endpoint))
            opened = co_await session->open(value_of(endpoint), open_timeout);
        else
            opened = error_of(endpoint);
        if (!succeeded(opened))
        {
            target_connections_[target].exchange_in_flight = false;
            co_return error_of(opened);
        }
    }
    // Opening the session may have taken longer than the lease.
    if (is_order && !election_.may_act(current_time()))
    {
        target_connections_[target].exchange_in_flight = false;
        co_return error{error_kind::unreachable, "exchange", target,
                        "this VM has no valid leader lease any more"};
    }
    std::string bytes;
    state_.platform.codec->append_statement(
        bytes, state_.platform.codec->proxy_statement_id(), text, std::nullopt);
    auto outcome = co_await session->exchange(std::move(bytes), 1, timeout);
    target_connections_[target].exchange_in_flight = false;
    if (!succeeded(outcome))
        co_return error_of(outcome);
    co_return std::move(value_of(outcome).front());
}

} // namespace oleandergrade
