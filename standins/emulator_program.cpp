/// Runs the platform emulator as a program of its own, for demonstrations, load
/// tests and soak tests. With --folder it also writes the settings files for
/// the VMs that are to use the emulated platform.
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

DEFINE_string(configuration, "",
              "INI file with the database groups, routes and client accounts");
DEFINE_uint32(base_port, 22000,
              "port of the store; the next ports are those of the promotion "
              "interface, the fault injection and the database servers");
DEFINE_uint32(advertised_offset, 0,
              "added to the port that each database server registers");
DEFINE_string(
    server_domains, "a",
    "failure domains of the database servers, separated by commas and "
    "assigned to the servers of each group in turn");
DEFINE_uint32(servers, 3, "number of database servers in each group");
DEFINE_uint32(
    slots, 3,
    "number of statements that a database server runs at the same time");
DEFINE_uint32(work_ms, 8, "run time of a statement in milliseconds");
DEFINE_uint32(lag_ms, 8,
              "time until a replica applies a commit, in milliseconds");
DEFINE_uint32(promotion_ms, 300,
              "time until a promotion takes effect, in milliseconds");
DEFINE_string(folder, "",
              "folder for the settings files of the VMs; none if empty");
DEFINE_uint32(vms, 6, "number of VMs to write settings files for");
DEFINE_uint32(first_vm_port, 22100,
              "first port of the VMs; each VM has a range of ten ports");
DEFINE_string(
    domains, "a,b,c",
    "failure domains, separated by commas and assigned to the VMs in turn");

namespace
{

constexpr int exit_usage_error = 2;
constexpr int exit_start_error = 3;
constexpr unsigned ports_per_vm = 10;

std::string loopback_address(unsigned port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Returns the settings of one VM in the platform's format.
std::string vm_settings_text(unsigned vm, const std::string& domain)
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

/// Writes vm-N.toml with the platform's settings and vm-N.ini with the settings
/// of the proxy for each VM.
void write_vm_settings()
{
    std::vector<std::string> domains;
    boost::algorithm::split(domains, FLAGS_domains,
                            [](char c) { return c == ','; });
    for (unsigned vm = 0; vm < FLAGS_vms; ++vm)
    {
        const auto path_without_extension =
            FLAGS_folder + "/vm-" + std::to_string(vm);
        std::ofstream(path_without_extension + ".toml")
            << vm_settings_text(vm, domains[vm % domains.size()]);
        std::ofstream(path_without_extension + ".ini")
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
        std::cerr << "cannot read the configuration file '"
                  << FLAGS_configuration << "'\n";
        return exit_usage_error;
    }
    if (const auto* problems =
            std::get_if<std::vector<oleandergrade::ini_problem>>(&parsed))
    {
        for (const auto& problem : *problems)
            std::cerr << to_string(problem) << "\n";
        return exit_usage_error;
    }
    const auto& table = std::get<oleandergrade::route_table>(parsed);
    standins::emulator_settings settings;
    settings.store_port = static_cast<unsigned short>(FLAGS_base_port);
    settings.promotion_port = static_cast<unsigned short>(FLAGS_base_port + 1);
    settings.first_server_port =
        static_cast<unsigned short>(FLAGS_base_port + 3);
    settings.advertised_port_offset =
        static_cast<unsigned short>(FLAGS_advertised_offset);
    settings.servers_per_group = FLAGS_servers;
    boost::algorithm::split(settings.server_domains, FLAGS_server_domains,
                            [](char c) { return c == ','; });
    settings.slots_per_server = FLAGS_slots;
    settings.statement_duration = oleandergrade::milliseconds(FLAGS_work_ms);
    settings.replication_lag = oleandergrade::milliseconds(FLAGS_lag_ms);
    settings.promotion_delay = oleandergrade::milliseconds(FLAGS_promotion_ms);
    for (const auto& [name, group] : table.groups)
    {
        settings.group_names.push_back(name);
        settings.max_connections_per_server = group.max_connections_per_target;
    }
    std::sort(settings.group_names.begin(), settings.group_names.end());
    if (!FLAGS_folder.empty())
        write_vm_settings();
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
        std::cerr << "cannot start the platform emulator: " << failure.what()
                  << "\n";
        return exit_start_error;
    }
    return 0;
}
