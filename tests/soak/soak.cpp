/// Randomized soak test: runs real VM processes and the emulated platform on
/// loopback and injects faults into the processes and the network between them.
/// Checks that the answers which callers received agree with the consistency of
/// their routes and with the logs of the databases, and that the databases
/// received the texts that the callers sent.
#include "../../platform/platform_parts.hpp"
#include "../fakes/port_block.hpp"
#include "caller_texts.hpp"
#include "child_process.hpp"
#include "loopback_proxy.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/operations/verifying_caller.hpp>
#include <oleandergrade/version/fleet_configuration.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_uint32(seconds, 12, "duration of the fault injection in seconds");
DEFINE_uint32(vms, 6, "number of VMs");
DEFINE_string(domains, "a,b,c",
              "failure domains, separated by commas and assigned in turn");
DEFINE_uint32(callers, 24,
              "number of callers; each sends one request at a time");
DEFINE_uint32(share_sessions_from, 12,
              "number of VMs from which on they share the sessions at all "
              "targets");
DEFINE_string(programs, "",
              "folder that contains oleander-vm and platform-emulator");
DEFINE_string(earlier_programs, "",
              "folder that contains oleander-vm of an earlier build; if set, a "
              "VM draws one of the builds at each start");
DEFINE_string(
    folder, "",
    "folder for settings files and logs; created if missing, never deleted");
DEFINE_uint32(base_port, 0,
              "lowest port; about 400 ports from here on are used; 0: ports "
              "that no other run uses");

namespace
{

using namespace oleandergrade;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr unsigned group_count = 3;
constexpr unsigned servers_per_group = 3;
constexpr unsigned ports_per_vm = 10;
constexpr unsigned ports_per_run = 400;
/// The port of a server's proxy is the server's port plus this offset.
constexpr unsigned proxy_port_offset = 100;
/// Maximum time from the start of the VMs until every database is served.
constexpr auto startup_timeout = seconds(10);
/// The time that the emulator's settings allow for applying a configuration.
constexpr auto configuration_apply_time = milliseconds(5000);
/// Maximum time from the end of all faults until every database is served
/// again.
constexpr auto recovery_timeout = seconds(12);
/// Upper limit of a caller's pause between two requests.
constexpr auto max_caller_pause = milliseconds(30);
/// Interval at which the statements that the servers received are compared with
/// those that the callers sent.
constexpr auto text_check_interval = milliseconds(500);
/// Database of each group's only route. The databases differ in their read
/// consistency, and the callers are distributed evenly over them.
constexpr std::array databases{"strict", "own", "aged"};

/// Returns the fleet configuration: one group and one route per database, and
/// one client account whose rate limit is never reached.
std::string configuration_text()
{
    std::string text = "[fleet]\nversion = 1\n";
    constexpr std::array consistency{"current", "own-writes", "bounded-age"};
    for (unsigned g = 0; g < group_count; ++g)
    {
        const auto group = "group-" + std::to_string(g);
        text += "[group " + group + "]\nconnections = 40\n[route " +
                databases[g] + "]\ngroup = " + group +
                "\nconsistency = " + consistency[g] +
                "\nmax_age_ms = 1500\nstatement_timeout_ms = 2000\n"
                "latency_objective_ms = 400\n";
    }
    return text + "[account soak]\nkeys = soak-key\nrate = 100000\n";
}

std::string loopback_address(unsigned port)
{
    return "127.0.0.1:" + std::to_string(port);
}

tcp::endpoint loopback_endpoint(unsigned port)
{
    return {asio::ip::address_v4::loopback(),
            static_cast<unsigned short>(port)};
}

/// Runs the soak test once, with the seed of the command line. Not thread-safe:
/// the processes are controlled and the callers run on one thread.
class soak_run
{
public:
    soak_run()
        : random_(FLAGS_seed), first_vm_port_(FLAGS_base_port + 200),
          emulator_control_(context_.get_executor(),
                            loopback_address(FLAGS_base_port + 2))
    {
    }

