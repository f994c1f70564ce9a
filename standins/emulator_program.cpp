/// The users' platform on loopback, for demonstrations, load and soaks: its
/// store, its promotions and replicated databases. Writes a settings file for
/// each VM that is to run before it.
#include "../platform/settings_file.hpp"
#include "emulator_control.hpp"

#include <oleandergrade/version/fleet_configuration.hpp>

#include <boost/algorithm/string/split.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(configuration, "", "INI file with groups, routes and accounts");
DEFINE_uint32(base_port, 22000,
              "the store's port; promotions, control and servers follow it");
DEFINE_uint32(advertised_offset, 0,
              "servers register ports this much above their own");
DEFINE_uint32(servers, 3, "servers in each group");
DEFINE_uint32(slots, 3, "statements that a server runs at the same time");
DEFINE_uint32(work_ms, 8, "time of a statement");
DEFINE_uint32(lag_ms, 8, "time until a replica shows a commit");
DEFINE_uint32(promotion_ms, 300, "time until a promotion takes effect");
DEFINE_string(folder, "", "where the settings files of the VMs are written");
DEFINE_uint32(vms, 6, "VMs that get a settings file");
DEFINE_uint32(first_vm_port, 22100, "each VM takes ten ports from here on");
DEFINE_string(domains, "a,b,c", "failure domains, which VMs take by turns");

namespace
{

constexpr int usage_error = 2;
constexpr int start_error = 3;
constexpr unsigned ports_per_vm = 10;

std::string loopback_address(unsigned port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// The settings of one VM in the platform's own format.
std::string settings_text(unsigned vm, const std::string& domain)
{
    const auto port = FLAGS_first_vm_port + vm * ports_per_vm;
    std::ostringstream out;
    out << "NodeName = \"vm-" << vm << "\"\nZone = \"" << domain
        << "\"\nIp = \"127.0.0.1\"\nInternalPorts = [" << port + 3
        << "]\nBootstrap = true\nSeeds = [";
    for (unsigned other = 0; other < std::min(FLAGS_vms, 3U); ++other)
        out << (other > 0 ? ", " : "") << '"'
            << loopback_address(FLAGS_first_vm_port + other * ports_per_vm + 2)
            << '"';
    out << "]\n[Listen]\nFront = \"" << loopback_address(port)
        << "\"\nReady = \"" << loopback_address(port + 1) << "\"\nControl = \""
        << loopback_address(port + 2) << "\"\n[platform]\nAddress = \""
        << loopback_address(FLAGS_base_port)
        << "\"\nTtlMinMs = 1000\n[CloudApi]\nAddress = \""
        << loopback_address(FLAGS_base_port + 1)
        << "\"\n[Bounds]\nConfigApplyMs = 5000\nDrainMs = 10000\nGraceS = 6\n"
           "QuotaWindowS = 5\nQuotaOvershoot = 0.1\nQuotaSlack = 20\n";
    return out.str();
}

void write_settings()
{
    std::vector<std::string> domains;
    boost::algorithm::split(domains, FLAGS_domains,
                            [](char c) { return c == ','; });
    for (unsigned vm = 0; vm < FLAGS_vms; ++vm)
    {
        const auto base = FLAGS_folder + "/vm-" + std::to_string(vm);
        std::ofstream(base + ".toml")
            << settings_text(vm, domains[vm % domains.size()]);
        std::ofstream(base + ".ini")
            << "[http]\nlisten = "
            << loopback_address(FLAGS_first_vm_port + vm * ports_per_vm + 4)
            << "\n";
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("platform-emulator --configuration FILE "
                            "[--folder FOLDER --vms N]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_configuration);
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed = oleandergrade::parse_fleet_configuration(
        FLAGS_configuration, text.str());
    if (!file)
    {
        std::cerr << "cannot read '" << FLAGS_configuration << "'\n";
        return usage_error;
    }
    if (const auto* problems =
            std::get_if<std::vector<oleandergrade::ini_problem>>(&parsed))
    {
        for (const auto& problem : *problems)
            std::cerr << to_string(problem) << "\n";
        return usage_error;
    }
    const auto& table = std::get<oleandergrade::route_table>(parsed);
    standins::emulator_settings settings;
    settings.store_port = static_cast<unsigned short>(FLAGS_base_port);
    settings.promotion_port = static_cast<unsigned short>(FLAGS_base_port + 1);
    settings.first_server_port =
        static_cast<unsigned short>(FLAGS_base_port + 3);
    settings.advertised_offset =
        static_cast<unsigned short>(FLAGS_advertised_offset);
    settings.servers_per_group = FLAGS_servers;
    settings.slots = FLAGS_slots;
    settings.work = oleandergrade::milliseconds(FLAGS_work_ms);
    settings.lag = oleandergrade::milliseconds(FLAGS_lag_ms);
    settings.promotion_time = oleandergrade::milliseconds(FLAGS_promotion_ms);
    for (const auto& [name, group] : table.groups)
    {
        settings.groups.push_back(name);
        settings.connections = group.max_connections_per_target;
    }
    std::sort(settings.groups.begin(), settings.groups.end());
    if (!FLAGS_folder.empty())
        write_settings();
    try
    {
        boost::asio::io_context context(1);
        standins::platform_emulator emulator(context, settings);
        emulator.put_configuration(table);
        standins::emulator_control control(
            context, static_cast<unsigned short>(FLAGS_base_port + 2),
            emulator);
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](const boost::system::error_code&, int)
                           { context.stop(); });
        context.run();
    }
    catch (const boost::system::system_error& failure)
    {
        std::cerr << "cannot start: " << failure.what() << "\n";
        return start_error;
    }
    return 0;
}
