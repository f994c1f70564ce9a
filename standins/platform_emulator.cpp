#include "platform_emulator_servers.hpp"

#include "../platform/base64.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/connection/listener.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <sstream>

namespace standins
{
namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;
using namespace oleandergrade;
using tcp = asio::ip::tcp;

namespace
{

/// How long the store keeps changes for watches.
constexpr auto store_history_retention = seconds(20);
constexpr auto configuration_prefix = "op/";
/// How long the connection of a call that is never answered is kept. Longer
/// than any client waits.
constexpr auto silent_call_duration = seconds(60);
/// Interval at which watches and unresponsive servers check their state.
constexpr auto poll_interval = milliseconds(5);
constexpr auto copy_interval = milliseconds(250);
/// How long an answer that counts as lost is delayed.
constexpr auto lost_answer_delay = milliseconds(3000);
/// Maximum number of statements that wait for a slot of a server.
constexpr std::size_t max_waiting_statements = 24;

/// Returns the value of a field in the query of `path`, or an empty string.
std::string query_field(const std::string& path, const std::string& name)
{
    const auto begin = path.find(name + "=");
    if (begin == std::string::npos)
        return {};
    const auto value = begin + name.size() + 1;
    return path.substr(value, path.find('&', value) - value);
}

json::object to_json(const store_entry& item)
{
    return {{"Key", item.key},
            {"Value", oleandergrade::platform::encode_base64(item.value)},
            {"Revision", item.revision},
            {"CreateRev", item.creation_revision},
            {"Lease", item.lease_id}};
}

http_response make_response(unsigned status, const json::object& body = {})
{
    http_response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

} // namespace

platform_emulator::platform_emulator(asio::io_context& context,
                                     emulator_settings settings)
    : context_(context), settings_(std::move(settings)),
      store_(store_history_retention)
{
    http_server_handlers store_handlers;
    store_handlers.serve = [this](http_request request)
    { return serve_store_call(std::move(request)); };
    store_server_ = std::make_unique<http_server>(
        context, loopback_endpoint(settings_.store_port), http_server_limits{},
        std::move(store_handlers));
    asio::co_spawn(context, copy_store(), asio::detached);
    http_server_handlers promotion_handlers;
    promotion_handlers.serve = [this](http_request request)
    { return serve_promotion(std::move(request)); };
    promotion_server_ = std::make_unique<http_server>(
        context, loopback_endpoint(settings_.promotion_port),
        http_server_limits{}, std::move(promotion_handlers));
    auto port = settings_.first_server_port;
    if (settings_.group_names.empty())
        settings_.group_names = {"group-0", "group-1"};
    for (unsigned group_index = 0; group_index < settings_.group_names.size();
         ++group_index)
    {
        std::vector<std::string> ids;
        for (unsigned server_index = 0;
             server_index < settings_.servers_per_group; ++server_index)
            ids.push_back(server_id(group_index, server_index));
        groups_.push_back(std::make_unique<group_model>(
            settings_.group_names[group_index], ids, settings_.replication_lag,
            settings_.promotion_delay));
        for (const auto& id : ids)
        {
            servers_.push_back(std::make_unique<server_state>(
                context, *groups_.back(), id, port));
            servers_.back()->domain =
                settings_.server_domains[(port - settings_.first_server_port) %
                                         settings_.servers_per_group %
                                         settings_.server_domains.size()];
            listen_with_port_reuse(servers_.back()->acceptor,
                                   loopback_endpoint(port));
            asio::co_spawn(context, accept_loop(*servers_.back()),
                           asio::detached);
            register_server(*servers_.back());
            ++port;
        }
    }
}

platform_emulator::~platform_emulator() = default;

asio::awaitable<void> platform_emulator::copy_store()
{
    for (;;)
    {
        store_copies_.emplace_back(current_time(), store_);
        while (current_time() - store_copies_.front().first > max_copy_age)
            store_copies_.pop_front();
        co_await sleep_for(copy_interval);
    }
}

void platform_emulator::restore_store(milliseconds copy_age)
{
    if (store_copies_.empty())
        return;
    const auto now = current_time();
    auto copy = store_copies_.rbegin();
    while (std::next(copy) != store_copies_.rend() &&
           now - copy->first < copy_age)
        ++copy;
    const auto latest = store_;
    store_ = copy->second;
    store_.expire_all_leases(now);
    store_.discard_history();
    ++store_generation_;
    for (const char* prefix : {"op/", "servers/"})
    {
        for (const auto& item : store_.read_all(prefix))
            if (latest.read(item.key).revision == 0)
                store_.write({}, {{item.key, std::nullopt, 0}}, now);
        for (const auto& item : latest.read_all(prefix))
            store_.write({}, {{item.key, item.value, 0}}, now);
    }
}

std::string platform_emulator::server_id(std::size_t group_index,
                                         std::size_t server_index) const
{
    return "i-" + std::to_string(group_index) + "-" +
           std::to_string(server_index);
}

void platform_emulator::register_changed_roles()
{
    for (const auto& server : servers_)
    {
        server->group.complete_due_promotions(current_time());
        const auto* model = server->group.find_server(server->id);
        if (model->is_running &&
            model->is_primary != server->is_registered_primary)
            register_server(*server);
    }
}

void platform_emulator::register_server(server_state& server)
{
    const auto* model = server.group.find_server(server.id);
    server.is_registered_primary = model->is_primary;
    const json::object record{
        {"Service", server.group.name()},
        {"Address",
         "127.0.0.1:" +
             std::to_string(server.port + settings_.advertised_port_offset)},
        {"Zone", server.domain},
        {"Version", "v1"},
        {"Slots", settings_.slots_per_server},
        {"State", server.is_draining ? "draining" : "ready"},
        {"WarmupLeftMs", 0},
        {"DbRole", model->is_primary ? "primary" : "replica"},
        {"Seq", 1}};
    store_change change{"servers/" + server.id, json::serialize(record), 0};
    store_.write({}, {change}, current_time());
}

void platform_emulator::put_configuration(
    std::uint64_t version,
    const std::vector<std::pair<std::string, std::string>>& account_keys,
    unsigned rate_per_s)
{
    constexpr std::array route_prefixes{"strict-", "own-", "aged-"};
    route_table table;
    table.version = version;
    table.transaction_idle_timeout = milliseconds(3000);
    for (std::size_t group_index = 0; group_index < groups_.size();
         ++group_index)
    {
        const auto& group_name = groups_[group_index]->name();
        for (std::size_t consistency_index = 0;
             consistency_index < route_prefixes.size(); ++consistency_index)
        {
            route new_route;
            new_route.database =
                route_prefixes[consistency_index] + std::to_string(group_index);
            new_route.group = group_name;
            new_route.consistency =
                static_cast<read_consistency>(consistency_index);
            new_route.max_age = milliseconds(1500);
            new_route.statement_timeout = milliseconds(1000);
            new_route.latency_objective = milliseconds(400);
            new_route.priority = 1;
            table.routes[new_route.database] = new_route;
        }
        table.groups[group_name] = {group_name,
                                    settings_.max_connections_per_server, 0};
    }
    for (const auto& [account, key] : account_keys)
    {
        table.accounts[account] = {account, 1, static_cast<double>(rate_per_s),
                                   static_cast<double>(rate_per_s)};
        table.account_by_key[key] = account;
    }
    put_configuration(table);
}

void platform_emulator::put_configuration(const route_table& table)
{
    constexpr std::array consistency_names{"primary", "read_your_writes",
                                           "bounded_staleness"};
    json::array routes;
    for (const auto& [database, database_route] : table.routes)
        routes.push_back(
            {{"Database", database},
             {"RouteType", consistency_names[static_cast<std::size_t>(
                               database_route.consistency)]},
             {"MaxStalenessMs", database_route.max_age.count()},
             {"TimeoutMs", database_route.statement_timeout.count()},
             {"TargetLatencyMs", database_route.latency_objective.count()},
             {"Priority", database_route.priority},
             {"Service", database_route.group},
             {"Public", database_route.is_public}});
    json::array services;
    for (const auto& [name, group] : table.groups)
        services.push_back({{"Name", name},
                            {"MaxConns", group.max_connections_per_target},
                            {"SyncReplicas", group.synchronous_replicas}});
    json::array tenants;
    account_names_.clear();
    for (const auto& [name, account] : table.accounts)
    {
        account_names_.insert(name);
        json::array keys;
        for (const auto& [key, owner] : table.account_by_key)
            if (owner == name)
                keys.push_back(json::string(key));
        tenants.push_back(
            {{"Name", name},
             {"ApiKeys", std::move(keys)},
             {"Priority", account.priority},
             {"RatePerS", static_cast<std::uint64_t>(account.rate)},
             {"Burst", static_cast<std::uint64_t>(account.burst)}});
    }
    const json::object record{
        {"Version", table.version},
        {"Routes", std::move(routes)},
        {"Services", std::move(services)},
        {"Limits",
         json::object{{"TxIdleMs", table.transaction_idle_timeout.count()}}},
        {"Tenants", std::move(tenants)}};
    const store_change change{"op/config", json::serialize(record), 0};
    store_.write({}, {change}, current_time());
    configuration_ = table;
}

void platform_emulator::repeat_configuration()
{
    auto table = configuration_;
    ++table.version;
    put_configuration(table);
}

// When an answer is lost, the client cannot tell whether its call took effect.
asio::awaitable<http_response>
platform_emulator::serve_store_call(http_request request)
{
    auto response = co_await answer_store_call(std::move(request));
    response.headers.emplace_back("Store-Era",
                                  std::to_string(store_generation_));
    co_return response;
}

asio::awaitable<http_response>
platform_emulator::answer_store_call(http_request request)
{
    ++counters_.store_calls;
    if (configuration_refused_ &&
        query_field(request.path, "Prefix") == configuration_prefix)
        co_return make_response(503);
    if (store_silent_)
        co_await sleep_for(silent_call_duration);
    else if (!store_unavailable_)
    {
        if (store_delay_.count() > 0)
            co_await sleep_for(store_delay_);
        auto response = co_await execute_store_call(std::move(request));
        const bool is_lost = std::uniform_real_distribution<>(0, 1)(random_) <
                             store_loss_fraction_;
        if (!is_lost && !store_unavailable_)
            co_return response;
    }
    co_await sleep_for(lost_answer_delay);
    http_response lost_answer = make_response(503);
    lost_answer.close_connection = true;
    co_return lost_answer;
}

asio::awaitable<http_response>
platform_emulator::execute_store_call(http_request request)
{
    const auto now = current_time();
    store_.process_expirations(now);
    const auto& path = request.path;
    if (path.starts_with("/v1/kv-key"))
    {
        const auto item = store_.read(query_field(path, "Key"));
        if (item.revision == 0)
            co_return make_response(404);
        auto body = to_json(item);
        body["AsOf"] = store_.revision();
        co_return make_response(200, body);
    }
    if (path.starts_with("/v1/kv-range"))
    {
        json::array items;
        for (const auto& item : store_.read_all(query_field(path, "Prefix")))
            items.push_back(to_json(item));
        co_return make_response(200, {{"items", std::move(items)},
                                      {"HasMore", false},
                                      {"AsOf", store_.revision()}});
    }
    if (path.starts_with("/v1/kv-watch"))
    {
        auto prefix = query_field(path, "Prefix");
        const auto after_revision = std::stoull(query_field(path, "after"));
        const auto max_wait =
            milliseconds(std::stoll(query_field(path, "WaitMs")));
        auto response =
            co_await serve_watch(std::move(prefix), after_revision, max_wait);
        co_return response;
    }
    if (path == "/v1/kv-txn")
        co_return execute_transaction(request.body);
    if (path == "/v1/kv-lease")
    {
        const auto parsed = parse_json_object(request.body);
        const auto lifetime =
            milliseconds(unsigned_field(value_of(parsed), "TtlMs"));
        co_return make_response(200,
                                {{"Lease", store_.create_lease(lifetime, now)},
                                 {"TtlMs", lifetime.count()}});
    }
    const auto id = std::stoull("0" + path.substr(path.rfind('/') + 1));
    const bool lease_existed = path.starts_with("/v1/kv-keep/")
                                   ? store_.renew_lease(id, now)
                                   : store_.end_lease(id, now);
    co_return make_response(lease_existed ? 200 : 404);
}

asio::awaitable<http_response>
platform_emulator::serve_watch(std::string prefix, std::uint64_t after_revision,
                               milliseconds max_wait)
{
    const auto deadline = current_time() + max_wait;
    const auto generation = store_generation_;
    std::vector<store_event> events;
    for (;;)
    {
        store_.process_expirations(current_time());
        register_changed_roles();
        if (generation != store_generation_)
        {
            auto cut = make_response(503);
            cut.close_connection = true;
            co_return cut;
        }
        if (after_revision > store_.revision() ||
            store_.events_after(prefix, after_revision, events) !=
                store_outcome::done)
            co_return make_response(410);
        if (!events.empty() || current_time() >= deadline || store_unavailable_)
            break;
        co_await sleep_for(poll_interval);
    }
    json::array changes;
    for (const auto& event : events)
    {
        if (event.value)
            changes.push_back(
                to_json({event.key, *event.value, event.revision,
                         event.creation_revision, event.lease_id}));
        else
            changes.push_back({{"Key", event.key},
                               {"Revision", event.revision},
                               {"Deleted", true}});
    }
    co_return make_response(
        200, {{"events", std::move(changes)}, {"AsOf", store_.revision()}});
}

http_response platform_emulator::execute_transaction(const std::string& body)
{
    const auto parsed = parse_json_object(body);
    if (!succeeded(parsed))
        return make_response(400);
    const auto& fields = value_of(parsed);
    std::vector<std::pair<std::string, std::uint64_t>> expected_revisions;
    for (const auto& row : fields.at("Precondition").as_array())
        expected_revisions.emplace_back(
            string_field(row.as_object(), "Key"),
            unsigned_field(row.as_object(), "Revision"));
    std::vector<store_change> changes;
    for (const auto& put : fields.at("Puts").as_array())
        changes.push_back({string_field(put.as_object(), "Key"),
                           oleandergrade::platform::decode_base64(
                               string_field(put.as_object(), "Value")),
                           unsigned_field(put.as_object(), "Lease")});
    for (const auto& key : fields.at("Deletes").as_array())
        changes.push_back({std::string(key.as_string()), std::nullopt, 0});
    for (const auto& change : changes)
        if (change.key.starts_with("op/") || change.key.starts_with("servers/"))
            return make_response(403);
    const auto outcome =
        store_.write(expected_revisions, changes, current_time());
    if (outcome == store_outcome::condition_failed)
        return make_response(412);
    if (outcome == store_outcome::unknown_lease)
        return make_response(404);
    return make_response(200, {{"Revision", store_.revision()}});
}

asio::awaitable<http_response>
platform_emulator::serve_promotion(http_request request)
{
    const auto parsed = parse_json_object(request.body);
    const auto& fields = value_of(parsed);
    auto* group = find_group(string_field(fields, "Service"));
    if (group == nullptr)
        co_return make_response(404);
    const bool accepted =
        group->promote(string_field(fields, "Id"), current_time());
    if (promotion_answers_lost_)
        co_await sleep_for(lost_answer_delay);
    co_return make_response(accepted ? 200 : 409);
}

asio::awaitable<void> platform_emulator::accept_loop(server_state& server)
{
    for (;;)
    {
        error_code failure;
        auto socket = co_await server.acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        auto session = std::make_shared<server_session>(std::move(socket));
        server.sessions.insert(session);
        ++counters_.connections;
        asio::co_spawn(context_, serve_session(server, std::move(session)),
                       asio::detached);
    }
}

asio::awaitable<void>
platform_emulator::serve_session(server_state& server,
                                 std::shared_ptr<server_session> session)
{
    std::string buffer;
    std::array<char, 4096> chunk{};
    bool keep_open = true;
    while (keep_open)
    {
        error_code failure;
        const auto size = co_await session->socket.async_read_some(
            asio::buffer(chunk),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
        const auto search_begin = buffer.empty() ? 0 : buffer.size() - 1;
        buffer.append(chunk.data(), size);
        for (auto end = buffer.find(session_line_end, search_begin);
             end != std::string::npos && keep_open;
             end = buffer.find(session_line_end))
        {
            if (end > max_session_message_bytes)
                break;
            auto line = buffer.substr(0, end);
            buffer.erase(0, end + session_line_end.size());
            auto reply =
                co_await execute_line(server, *session, std::move(line));
            while (server.is_unresponsive)
                co_await sleep_for(poll_interval);
            co_await asio::async_write(
                session->socket, asio::buffer(reply),
                asio::redirect_error(asio::use_awaitable, failure));
            keep_open = !failure && !session->account.empty();
        }
        const bool has_partial_end = buffer.ends_with(session_line_end.front());
        if (buffer.size() - has_partial_end > max_session_message_bytes)
        {
            ++counters_.overlong_messages;
            break;
        }
    }
    server.sessions.erase(session);
}

asio::awaitable<std::string>
platform_emulator::execute_line(server_state& server, server_session& session,
                                std::string line)
{
    std::string_view rest = line;
    if (take_field(rest) == "CONNECT")
    {
        const auto group = take_field(rest);
        const auto account = take_field(rest);
        const auto id = take_field(rest);
        if (group != server.group.name() || (!id.empty() && id != server.id))
            co_return "ERROR WRONGNODE " + server.id + "\r\n";
        if (server.sessions.size() > settings_.max_connections_per_server)
        {
            ++counters_.refused_connections;
            co_return "ERROR CONNLIMIT " + server.id + "\r\n";
        }
        session.account = account;
        if (account != "-" && !account_names_.contains(session.account))
            ++counters_.foreign_accounts;
        co_return ready_line(server, session);
    }
    const std::string id(take_field(rest));
    const std::string text(rest);
    auto reply = co_await run_statement(server, session, id, text);
    co_return reply + ready_line(server, session);
}

std::string platform_emulator::ready_line(server_state& server,
                                          server_session& session)
{
    const auto* model = server.group.find_server(server.id);
    const auto position = server.group.applied_position(*model, current_time());
    constexpr std::array<const char*, 3> states{"I", "T", "E"};
    return std::string("READY ") +
           states[static_cast<std::size_t>(session.transaction)] + " " +
           std::to_string(position.term) + "." +
           std::to_string(position.index) + "\r\n";
}

asio::awaitable<std::string>
platform_emulator::run_statement(server_state& server, server_session& session,
                                 const std::string& id, const std::string& text)
{
    server.group.complete_due_promotions(current_time());
    std::string_view statement = text;
    auto rest = statement;
    auto verb = take_field(rest);
    auto* model = server.group.find_server(server.id);
    if (verb == "AFTER")
    {
        const std::string position(take_field(rest));
        statement = rest;
        verb = take_field(rest);
        log_position minimum;
        char dot = 0;
        std::istringstream(position) >> minimum.term >> dot >> minimum.index;
        if (server.group.applied_position(*model, current_time()) < minimum)
            co_return "ERROR LAGGING " + server.id + "\r\n";
    }
    const std::string command_completion = "COMPLETE -\r\n";
    if (verb == "RESET")
    {
        session.session_values.clear();
        session.prepared_statements.clear();
        co_return command_completion;
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "DEMOTE")
    {
        std::uint64_t term = 0;
        std::istringstream(std::string(rest)) >> term;
        if (verb == "DEMOTE")
            server.group.demote(*model, term);
        const auto last_position =
            model->log.empty() ? 0 : model->log.back().position.index;
        co_return std::string("ROW ") +
            (model->is_primary ? "primary " : "replica ") +
            std::to_string(model->term) + " " + std::to_string(model->term) +
            "." + std::to_string(last_position) + " 0 0 " +
            std::to_string(server.running_statements) + " " +
            std::to_string(server.sessions.size()) + "\r\n" +
            command_completion;
    }
    if (verb == "SET")
    {
        const std::string name(take_field(rest));
        session.session_values[name] = rest;
        co_return command_completion;
    }
    if (verb == "PREPARE")
    {
        const std::string name(take_field(rest));
        session.prepared_statements[name] = rest;
        co_return command_completion;
    }
    if (verb == "BEGIN")
    {
        session.read_only = rest == "READ";
        if (!session.read_only && !model->is_primary)
            co_return "ERROR READONLY " + server.id + "\r\n";
        session.transaction = transaction_state::open;
        session.pending_writes.clear();
        co_return command_completion;
    }
    if (verb == "ROLLBACK")
    {
        session.transaction = transaction_state::none;
        session.pending_writes.clear();
        co_return command_completion;
    }
    if (server.running_statements >= settings_.slots_per_server &&
        server.waiting_statements >= max_waiting_statements)
        co_return "ERROR BUSY " + server.id + "\r\n";
    ++server.waiting_statements;
    while (server.running_statements >= settings_.slots_per_server)
        co_await sleep_for(milliseconds(1));
    --server.waiting_statements;
    ++server.running_statements;
    co_await sleep_for(settings_.statement_duration);
    --server.running_statements;
    ++counters_.statements;
    ++server.statements;
    bool writes = verb == "WRITE";
    std::string prepared;
    if (verb == "EXECUTE")
    {
        const auto found =
            session.prepared_statements.find(std::string(take_field(rest)));
        if (found == session.prepared_statements.end())
            co_return "ERROR NOSUCHSTMT " + server.id + "\r\n";
        prepared = found->second;
        writes = prepared.starts_with("WRITE ");
    }
    received_.add({id, server.id, without_prepared_name(statement, prepared)});
    const std::string statement_completion = "COMPLETE " + server.id + "\r\n";
    const auto now = current_time();
    if (verb == "COMMIT")
    {
        session.transaction = transaction_state::none;
        const auto writes_to_commit = std::exchange(session.pending_writes, {});
        if (!writes_to_commit.empty() &&
            !server.group.commit(*model, writes_to_commit, now))
            co_return "ERROR READONLY " + server.id + "\r\n";
        co_return statement_completion;
    }
    // The last field extends to the end of the text.
    const std::string item(writes ? take_field(rest) : rest);
    const std::string data(rest);
    if (!writes)
        co_return "ROW " + server.group.read(*model, item, now) + "\r\n" +
            statement_completion;
    if (session.transaction == transaction_state::open)
        session.pending_writes.emplace_back(item, data);
    else if (!server.group.commit(*model, {{item, data}}, now))
        co_return "ERROR READONLY " + server.id + "\r\n";
    co_return statement_completion;
}

} // namespace standins
