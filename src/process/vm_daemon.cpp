#include <oleandergrade/process/vm_daemon.hpp>

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/endpoint.hpp>
#include <oleandergrade/invariant.hpp>
#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/stop_schedule.hpp>
#include <oleandergrade/process/store_revision.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>

namespace oleandergrade
{
namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;

namespace
{

constexpr auto stop_poll_interval = milliseconds(50);
constexpr std::size_t bytes_per_mib = 1024 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

vm_settings with_own_settings(vm_settings settings, const own_settings& own)
{
    settings.advertised_peer_address = own.advertised_peer_address.empty()
                                           ? settings.peer_address
                                           : own.advertised_peer_address;
    settings.relay_from = own.relay_from;
    settings.lenders_per_domain = own.lenders_per_domain;
    settings.sharing = own.sharing;
    return settings;
}

/// Throws boost::system::system_error if the address is invalid.
asio::ip::tcp::endpoint endpoint_of(const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!succeeded(endpoint))
        throw boost::system::system_error(
            asio::error::make_error_code(asio::error::invalid_argument),
            address);
    return value_of(endpoint);
}

} // namespace

vm_daemon::vm_daemon(asio::io_context& context, vm_settings settings,
                     const own_settings& own, platform_parts& platform,
                     settings_reader read_settings)
    : context_(context), read_settings_(std::move(read_settings)),
      state_(context.get_executor(),
             with_own_settings(std::move(settings), own), platform),
      statement_runner_(*platform.codec, state_.configuration, state_.view,
                        state_.pool, state_.limiter, metrics_),
      statement_forwarder_(context.get_executor(), state_.holders,
                           state_.settings.name, state_.incarnation),
      forwarded_statement_server_(context.get_executor(), statement_runner_,
                                  state_.view, state_.configuration),
      fleet_service_(context, state_),
      session_server_(context, endpoint_of(state_.settings.session_address),
                      *platform.codec, statement_runner_, state_.configuration,
                      session_limits{.max_sessions = own.max_sessions}),
      signals_(context, SIGTERM, SIGINT, SIGHUP)
{
    statement_runner_.set_max_held_bytes(own.held_mib * bytes_per_mib);
    if (!own.http_address.empty())
        http_statement_server_ = std::make_unique<http_statement_server>(
            context, endpoint_of(own.http_address), *platform.codec,
            statement_runner_, state_.configuration);
}

void vm_daemon::run()
{
    start();
    context_.run();
}

void vm_daemon::start()
{
    // An isolated VM closes its callers' sessions so that they reconnect to
    // another VM.
    fleet_service_.on_isolation(
        [this](bool isolated)
        {
            state_.view.wait_estimator.on_isolation(isolated);
            session_server_.set_close_after_answer(isolated);
            if (isolated)
                asio::co_spawn(context_, close_idle_sessions_while_isolated(),
                               asio::detached);
        });
    statement_runner_.borrow_operation = [this](std::string account)
    { return fleet_service_.borrow(std::move(account)); };
    start_http();
    start_forwarding();
    fleet_service_.start();
    session_server_.start();
    if (http_statement_server_ != nullptr)
        http_statement_server_->start();
    asio::co_spawn(context_, wait_for_signals(), asio::detached);
    log_event(event_level::info, "daemon", "started",
              {{"failure_domain", state_.settings.failure_domain},
               {"incarnation", state_.incarnation},
               {"sessions", state_.settings.session_address}});
}

void vm_daemon::start_forwarding()
{
    statement_runner_.set_forwarder(statement_forwarder_);
    fleet_service_.serve_forwarded =
        [this](forwarded_statement statement, std::uint64_t link)
    { return forwarded_statement_server_.serve(std::move(statement), link); };
    fleet_service_.end_forwarded = [this](forwarded_end request)
    { return forwarded_statement_server_.end(std::move(request)); };
    fleet_service_.on_link_closed = [this](std::uint64_t link)
    { forwarded_statement_server_.on_link_closed(link); };
    forwarded_statement_server_.start();
}

void vm_daemon::start_http()
{
    http_server_handlers readiness_handlers;
    readiness_handlers.serve = [this](http_request request)
    { return serve_readiness(std::move(request)); };
    readiness_server_ = std::make_unique<http_server>(
        context_, endpoint_of(state_.settings.readiness_address),
        http_server_limits{}, std::move(readiness_handlers));
    http_server_handlers metrics_handlers;
    metrics_handlers.serve = [this](http_request request)
    { return serve_metrics(std::move(request)); };
    metrics_server_ = std::make_unique<http_server>(
        context_, endpoint_of(state_.settings.metrics_address),
        http_server_limits{}, std::move(metrics_handlers));
}