    /// Runs the whole test and returns a message for each problem: a violated
    /// guarantee, a fleet that does not serve in time, a process that ended by
    /// itself, or a fault that could not be injected.
    std::vector<std::string> run()
    {
        start_emulator_and_proxies();
        asio::co_spawn(context_, run_scenario(),
                       [this](std::exception_ptr failure)
                       {
                           if (failure)
                               problems_.emplace_back(
                                   "the run ended with an exception");
                           context_.stop();
                       });
        context_.run();
        for (unsigned vm = 0; vm < vms_.size(); ++vm)
            if (vms_[vm]->is_running() && vms_[vm]->collect_exit_status())
                problems_.push_back("vm-" + std::to_string(vm) +
                                    " ended without having been stopped");
        return problems_;
    }

private:
    unsigned vm_port(unsigned vm) const
    {
        return first_vm_port_ + vm * ports_per_vm;
    }
    /// Port at which this VM reaches the metadata store through a proxy.
    unsigned store_proxy_port(unsigned vm) const { return vm_port(vm) + 5; }
    /// Port at which other VMs reach this VM through a proxy.
    unsigned peer_proxy_port(unsigned vm) const { return vm_port(vm) + 6; }

    /// Writes a line to the log of the run on standard error.
    void log_to_stderr(const std::string& line) const
    {
        std::cerr << "seed " << FLAGS_seed << ": " << line << "\n";
    }

    /// Returns a random number less than `limit`.
    std::uint64_t random_below(std::uint64_t limit)
    {
        return random_() % limit;
    }

    /// Starts a proxy from `listen_port` to `destination_port` and appends it
    /// to the list.
    void add_proxy(std::vector<std::unique_ptr<soak::loopback_proxy>>& proxies,
                   unsigned listen_port, unsigned destination_port)
    {
        proxies.push_back(std::make_unique<soak::loopback_proxy>(
            context_, static_cast<unsigned short>(listen_port),
            static_cast<unsigned short>(destination_port)));
    }

    /// Starts the emulator and the proxies. The VMs are started by
    /// run_scenario(), once the emulator has written their settings.
    void start_emulator_and_proxies()
    {
        const auto configuration = FLAGS_folder + "/fleet.ini";
        std::ofstream(configuration) << configuration_text();
        emulator_ = std::make_unique<soak::child_process>(
            std::vector<std::string>{
                FLAGS_programs + "/platform-emulator",
                "--configuration=" + configuration,
                "--base_port=" + std::to_string(FLAGS_base_port),
                "--advertised_offset=" + std::to_string(proxy_port_offset),
                "--first_vm_port=" + std::to_string(first_vm_port_),
                "--vms=" + std::to_string(FLAGS_vms),
                "--domains=" + FLAGS_domains, "--folder=" + FLAGS_folder,
                "--work_ms=2"},
            FLAGS_folder + "/emulator.log");
        for (unsigned i = 0; i < group_count * servers_per_group; ++i)
            add_proxy(server_proxies_,
                      FLAGS_base_port + 3 + i + proxy_port_offset,
                      FLAGS_base_port + 3 + i);
        for (unsigned vm = 0; vm < FLAGS_vms; ++vm)
        {
            add_proxy(store_proxies_, store_proxy_port(vm), FLAGS_base_port);
            add_proxy(peer_proxies_, peer_proxy_port(vm), vm_port(vm) + 2);
        }
    }

    /// Writes the settings files of a VM: those that the emulator wrote, with
    /// the addresses of the store and for peers replaced by those of proxies.
    /// Returns false if the emulator's file is missing or does not contain the
    /// store's address.
    bool write_vm_settings(unsigned vm)
    {
        const auto path_prefix = FLAGS_folder + "/vm-" + std::to_string(vm);
        std::ifstream file(path_prefix + ".toml");
        std::string text((std::istreambuf_iterator<char>(file)), {});
        const auto store = "\"" + loopback_address(FLAGS_base_port) + "\"";
        const auto address_position = text.find(store);
        if (address_position == std::string::npos)
            return false;
        text.replace(address_position, store.size(),
                     "\"" + loopback_address(store_proxy_port(vm)) + "\"");
        std::ofstream(path_prefix + "-soak.toml") << text;
        std::ofstream(path_prefix + "-soak.ini")
            << "[peers]\nadvertise = " << loopback_address(peer_proxy_port(vm))
            << "\n[fleet]\nrelay_from = 12\n"
            << "share_sessions_from = " << FLAGS_share_sessions_from
            << "\ndedicated_sessions = 1000\n";
        return true;
    }

