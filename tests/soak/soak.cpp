/// Randomized soak: real VM processes and the emulated platform on loopback,
/// with faults from outside them. Checks what callers were told against each
/// other and against the logs of the databases.
#include "../../platform/platform_parts.hpp"
#include "child_process.hpp"
#include "loopback_proxy.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/http_client.hpp>
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

DEFINE_uint64(seed, 1, "begins the random numbers");
DEFINE_uint32(seconds, 12, "time with faults");
DEFINE_uint32(vms, 6, "VMs");
DEFINE_uint32(callers, 24, "callers, one request at a time each");
DEFINE_string(programs, "", "folder with oleander-vm and platform-emulator");
DEFINE_string(folder, "", "where settings and logs go; kept after a failure");
DEFINE_uint32(base_port, 30000, "first of about 300 ports");

namespace
{

using namespace oleandergrade;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr unsigned groups = 3;
constexpr unsigned servers = 3;
constexpr unsigned ports_per_vm = 10;
/// Proxies listen this much above what they stand for.
constexpr unsigned proxy_offset = 100;
constexpr auto start_limit = seconds(10);
/// The fleet must serve again within this after the last fault.
constexpr auto recovery_limit = seconds(12);
constexpr auto longest_pause = milliseconds(30);
/// Configured below, and used by one of the callers' kinds each.
constexpr std::array databases{"strict", "own", "aged"};

std::string configuration_text()
{
    std::string text = "[fleet]\nversion = 1\n";
    constexpr std::array consistency{"current", "own-writes", "bounded-age"};
    for (unsigned g = 0; g < groups; ++g)
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

std::string loopback(unsigned port)
{
    return "127.0.0.1:" + std::to_string(port);
}

tcp::endpoint endpoint(unsigned port)
{
    return {asio::ip::address_v4::loopback(),
            static_cast<unsigned short>(port)};
}

/// One run of one seed.
class soak_run
{
public:
    soak_run()
        : random_(FLAGS_seed), first_vm_port_(FLAGS_base_port + 200),
          control_(context_.get_executor(), loopback(FLAGS_base_port + 2))
    {
    }

    /// Returns what was broken.
    std::vector<std::string> run()
    {
        start_processes();
        asio::co_spawn(context_, play(),
                       [this](std::exception_ptr failure)
                       {
                           if (failure)
                               problems_.emplace_back("the run was broken off");
                           context_.stop();
                       });
        context_.run();
        for (unsigned vm = 0; vm < vms_.size(); ++vm)
            if (vms_[vm]->is_running() && vms_[vm]->has_ended())
                problems_.push_back("vm-" + std::to_string(vm) +
                                    " ended by itself");
        return problems_;
    }

private:
    unsigned vm_port(unsigned vm) const
    {
        return first_vm_port_ + vm * ports_per_vm;
    }
    unsigned store_proxy_port(unsigned vm) const { return vm_port(vm) + 5; }
    unsigned peer_proxy_port(unsigned vm) const { return vm_port(vm) + 6; }

    void note(const std::string& line) const
    {
        std::cerr << "seed " << FLAGS_seed << ": " << line << "\n";
    }

    std::uint64_t below(std::uint64_t limit) { return random_() % limit; }

    void add_proxy(std::vector<std::unique_ptr<soak::loopback_proxy>>& list,
                   unsigned port, unsigned destination)
    {
        list.push_back(std::make_unique<soak::loopback_proxy>(
            context_, static_cast<unsigned short>(port),
            static_cast<unsigned short>(destination)));
    }

    void start_processes()
    {
        const auto configuration = FLAGS_folder + "/fleet.ini";
        std::ofstream(configuration) << configuration_text();
        emulator_ = std::make_unique<soak::child_process>(
            std::vector<std::string>{
                FLAGS_programs + "/platform-emulator",
                "--configuration=" + configuration,
                "--base_port=" + std::to_string(FLAGS_base_port),
                "--advertised_offset=" + std::to_string(proxy_offset),
                "--first_vm_port=" + std::to_string(first_vm_port_),
                "--vms=" + std::to_string(FLAGS_vms),
                "--folder=" + FLAGS_folder, "--work_ms=2"},
            FLAGS_folder + "/emulator.log");
        for (unsigned i = 0; i < groups * servers; ++i)
            add_proxy(server_links_, FLAGS_base_port + 3 + i + proxy_offset,
                      FLAGS_base_port + 3 + i);
        for (unsigned vm = 0; vm < FLAGS_vms; ++vm)
        {
            add_proxy(store_links_, store_proxy_port(vm), FLAGS_base_port);
            add_proxy(peer_links_, peer_proxy_port(vm), vm_port(vm) + 2);
        }
    }

    // The emulator writes the settings; the store's address and the one for
    // peers are put behind proxies.
    bool prepare_settings(unsigned vm)
    {
        const auto base = FLAGS_folder + "/vm-" + std::to_string(vm);
        std::ifstream in(base + ".toml");
        std::string text((std::istreambuf_iterator<char>(in)), {});
        const auto store = "\"" + loopback(FLAGS_base_port) + "\"";
        const auto at = text.find(store);
        if (at == std::string::npos)
            return false;
        text.replace(at, store.size(),
                     "\"" + loopback(store_proxy_port(vm)) + "\"");
        std::ofstream(base + "-soak.toml") << text;
        std::ofstream(base + "-soak.ini")
            << "[peers]\nadvertise = " << loopback(peer_proxy_port(vm)) << "\n";
        return true;
    }

    asio::awaitable<void> play()
    {
        co_await sleep_for(milliseconds(300));
        for (unsigned vm = 0; vm < FLAGS_vms; ++vm)
        {
            const auto base = FLAGS_folder + "/vm-" + std::to_string(vm);
            if (!prepare_settings(vm))
            {
                problems_.emplace_back("the emulator did not start");
                co_return;
            }
            vms_.push_back(std::make_unique<soak::child_process>(
                std::vector<std::string>{FLAGS_programs + "/oleander-vm",
                                         "--settings=" + base + "-soak.toml",
                                         "--own_settings=" + base +
                                             "-soak.ini"},
                base + ".log"));
        }
        start_callers();
        const auto started = co_await wait_for_service(start_limit);
        if (!started)
            problems_.emplace_back("the fleet did not start to serve");
        const auto end = current_time() + seconds(FLAGS_seconds);
        while (current_time() < end)
        {
            inject_fault();
            co_await sleep_for(milliseconds(200 + below(1200)));
        }
        co_await heal();
        const auto recovered = co_await wait_for_service(recovery_limit);
        if (!recovered)
            problems_.emplace_back("the fleet does not serve after the faults");
        co_await sleep_for(seconds(1));
        stopping_ = true;
        co_await sleep_for(seconds(4));
        co_await check();
    }

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
            callers_.back()->switch_to_vm(endpoint(vm_port(i % FLAGS_vms)));
            asio::co_spawn(context_, call(*callers_.back()), asio::detached);
        }
    }