// Waits before closing sessions: callers whose sessions were closed sooner
// would reconnect to this or another isolated VM. Closing an idle session loses
// a statement that is already on its way to this VM.
asio::awaitable<void> vm_daemon::close_idle_sessions_while_isolated()
{
    co_await sleep_for(readiness_propagation_delay);
    if (fleet_service_.is_isolated())
        session_server_.close_idle_sessions();
}

bool vm_daemon::is_ready() const
{
    return !state_.is_stopping && state_.configuration.current() != nullptr &&
           !state_.view.registry.all().empty() &&
           state_.view.authority.has_grant(current_time()) &&
           !fleet_service_.is_isolated();
}

asio::awaitable<http_response> vm_daemon::serve_readiness(http_request)
{
    http_response response;
    response.status = is_ready() ? status_ok : status_unavailable;
    response.body = "{}";
    co_return response;
}

asio::awaitable<http_response> vm_daemon::serve_metrics(http_request request)
{
    http_response response;
    if (request.path == "/state")
    {
        response.body = state_text();
        co_return response;
    }
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics_text();
    co_return response;
}

std::string vm_daemon::metrics_text() const
{
    const auto now = current_time();
    const auto& pool = state_.pool.counts();
    std::ostringstream out;
    out << metrics_.to_text();
    const auto add_metric = [&](const char* name, const char* type, auto value)
    {
        out << "# TYPE oleander_" << name << " " << type << "\noleander_"
            << name << " " << value << "\n";
    };
    add_metric("sessions", "gauge", session_server_.session_count());
    add_metric("target_sessions", "gauge", state_.pool.session_count());
    add_metric("statements_waiting", "gauge", state_.pool.waiting_count());
    add_metric("target_sessions_opened_total", "counter", pool.opened);
    add_metric("target_sessions_failed_total", "counter", pool.failed_to_open);
    add_metric("target_sessions_evicted_total", "counter", pool.evicted);
    add_metric("statements_waited_total", "counter", pool.had_to_wait);
    add_metric("statements_gave_up_total", "counter", pool.timed_out);
    add_metric("statements_refused_in_queue_total", "counter", pool.refused);
    add_metric("configuration_version", "gauge",
               state_.configuration.version());
    add_metric("configuration_newest_known_version", "gauge",
               std::max(state_.configuration.version(),
                        fleet_service_.newest_known_version()));
    add_metric("members", "gauge", state_.members.size());
    add_metric("duty_held", "gauge",
               fleet_service_.election().is_leader() ? 1 : 0);
    add_metric("token", "gauge", state_.view.authority.highest_token());
    add_metric("grant_left_seconds", "gauge",
               std::chrono::duration<double>(
                   state_.view.authority.grant_valid_until() - now)
                   .count());
    const auto& fleet = fleet_service_.counts();
    add_metric("duties_taken_total", "counter", fleet.elections_won);
    add_metric("grants_lost_total", "counter", fleet.grants_lost);
    add_metric("reports_unanswered_total", "counter", fleet.reports_unanswered);
    const auto& lending = fleet_service_.lending_counts();
    add_metric("operations_borrowed_total", "counter", lending.borrowed);
    add_metric("operations_not_lent_total", "counter", lending.refused);
    add_metric("operations_lent_total", "counter", lending.lent);
    add_metric("snapshots_fetched_total", "counter",
               fleet_service_.snapshots_fetched());
    add_metric("reports_relayed_total", "counter",
               fleet_service_.reports_relayed());
    add_metric("relays_lost_total", "counter", fleet.relays_lost);
    add_metric("promotions_ordered_total", "counter",
               fleet_service_.promotions_ordered());
    add_metric("targets", "gauge", state_.view.registry.all().size());
    out << forwarding_metrics_text();
    out << state_.store.to_text();
    const auto prefixes = fleet_service_.followed_prefixes(now);
    out << "# TYPE oleander_store_revision gauge\n";
    for (const auto& followed : prefixes)
        out << "oleander_store_revision{prefix=\"" << followed.prefix << "\"} "
            << store_number(followed.revision) << "\n";
    out << "# TYPE oleander_awaited_replicas gauge\n";
    for (const auto& [group, replicas] : state_.view.awaited_replicas)
        out << "oleander_awaited_replicas{group=\"" << group << "\"} "
            << replicas.size() << "\n";
    out << "# TYPE oleander_store_generation gauge\n"
        << "oleander_store_generation " << state_.store.generation() << "\n";
    out << "# TYPE oleander_store_unanswered_seconds gauge\n";
    for (const auto& followed : prefixes)
        out << "oleander_store_unanswered_seconds{prefix=\"" << followed.prefix
            << "\"} "
            << std::chrono::duration<double>(followed.unanswered_for).count()
            << "\n";
    out << "# TYPE oleander_store_failed_calls_total counter\n";
    for (const auto& followed : prefixes)
        out << "oleander_store_failed_calls_total{prefix=\"" << followed.prefix
            << "\"} " << followed.failed_calls << "\n";
    out << "# TYPE oleander_store_retry_delay_seconds gauge\n";
    for (const auto& followed : prefixes)
        out << "oleander_store_retry_delay_seconds{prefix=\"" << followed.prefix
            << "\"} "
            << std::chrono::duration<double>(followed.retry_delay).count()
            << "\n";
    add_metric("log_lines_left_out_total", "counter", dropped_event_lines());
    add_metric("invariant_failures_total", "counter",
               invariant_failure_count());
    return out.str();
}

