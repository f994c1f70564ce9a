// Fault injection of platform_emulator. Faults are selected by name, by tests
// in this process and by other processes over HTTP.
#include "platform_emulator_servers.hpp"

#include <oleandergrade/connection/listener.hpp>
#include <oleandergrade/operations/text_check.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <sstream>

namespace standins
{
namespace asio = boost::asio;
using namespace oleandergrade;
using boost::system::error_code;

/// A fault that can be injected by its name. Its argument is the id of a
/// server, a number, or absent.
struct platform_emulator::injectable_fault
{
    const char* name;
    void (*apply)(platform_emulator& platform, const std::string& argument);
    /// Whether the argument must be the id of an existing server.
    bool takes_server = false;
};

namespace
{

/// Returns 0 if the argument is not a number.
std::uint64_t argument_as_number(const std::string& argument)
{
    std::uint64_t number = 0;
    std::istringstream(argument) >> number;
    return number;
}

} // namespace

const std::vector<platform_emulator::injectable_fault>&
platform_emulator::injectable_faults()
{
    using self = platform_emulator;
    using text = const std::string&;
    static const std::vector<injectable_fault> faults{
        {"crash", [](self& p, text id) { p.crash(id); }, true},
        {"restart", [](self& p, text id) { p.restart(id); }, true},
        {"drain", [](self& p, text id) { p.set_draining(id); }, true},
        {"silent", [](self& p, text id) { p.set_unresponsive(id, true); },
         true},
        {"answering", [](self& p, text id) { p.set_unresponsive(id, false); },
         true},
        {"deaf", [](self& p, text id) { p.set_replication_stopped(id, true); },
         true},
        {"hearing",
         [](self& p, text id) { p.set_replication_stopped(id, false); }, true},
        {"lag",
         [](self& p, text ms)
         {
             for (const auto& group : p.groups_)
                 group->set_replication_lag(
                     milliseconds(argument_as_number(ms)));
         }},
        {"evacuate",
         [](self& p, text domain) { p.set_evacuated(domain, true); }},
        {"revoke-evacuation",
         [](self& p, text domain) { p.set_evacuated(domain, false); }},
        {"store-away", [](self& p, text) { p.set_store_unavailable(true); }},
        {"store-back", [](self& p, text) { p.set_store_unavailable(false); }},
        {"store-restored", [](self& p, text ms)
         { p.restore_store(milliseconds(argument_as_number(ms))); }},
        {"reconfigure", [](self& p, text) { p.repeat_configuration(); }},
        {"store-silent", [](self& p, text) { p.set_store_silent(true); }},
        {"store-answering", [](self& p, text) { p.set_store_silent(false); }},
        {"store-slow", [](self& p, text ms)
         { p.set_store_delay(milliseconds(argument_as_number(ms))); }},
        {"store-refuses",
         [](self& p, text) { p.set_configuration_refused(true); }},
        {"store-accepts",
         [](self& p, text) { p.set_configuration_refused(false); }},
        {"store-loses",
         [](self& p, text percent)
         {
             p.set_store_loss_fraction(
                 static_cast<double>(argument_as_number(percent)) / 100);
         }},
        {"store-lapses",
         [](self& p, text) { p.store_.expire_all_leases(current_time()); }},
        {"store-compacts", [](self& p, text) { p.store_.discard_history(); }},
        {"promotions-lost",
         [](self& p, text) { p.set_promotion_answers_lost(true); }},
        {"promotions-answered",
         [](self& p, text) { p.set_promotion_answers_lost(false); }}};
    return faults;
}

std::vector<std::string> platform_emulator::fault_names()
{
    std::vector<std::string> names;
    for (const auto& fault : injectable_faults())
        names.emplace_back(fault.name);
    return names;
}

result<bool> platform_emulator::apply_fault(const std::string& line)
{
    std::istringstream words(line);
    std::string name;
    std::string argument;
    words >> name >> argument;
    for (const auto& fault : injectable_faults())
    {
        if (name != fault.name)
            continue;
        if (fault.takes_server && find_server(argument) == nullptr)
            return error{error_kind::invalid, "fault", argument,
                         "unknown server; ids have the form i-GROUP-SERVER"};
        fault.apply(*this, argument);
        return true;
    }
    return error{error_kind::invalid, "fault", "",
                 "unknown fault '" + name + "'"};
}

platform_emulator::server_state*
platform_emulator::find_server(const std::string& id)
{
    for (const auto& server : servers_)
        if (server->id == id)
            return server.get();
    return nullptr;
}

group_model* platform_emulator::find_group(const std::string& name)
{
    for (const auto& group : groups_)
        if (group->name() == name)
            return group.get();
    return nullptr;
}

void platform_emulator::crash(const std::string& id)
{
    auto& server = *find_server(id);
    server.group.complete_due_promotions(current_time());
    server.group.find_server(id)->is_running = false;
    error_code ignored;
    server.acceptor.close(ignored);
    for (const auto& session : server.sessions)
        session->socket.close(ignored);
    const store_change deletion{"servers/" + id, std::nullopt, 0};
    store_.write({}, {deletion}, current_time());
}

void platform_emulator::restart(const std::string& id)
{
    auto& server = *find_server(id);
    auto* model = server.group.find_server(id);
    if (model->is_running)
        return;
    server.group.complete_due_promotions(current_time());
    model->is_running = true;
    server.is_draining = false;
    for (const auto& [other_id, other] : server.group.servers())
        if (other.is_primary && other.term > model->term)
            server.group.demote(*model, other.term);
    server.group.resume_replication(*model);
    listen_with_port_reuse(server.acceptor, loopback_endpoint(server.port));
    asio::co_spawn(context_, accept_loop(server), asio::detached);
    register_server(server);
}

void platform_emulator::set_draining(const std::string& id)
{
    auto& server = *find_server(id);
    server.is_draining = true;
    register_server(server);
}

void platform_emulator::set_unresponsive(const std::string& id,
                                         bool unresponsive)
{
    find_server(id)->is_unresponsive = unresponsive;
}

void platform_emulator::set_replication_stopped(const std::string& id,
                                                bool stopped)
{
    auto& server = *find_server(id);
    if (stopped)
        server.group.find_server(id)->receives_commits = false;
    else
        server.group.resume_replication(*server.group.find_server(id));
}

void platform_emulator::set_evacuated(const std::string& domain, bool evacuated)
{
    store_change change{"op/evacuate/" + domain, std::nullopt, 0};
    if (evacuated)
        change.value = "{}";
    store_.write({}, {change}, current_time());
}

std::uint64_t platform_emulator::statement_count(const std::string& id)
{
    return find_server(id)->statements;
}

std::string
platform_emulator::primary_log_text(const std::string& group_name) const
{
    const group_server* primary = nullptr;
    for (const auto& candidate : groups_)
        if (candidate->name() == group_name)
            for (const auto& [id, server] : candidate->servers())
                if (server.is_primary &&
                    (primary == nullptr || primary->term < server.term))
                    primary = &server;
    std::string text;
    if (primary != nullptr)
        for (const auto& commit : primary->log)
            text += escape_text(commit.item) + " " + escape_text(commit.data) +
                    "\n";
    return text;
}

} // namespace standins