    std::string draw_vm_program()
    {
        const bool is_earlier =
            !FLAGS_earlier_programs.empty() && random_below(2) == 0;
        return (is_earlier ? FLAGS_earlier_programs : FLAGS_programs) +
               "/oleander-vm";
    }

    /// Starts the VMs and the callers, injects faults, then ends all faults and
    /// checks that the fleet recovers and kept its guarantees.
    asio::awaitable<void> run_scenario()
    {
        co_await sleep_for(milliseconds(300));
        for (unsigned vm = 0; vm < FLAGS_vms; ++vm)
        {
            const auto path_prefix = FLAGS_folder + "/vm-" + std::to_string(vm);
            if (!write_vm_settings(vm))
            {
                problems_.emplace_back(
                    "the emulator did not write the settings of the VMs");
                co_return;
            }
            vms_.push_back(std::make_unique<soak::child_process>(
                std::vector<std::string>{
                    draw_vm_program(),
                    "--settings=" + path_prefix + "-soak.toml",
                    "--own_settings=" + path_prefix + "-soak.ini"},
                path_prefix + ".log"));
        }
        start_callers();
        const auto is_serving = co_await wait_for_service(startup_timeout);
        if (!is_serving)
            problems_.emplace_back("the fleet did not serve every database in "
                                   "time after its start");
        const auto end = current_time() + seconds(FLAGS_seconds);
        while (current_time() < end)
        {
            inject_fault();
            co_await sleep_for(milliseconds(200 + random_below(1200)));
        }
        co_await end_all_faults();
        co_await interrupt_configuration_calls();
        co_await send_fault_command("reconfigure");
        const auto configured_at = current_time();
        const auto is_serving_again =
            co_await wait_for_service(recovery_timeout);
        if (!is_serving_again)
            problems_.emplace_back(
                "the fleet did not serve every database in time after the "
                "faults had ended");
        co_await check_configuration(configured_at);
        co_await sleep_for(seconds(1));
        callers_stopping_ = true;
        co_await sleep_for(seconds(4));
        co_await check_texts();
        co_await check_guarantees();
    }

    /// Starts callers that write and read one item each and send random texts,
    /// distributed over the databases and the VMs.
    void start_callers()
    {
        std::ifstream file(FLAGS_folder + "/fleet.ini");
        const std::string text((std::istreambuf_iterator<char>(file)), {});
        const auto parsed = parse_fleet_configuration("fleet.ini", text);
        const auto& table = std::get<route_table>(parsed);
        for (unsigned i = 0; i < FLAGS_callers; ++i)
        {
            callers_.push_back(std::make_unique<verifying_caller>(
                context_.get_executor(), *codec_,
                table.routes.at(databases[i % databases.size()]), "soak-key",
                "item" + std::to_string(i)));
            callers_.back()->switch_to_vm(
                loopback_endpoint(vm_port(i % FLAGS_vms)));
            callers_.back()->record_texts(text_check_);
            // Earlier builds change or refuse fields that are empty or hold
            // blanks or NUL bytes.
            const bool ordinary_fields = !FLAGS_earlier_programs.empty();
            asio::co_spawn(context_,
                           run_caller(*callers_.back(),
                                      std::make_unique<soak::caller_texts>(
                                          random_(), ordinary_fields)),
                           asio::detached);
        }
        asio::co_spawn(context_, collect_texts(), asio::detached);
    }

    /// Compares what the servers receive, since the emulator keeps a limited
    /// number of statements.
    asio::awaitable<void> collect_texts()
    {
        http_client control(context_.get_executor(),
                            loopback_address(FLAGS_base_port + 2));
        while (!callers_stopping_)
        {
            co_await text_check_.collect(control);
            co_await sleep_for(text_check_interval);
        }
    }