std::string vm_daemon::forwarding_metrics_text() const
{
    std::ostringstream out;
    const auto add_gauge = [&](const char* name, auto value)
    {
        out << "# TYPE oleander_" << name << " gauge\noleander_" << name << " "
            << value << "\n";
    };
    add_gauge("holder_table_version", state_.holders.table().version);
    add_gauge("forwarded_statements_pending",
              statement_forwarder_.pending_count());
    add_gauge("served_statements_pending",
              forwarded_statement_server_.statement_count());
    add_gauge("served_transactions_open",
              forwarded_statement_server_.transaction_count());
    const auto add_counter = [&](const char* label, const std::string& vm,
                                 const char* outcome, std::uint64_t count)
    {
        out << "oleander_" << label << "_statements_total{vm=\"" << vm
            << "\",outcome=\"" << outcome << "\"} " << count << "\n";
    };
    out << "# TYPE oleander_forwarded_statements_total counter\n";
    for (const auto& [address, counts] : statement_forwarder_.counts())
    {
        add_counter("forwarded", address, "answered", counts.answered);
        add_counter("forwarded", address, "not_run", counts.not_run);
        add_counter("forwarded", address, "lost", counts.lost);
    }
    out << "# TYPE oleander_served_statements_total counter\n";
    for (const auto& [vm, counts] : forwarded_statement_server_.counts())
    {
        add_counter("served", vm, "succeeded", counts.succeeded);
        add_counter("served", vm, "failed", counts.failed);
        add_counter("served", vm, "not_accepted", counts.not_accepted);
    }
    return out.str();
}

std::string vm_daemon::state_text() const
{
    const auto now = current_time();
    json::array shared_groups;
    std::uint64_t slices_held = 0;
    for (const auto& [group, slices] : state_.holders.table().groups)
    {
        json::array slice_objects;
        for (const auto& slice : slices)
            slice_objects.push_back(
                {{"holder", slice.holder}, {"standby", slice.standby}});
        shared_groups.push_back(
            {{"group", group}, {"slices", std::move(slice_objects)}});
        slices_held += state_.role_in(group)->held_slices;
    }
    json::array forwarded_to;
    std::uint64_t forwarded = 0;
    for (const auto& [address, counts] : statement_forwarder_.counts())
    {
        forwarded += counts.answered;
        forwarded_to.push_back({{"address", address},
                                {"answered", counts.answered},
                                {"not_run", counts.not_run},
                                {"lost", counts.lost}});
    }
    json::array served_for;
    std::uint64_t served = 0;
    for (const auto& [vm, counts] : forwarded_statement_server_.counts())
    {
        served += counts.succeeded + counts.failed;
        served_for.push_back({{"vm", vm},
                              {"succeeded", counts.succeeded},
                              {"failed", counts.failed},
                              {"not_accepted", counts.not_accepted}});
    }
    json::array primaries;
    for (const auto& [group, record] : state_.view.authority.records())
        primaries.push_back({{"group", group},
                             {"term", record.term},
                             {"target", record.target},
                             {"open", record.is_open},
                             {"revision", record.revision}});
    json::array followed_prefixes;
    for (const auto& followed : fleet_service_.followed_prefixes(now))
        followed_prefixes.push_back(
            {{"prefix", followed.prefix},
             {"revision", store_number(followed.revision)},
             {"generation", store_generation(followed.revision)},
             {"unanswered_ms", followed.unanswered_for.count()},
             {"failed_calls", followed.failed_calls},
             {"retry_delay_ms", followed.retry_delay.count()}});
    json::array targets;
    for (const auto& [id, target] : state_.view.registry.all())
        targets.push_back({{"id", id},
                           {"group", target.group},
                           {"address", target.address},
                           {"draining", target.is_draining},
                           {"avoided", state_.view.health.is_avoided(id, now)},
                           {"busy", state_.pool.busy_count(id)}});
    json::array evacuated;
    for (const auto& domain : state_.view.evacuations.names())
    {
        std::uint64_t primary_count = 0;
        std::uint64_t statement_count = 0;
        for (const auto& [group, record] : state_.view.authority.records())
            if (const auto* target = state_.view.registry.find(record.target);
                record.is_open && target != nullptr &&
                target->failure_domain == domain)
                ++primary_count;
        for (const auto& [id, target] : state_.view.registry.all())
            if (target.failure_domain == domain)
                statement_count += state_.pool.busy_count(id);
        evacuated.push_back({{"domain", domain},
                             {"primaries", primary_count},
                             {"statements", statement_count}});
    }
    return json::serialize(json::object{
        {"vm", state_.settings.name},
        {"incarnation", state_.incarnation},
        {"ready", is_ready()},
        {"configuration", state_.configuration.version()},
        {"holder", fleet_service_.election().known_leader().vm},
        {"token", state_.view.authority.highest_token()},
        {"grant_left_ms",
         to_milliseconds(state_.view.authority.grant_valid_until() - now)},
        {"members", state_.members.names().size()},
        {"relay", fleet_service_.relay_address()},
        {"reports_relayed", fleet_service_.reports_relayed()},
        {"followed", std::move(followed_prefixes)},
        {"sessions", session_server_.session_count()},
        {"primaries", std::move(primaries)},
        {"targets", std::move(targets)},
        {"protocol_level", state_.members.lowest_level()},
        {"lender_table", fleet_service_.lender_table_version()},
        {"holder_table", state_.holders.table().version},
        {"shared_groups", std::move(shared_groups)},
        {"slices_held", slices_held},
        {"forwarded", forwarded},
        {"forwarded_to", std::move(forwarded_to)},
        {"served", served},
        {"served_for", std::move(served_for)},
        {"served_transactions",
         forwarded_statement_server_.transaction_count()},
        {"evacuated", std::move(evacuated)}});
}