    asio::awaitable<void> call(verifying_caller& caller)
    {
        while (!stopping_)
        {
            caller_outcome outcome;
            const auto choice = below(10);
            if (choice < 4)
                outcome = co_await caller.write();
            else if (choice < 6)
                outcome = co_await caller.write_in_transaction();
            else
                outcome = co_await caller.read();
            const bool is_good =
                outcome.failure == session_error::none && !outcome.lost_session;
            ++(is_good ? good_ : bad_);
            if (is_good)
                good_databases_.insert(caller.assigned_route().database);
            if (outcome.lost_session)
                caller.switch_to_vm(
                    endpoint(vm_port(static_cast<unsigned>(below(FLAGS_vms)))));
            co_await sleep_for(milliseconds(
                below(static_cast<std::uint64_t>(longest_pause.count()))));
        }
    }

    // Whether requests of every database are served within the limit.
    asio::awaitable<bool> wait_for_service(duration limit)
    {
        const auto deadline = current_time() + limit;
        good_databases_.clear();
        while (current_time() < deadline &&
               good_databases_.size() < databases.size())
            co_await sleep_for(milliseconds(50));
        co_return good_databases_.size() == databases.size();
    }

    using fault = void (soak_run::*)();

    void inject_fault()
    {
        constexpr std::array<fault, 7> faults{
            &soak_run::pause_vm,   &soak_run::kill_vm,   &soak_run::stop_vm,
            &soak_run::reload_vm,  &soak_run::harm_link, &soak_run::harm_store,
            &soak_run::harm_server};
        (this->*faults[below(faults.size())])();
    }