    /// Adds a problem for each text that arrived otherwise than it was sent.
    asio::awaitable<void> check_texts()
    {
        const auto collected = co_await text_check_.collect(emulator_control_);
        if (!succeeded(collected))
            problems_.push_back(
                "the emulator did not return what its servers received: " +
                to_string(error_of(collected)));
        for (const auto& violation : text_check_.violations())
            problems_.push_back(violation);
        if (text_check_.compared() == 0)
            problems_.emplace_back("no server received a statement");
    }

    /// Sends random requests until the test stops. After a lost session, the
    /// caller continues at a random VM.
    asio::awaitable<void> run_caller(verifying_caller& caller,
                                     std::unique_ptr<soak::caller_texts> texts)
    {
        while (!callers_stopping_)
        {
            caller_outcome outcome;
            const auto operation_choice = random_below(13);
            if (operation_choice < 4)
                outcome = co_await caller.write();
            else if (operation_choice < 6)
                outcome = co_await caller.write_in_transaction();
            else if (operation_choice < 10)
                outcome = co_await caller.read();
            else
                outcome = co_await caller.run([&texts](std::uint64_t session)
                                              { return texts->draw(session); });
            const bool is_served =
                outcome.failure == session_error::none && !outcome.lost_session;
            ++(is_served ? succeeded_requests_ : failed_requests_);
            if (is_served)
                served_databases_.insert(caller.assigned_route().database);
            if (outcome.lost_session)
                caller.switch_to_vm(loopback_endpoint(
                    vm_port(static_cast<unsigned>(random_below(FLAGS_vms)))));
            co_await sleep_for(milliseconds(random_below(
                static_cast<std::uint64_t>(max_caller_pause.count()))));
        }
    }

    /// Waits until a request to every database has been served. Returns false
    /// if that takes longer than the limit.
    asio::awaitable<bool> wait_for_service(duration limit)
    {
        const auto deadline = current_time() + limit;
        served_databases_.clear();
        while (current_time() < deadline &&
               served_databases_.size() < databases.size())
            co_await sleep_for(milliseconds(50));
        co_return served_databases_.size() == databases.size();
    }

    /// A function that injects one kind of fault.
    using fault_injector = void (soak_run::*)();

    void inject_fault()
    {
        constexpr std::array<fault_injector, 9> faults{
            &soak_run::pause_vm,
            &soak_run::kill_and_restart_vm,
            &soak_run::shut_down_and_restart_vm,
            &soak_run::reload_vm_settings,
            &soak_run::inject_network_fault,
            &soak_run::inject_platform_fault,
            &soak_run::change_configuration,
            &soak_run::restore_store,
            &soak_run::inject_server_fault};
        (this->*faults[random_below(faults.size())])();
    }

    /// Returns the index of a random VM.
    unsigned random_vm()
    {
        return static_cast<unsigned>(random_below(vms_.size()));
    }

    /// Calls `action` after the delay.
    void run_after(duration delay, std::function<void()> action)
    {
        const auto wait =
            [](duration wait_time,
               std::function<void()> action) -> asio::awaitable<void>
        {
            co_await sleep_for(wait_time);
            action();
        };
        asio::co_spawn(context_, wait(delay, std::move(action)),
                       asio::detached);
    }

    /// Stops a VM's process with SIGSTOP and continues it later.
    void pause_vm()
    {
        const auto vm = random_vm();
        const auto pause_time = milliseconds(50 + random_below(3000));
        log_to_stderr("vm-" + std::to_string(vm) + " is paused for " +
                      std::to_string(pause_time.count()) + " ms");
        vms_[vm]->send_signal(SIGSTOP);
        run_after(pause_time, [this, vm] { vms_[vm]->send_signal(SIGCONT); });
    }

    /// Sends a signal that ends a VM's process and starts it again later. Does
    /// nothing if the VM is not running.
    void end_and_restart_vm(unsigned vm, int signal_number)
    {
        if (!vms_[vm]->is_running())
            return;
        vms_[vm]->send_signal(SIGCONT);
        vms_[vm]->send_signal(signal_number);
        restart_after_exit(vm);
    }

    /// Waits until a VM's process has exited, then starts it again.
    void restart_after_exit(unsigned vm)
    {
        run_after(milliseconds(100 + random_below(1000)),
                  [this, vm]
                  {
                      if (vms_[vm]->is_running() &&
                          !vms_[vm]->collect_exit_status())
                          return restart_after_exit(vm);
                      vms_[vm]->set_program(draw_vm_program());
                      vms_[vm]->start();
                  });
    }