asio::awaitable<void> vm_daemon::wait_for_signals()
{
    for (;;)
    {
        error_code failure;
        const auto signal = co_await signals_.async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        if (signal == SIGHUP)
            reload_settings();
        else
            break;
    }
    co_await shut_down();
    context_.stop();
}

void vm_daemon::reload_settings()
{
    auto settings = read_settings_();
    if (!succeeded(settings))
        return log_event(event_level::error, "daemon", "settings reload failed",
                         {{"error", to_string(error_of(settings))}});
    // Other settings, such as addresses, cannot change while the process runs.
    const auto& new_settings = value_of(settings);
    state_.settings.configuration_apply_timeout =
        new_settings.configuration_apply_timeout;
    state_.settings.drain_timeout = new_settings.drain_timeout;
    state_.settings.stop_timeout = new_settings.stop_timeout;
    state_.settings.seed_addresses = new_settings.seed_addresses;
    log_event(event_level::info, "daemon", "reloaded");
}

asio::awaitable<void> vm_daemon::shut_down()
{
    const auto started_at = current_time();
    const stop_schedule schedule(started_at, state_.settings.stop_timeout);
    state_.is_stopping = true;
    statement_runner_.set_stop_schedule(schedule);
    log_event(event_level::info, "daemon", "stopping",
              {{"sessions", session_server_.session_count()}});
    session_server_.set_close_after_answer(true);
    if (http_statement_server_ != nullptr)
        http_statement_server_->set_close_after_answer();
    co_await fleet_service_.retire();
    fleet_service_.report_now();
    // The platform still routes new sessions to this VM for a while.
    const auto routed_until = std::min(started_at + readiness_propagation_delay,
                                       schedule.statements_end_at());
    co_await sleep_while_busy(schedule.transactions_end_at(), routed_until);
    fail_idle_transactions();
    co_await sleep_while_busy(schedule.statements_end_at(), routed_until);
    session_server_.stop_accepting();
    if (http_statement_server_ != nullptr)
        http_statement_server_->stop_accepting();
    fail_idle_transactions();
    while (is_busy() && current_time() < schedule.process_ends_at())
    {
        session_server_.close_idle_sessions();
        co_await sleep_for(stop_poll_interval);
    }
    log_event(event_level::info, "daemon", "stopped",
              {{"sessions_left", session_server_.session_count()},
               {"took", std::chrono::duration_cast<milliseconds>(
                            current_time() - started_at)}});
}

asio::awaitable<void> vm_daemon::sleep_while_busy(time_point end,
                                                  time_point earliest_end)
{
    while (current_time() < end && (is_busy() || current_time() < earliest_end))
        co_await sleep_for(stop_poll_interval);
}

bool vm_daemon::is_busy() const
{
    return session_server_.session_count() > 0 ||
           forwarded_statement_server_.statement_count() > 0 ||
           forwarded_statement_server_.transaction_count() > 0 ||
           (http_statement_server_ != nullptr &&
            http_statement_server_->unanswered_count() > 0);
}

void vm_daemon::fail_idle_transactions()
{
    session_server_.fail_transactions();
    forwarded_statement_server_.fail_transactions();
    if (http_statement_server_ != nullptr)
        http_statement_server_->fail_transactions();
}

} // namespace oleandergrade