    unsigned any_vm() { return static_cast<unsigned>(below(vms_.size())); }

    void later(duration delay, std::function<void()> work)
    {
        const auto wait =
            [](duration time,
               std::function<void()> then) -> asio::awaitable<void>
        {
            co_await sleep_for(time);
            then();
        };
        asio::co_spawn(context_, wait(delay, std::move(work)), asio::detached);
    }

    void pause_vm()
    {
        const auto vm = any_vm();
        const auto time = milliseconds(50 + below(3000));
        note("vm-" + std::to_string(vm) + " stands still for " +
             std::to_string(time.count()) + " ms");
        vms_[vm]->signal(SIGSTOP);
        later(time, [this, vm] { vms_[vm]->signal(SIGCONT); });
    }

    void end_vm(unsigned vm, int signal)
    {
        if (!vms_[vm]->is_running())
            return;
        vms_[vm]->signal(SIGCONT);
        vms_[vm]->signal(signal);
        restart_when_ended(vm);
    }

    void restart_when_ended(unsigned vm)
    {
        later(milliseconds(100 + below(1000)),
              [this, vm]
              {
                  if (vms_[vm]->is_running() && !vms_[vm]->has_ended())
                      return restart_when_ended(vm);
                  vms_[vm]->start();
              });
    }

    void kill_vm()
    {
        const auto vm = any_vm();
        note("vm-" + std::to_string(vm) + " is killed");
        end_vm(vm, SIGKILL);
    }

    void stop_vm()
    {
        const auto vm = any_vm();
        note("vm-" + std::to_string(vm) + " is told to stop");
        end_vm(vm, SIGTERM);
    }

    void reload_vm() { vms_[any_vm()]->signal(SIGHUP); }

    void harm_link()
    {
        auto& links = below(3) == 0   ? store_links_
                      : below(2) == 0 ? peer_links_
                                      : server_links_;
        auto& link = *links[below(links.size())];
        const char* kind = &links == &store_links_  ? "store"
                           : &links == &peer_links_ ? "peer"
                                                    : "server";
        soak::link_harm harm;
        const auto choice = below(5);
        if (choice == 0)
            harm.delay = milliseconds(20 + below(400));
        else if (choice == 1)
            harm.drops_requests = true;
        else if (choice == 2)
            harm.drops_answers = true;
        else if (choice == 3)
            harm.drops_requests = harm.drops_answers = harm.refuses = true;
        note(std::string("a ") + kind + " link is harmed, kind " +
             std::to_string(choice));
        if (choice == 4)
            return link.reset_connections();
        link.set_harm(harm);
        later(milliseconds(100 + below(3500)), [&link] { link.set_harm({}); });
    }

    void tell_emulator(const std::string& line)
    {
        note(line);
        asio::co_spawn(context_, send_fault(line), asio::detached);
    }

    asio::awaitable<void> send_fault(std::string line)
    {
        http_client control(context_.get_executor(),
                            loopback(FLAGS_base_port + 2));
        http_request request;
        request.path = "/fault";
        request.body = line;
        const auto answer =
            co_await control.exchange(std::move(request), seconds(3));
        if (!succeeded(answer) || value_of(answer).status != 200)
            problems_.push_back("fault not injected: " + line);
    }