    /// Kills a VM's process and starts it again.
    void kill_and_restart_vm()
    {
        const auto vm = random_vm();
        log_to_stderr("vm-" + std::to_string(vm) + " is killed with SIGKILL");
        end_and_restart_vm(vm, SIGKILL);
    }

    /// Shuts a VM down gracefully and starts it again.
    void shut_down_and_restart_vm()
    {
        const auto vm = random_vm();
        log_to_stderr("vm-" + std::to_string(vm) +
                      " is shut down with SIGTERM");
        end_and_restart_vm(vm, SIGTERM);
    }

    /// Makes a VM read its settings again.
    void reload_vm_settings() { vms_[random_vm()]->send_signal(SIGHUP); }

    /// Delays, discards or refuses the traffic of a proxy for some time, or
    /// closes its connections.
    void inject_network_fault()
    {
        auto& proxies = random_below(3) == 0   ? store_proxies_
                        : random_below(2) == 0 ? peer_proxies_
                                               : server_proxies_;
        auto& proxy = *proxies[random_below(proxies.size())];
        const char* proxy_kind = &proxies == &store_proxies_  ? "store"
                                 : &proxies == &peer_proxies_ ? "peer"
                                                              : "server";
        soak::link_faults faults;
        const auto fault_kind = random_below(5);
        if (fault_kind == 0)
            faults.delay = milliseconds(20 + random_below(400));
        else if (fault_kind == 1)
            faults.discards_requests = true;
        else if (fault_kind == 2)
            faults.discards_answers = true;
        else if (fault_kind == 3)
            faults.discards_requests = faults.discards_answers =
                faults.refuses_connections = true;
        log_to_stderr(std::string("network fault at a ") + proxy_kind +
                      " proxy, fault " + std::to_string(fault_kind));
        if (fault_kind == 4)
            return proxy.close_connections();
        proxy.set_faults(faults);
        run_after(milliseconds(100 + random_below(3500)),
                  [&proxy] { proxy.set_faults({}); });
    }

    /// Sends a fault command to the emulator without waiting for the answer.
    void request_fault(const std::string& command)
    {
        log_to_stderr(command);
        asio::co_spawn(context_, send_fault_command(command), asio::detached);
    }

    /// Sends a fault command to the emulator. Records a problem if the emulator
    /// does not accept it.
    asio::awaitable<void> send_fault_command(std::string command)
    {
        http_client control(context_.get_executor(),
                            loopback_address(FLAGS_base_port + 2));
        http_request request;
        request.path = "/fault";
        request.body = command;
        const auto answer =
            co_await control.exchange(std::move(request), seconds(3));
        if (!succeeded(answer) || value_of(answer).status != 200)
            problems_.push_back("the emulator did not accept the fault: " +
                                command);
    }

    /// Injects a fault into the metadata store or the promotion interface of
    /// the emulator.
    void inject_platform_fault()
    {
        struct store_fault
        {
            const char* start_command;
            const char* end_command;
        };
        constexpr std::array faults{
            store_fault{"store-away", "store-back"},
            store_fault{"store-silent", "store-answering"},
            store_fault{"store-slow 150", "store-slow 0"},
            store_fault{"store-loses 20", "store-loses 0"},
            store_fault{"promotions-lost", "promotions-answered"},
            store_fault{"store-compacts", ""}};
        const auto& chosen = faults[random_below(faults.size())];
        request_fault(chosen.start_command);
        if (*chosen.end_command != 0)
            run_after(milliseconds(100 + random_below(3500)),
                      [this, end_command = chosen.end_command]
                      { request_fault(end_command); });
    }