    void harm_store()
    {
        struct store_fault
        {
            const char* begin;
            const char* end;
        };
        constexpr std::array faults{
            store_fault{"store-away", "store-back"},
            store_fault{"store-slow 150", "store-slow 0"},
            store_fault{"store-loses 20", "store-loses 0"},
            store_fault{"promotions-lost", "promotions-answered"},
            store_fault{"store-compacts", ""}};
        const auto& chosen = faults[below(faults.size())];
        tell_emulator(chosen.begin);
        if (*chosen.end != 0)
            later(milliseconds(100 + below(3500)),
                  [this, end = chosen.end] { tell_emulator(end); });
    }

    // One server of a group at a time: a commit that only lost servers have is
    // outside the promise.
    void harm_server()
    {
        const auto group = below(groups);
        if (harmed_groups_.contains(group))
            return;
        struct server_fault
        {
            const char* begin;
            const char* end;
        };
        constexpr std::array faults{
            server_fault{"crash ", "restart "},
            server_fault{"silent ", "answering "},
            server_fault{"deaf ", "hearing "},
        };
        const auto& chosen = faults[below(faults.size())];
        const auto id =
            "i-" + std::to_string(group) + "-" + std::to_string(below(servers));
        harmed_groups_.insert(group);
        tell_emulator(chosen.begin + id);
        later(milliseconds(200 + below(4000)),
              [this, id, end = chosen.end] { tell_emulator(end + id); });
        // The group settles before its next fault.
        later(milliseconds(9000),
              [this, group] { harmed_groups_.erase(group); });
    }

    asio::awaitable<void> heal()
    {
        // What was planned to end, ends within five seconds.
        co_await sleep_for(seconds(5));
        for (auto* links : {&store_links_, &peer_links_, &server_links_})
            for (auto& link : *links)
                link->set_harm({});
        for (auto& vm : vms_)
        {
            vm->signal(SIGCONT);
            if (!vm->is_running())
                vm->start();
        }
        note("all is whole");
    }

    asio::awaitable<void> check()
    {
        std::uint64_t acknowledged = 0;
        for (unsigned g = 0; g < groups; ++g)
        {
            http_request request;
            request.method = "GET";
            request.path = "/log/group-" + std::to_string(g);
            const auto answer =
                co_await control_.exchange(std::move(request), seconds(3));
            if (!succeeded(answer))
            {
                problems_.emplace_back("the emulator does not answer");
                co_return;
            }
            for (const auto& caller : callers_)
            {
                if (caller->assigned_route().group !=
                    "group-" + std::to_string(g))
                    continue;
                acknowledged += caller->history().acknowledged_at.size();
                for (const auto& line : caller->violations())
                    problems_.push_back(line);
                for (const auto& line :
                     find_log_violations(*caller, value_of(answer).body))
                    problems_.push_back(line);
            }
        }
        note(std::to_string(good_) + " requests served, " +
             std::to_string(bad_) + " not, " + std::to_string(acknowledged) +
             " writes acknowledged");
    }

    asio::io_context context_{1};
    std::unique_ptr<session_codec> codec_ = platform::make_session_codec();
    std::mt19937_64 random_;
    unsigned first_vm_port_;
    http_client control_;
    std::unique_ptr<soak::child_process> emulator_;
    std::vector<std::unique_ptr<soak::loopback_proxy>> server_links_;
    std::vector<std::unique_ptr<soak::loopback_proxy>> store_links_;
    std::vector<std::unique_ptr<soak::loopback_proxy>> peer_links_;
    std::vector<std::unique_ptr<soak::child_process>> vms_;
    std::vector<std::unique_ptr<verifying_caller>> callers_;
    std::set<std::uint64_t> harmed_groups_;
    std::set<std::string> good_databases_;
    std::vector<std::string> problems_;
    std::uint64_t good_ = 0;
    std::uint64_t bad_ = 0;
    bool stopping_ = false;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("oleander-soak --programs FOLDER --folder FOLDER "
                            "[--seed N] [--seconds N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::filesystem::create_directories(FLAGS_folder);
    soak_run run;
    const auto problems = run.run();
    for (const auto& line : problems)
        std::cout << "seed " << FLAGS_seed << ": BROKEN " << line << "\n";
    if (problems.empty())
        std::cout << "seed " << FLAGS_seed << ": whole\n";
    return problems.empty() ? 0 : 1;
}