    /// Takes the store away and brings it back from a copy, at times twice in a
    /// row. In half of the cases a VM starts meanwhile.
    void restore_store()
    {
        // Builds without generations of the store lose writes then.
        if (!FLAGS_earlier_programs.empty())
            return;
        const auto age = std::to_string(random_below(10'000));
        const auto absence = milliseconds(random_below(3000));
        log_to_stderr("the store is restored from a copy " + age +
                      " ms old in " + std::to_string(absence.count()) + " ms");
        request_fault("store-away");
        if (random_below(2) == 0)
            end_and_restart_vm(random_vm(), SIGTERM);
        run_after(absence,
                  [this, age]
                  {
                      request_fault("store-restored " + age);
                      request_fault("store-back");
                  });
        if (random_below(3) == 0)
            run_after(absence + milliseconds(random_below(1500)),
                      [this] { request_fault("store-restored 500"); });
    }

    /// Changes the configuration. In half of the cases the store stops
    /// answering right after it, when the VMs watch it again.
    void change_configuration()
    {
        request_fault("reconfigure");
        if (random_below(2) == 0)
            return;
        run_after(milliseconds(random_below(120)),
                  [this] { request_fault("store-silent"); });
        run_after(milliseconds(200 + random_below(3000)),
                  [this] { request_fault("store-answering"); });
    }

    /// Interrupts what all VMs follow in the store at the same moment: not at
    /// all, or by connections that are closed or fall silent, or by closed
    /// connections and a time in which only calls for the configuration are
    /// refused.
    asio::awaitable<void> interrupt_configuration_calls()
    {
        const auto kind = random_below(4);
        log_to_stderr("interruption of the configuration, kind " +
                      std::to_string(kind));
        if (kind == 3)
            co_await send_fault_command("store-refuses");
        for (const auto& proxy : store_proxies_)
            if (kind == 2)
                proxy->silence_connections();
            else if (kind != 0)
                proxy->close_connections();
        if (kind != 3)
            co_return;
        co_await sleep_for(milliseconds(1000 + random_below(2000)));
        co_await send_fault_command("store-accepts");
    }

    /// Checks that the configuration that was put at `configured_at` is in
    /// force at every VM in time.
    asio::awaitable<void> check_configuration(time_point configured_at)
    {
        co_await sleep_for(configured_at + configuration_apply_time -
                           current_time());
        http_request counters_request;
        counters_request.method = "GET";
        counters_request.path = "/";
        const auto counters = co_await emulator_control_.exchange(
            std::move(counters_request), seconds(3));
        const auto expected_version =
            succeeded(counters)
                ? number_in(value_of(counters).body, "configuration_version")
                : 0;
        if (expected_version == 0)
            problems_.emplace_back(
                "the emulator did not return the configuration's version");
        for (unsigned vm = 0; vm < FLAGS_vms; ++vm)
        {
            http_client metrics(context_.get_executor(),
                                loopback_address(vm_port(vm) + 3));
            http_request request;
            request.method = "GET";
            request.path = "/state";
            const auto state =
                co_await metrics.exchange(std::move(request), seconds(3));
            const auto version =
                succeeded(state)
                    ? number_in(value_of(state).body, "configuration")
                    : 0;
            if (version < expected_version)
                problems_.push_back("vm-" + std::to_string(vm) +
                                    " has version " + std::to_string(version) +
                                    " of the configuration, not " +
                                    std::to_string(expected_version) +
                                    ", after the time allowed for applying it");
        }
    }

    /// Returns a number from a JSON object; 0 if it is missing.
    static std::uint64_t number_in(const std::string& text, const char* field)
    {
        const auto parsed = parse_json_object(text);
        return succeeded(parsed) ? unsigned_field(value_of(parsed), field) : 0;
    }

    /// Crashes a database server, makes it unresponsive, or makes it miss
    /// commits, unless a server of its group has had a fault shortly before. At
    /// most one server of a group has a fault at a time: a commit that only
    /// failed servers have received may be lost, which is outside the
    /// guarantee.
    void inject_server_fault()
    {
        const auto group = random_below(group_count);
        if (recently_faulty_groups_.contains(group))
            return;
        struct server_fault
        {
            const char* start_command;
            const char* end_command;
        };
        constexpr std::array faults{
            server_fault{"crash ", "restart "},
            server_fault{"silent ", "answering "},
            server_fault{"deaf ", "hearing "},
        };
        const auto& chosen = faults[random_below(faults.size())];
        const auto server_id = "i-" + std::to_string(group) + "-" +
                               std::to_string(random_below(servers_per_group));
        recently_faulty_groups_.insert(group);
        request_fault(chosen.start_command + server_id);
        run_after(milliseconds(200 + random_below(4000)),
                  [this, server_id, end_command = chosen.end_command]
                  { request_fault(end_command + server_id); });
        // The fault ends after 4.2 s at the latest; the rest of the 9 s is for
        // the group to recover before its next fault.
        run_after(milliseconds(9000),
                  [this, group] { recently_faulty_groups_.erase(group); });
    }

    /// Ends all faults and starts VMs that are not running.
    asio::awaitable<void> end_all_faults()
    {
        // Each fault with a planned end lasts less than five seconds, so all of
        // them have ended after this delay.
        co_await sleep_for(seconds(5));
        for (auto* proxies :
             {&store_proxies_, &peer_proxies_, &server_proxies_})
            for (auto& proxy : *proxies)
                proxy->set_faults({});
        for (auto& vm : vms_)
        {
            vm->send_signal(SIGCONT);
            if (!vm->is_running())
                vm->start();
        }
        log_to_stderr("all faults have ended");
    }

    /// Adds a problem for each read that returned too old data and for each
    /// write whose outcome contradicts the log of its group.
    asio::awaitable<void> check_guarantees()
    {
        std::uint64_t acknowledged_writes = 0;
        for (unsigned g = 0; g < group_count; ++g)
        {
            http_request request;
            request.method = "GET";
            request.path = "/log/group-" + std::to_string(g);
            const auto group_log = co_await emulator_control_.exchange(
                std::move(request), seconds(3));
            if (!succeeded(group_log))
            {
                problems_.emplace_back(
                    "the emulator did not return the log of a group");
                co_return;
            }
            for (const auto& caller : callers_)
            {
                if (caller->assigned_route().group !=
                    "group-" + std::to_string(g))
                    continue;
                acknowledged_writes += caller->history().acknowledged_at.size();
                for (const auto& violation : caller->violations())
                    problems_.push_back(violation);
                for (const auto& violation :
                     find_log_violations(*caller, value_of(group_log).body))
                    problems_.push_back(violation);
            }
        }
        log_to_stderr(
            std::to_string(succeeded_requests_) + " requests succeeded, " +
            std::to_string(failed_requests_) + " failed, " +
            std::to_string(acknowledged_writes) + " writes acknowledged, " +
            std::to_string(text_check_.compared()) + " texts compared");
    }

    asio::io_context context_{1};
    std::unique_ptr<session_codec> codec_ = platform::make_session_codec();
    std::mt19937_64 random_;
    unsigned first_vm_port_;
    http_client emulator_control_;
    std::unique_ptr<soak::child_process> emulator_;
    std::vector<std::unique_ptr<soak::loopback_proxy>> server_proxies_;
    std::vector<std::unique_ptr<soak::loopback_proxy>> store_proxies_;
    std::vector<std::unique_ptr<soak::loopback_proxy>> peer_proxies_;
    std::vector<std::unique_ptr<soak::child_process>> vms_;
    text_check text_check_;
    std::vector<std::unique_ptr<verifying_caller>> callers_;
    /// Groups of which a server has had a fault in the last nine seconds.
    std::set<std::uint64_t> recently_faulty_groups_;
    /// Databases that have been served since the latest wait_for_service().
    std::set<std::string> served_databases_;
    std::vector<std::string> problems_;
    /// Numbers of requests that succeeded and that failed.
    std::uint64_t succeeded_requests_ = 0;
    std::uint64_t failed_requests_ = 0;
    /// Set when the callers are to send no further requests.
    bool callers_stopping_ = false;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("oleander-soak --programs FOLDER --folder FOLDER "
                            "[--seed N] [--seconds N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::filesystem::create_directories(FLAGS_folder);
    std::optional<fakes::port_block> ports;
    if (FLAGS_base_port == 0)
        FLAGS_base_port = ports.emplace(ports_per_run).first_port();
    soak_run run;
    const auto problems = run.run();
    for (const auto& problem : problems)
        std::cout << "seed " << FLAGS_seed << ": FAILED " << problem << "\n";
    if (problems.empty())
        std::cout << "seed " << FLAGS_seed << ": passed\n";
    return problems.empty() ? 0 : 1;
}
