/// The daemon on a VM of the users' platform. Reads the platform's settings
/// file and runs until it receives a signal to stop.
#include "../platform/platform_parts.hpp"
#include "../platform/settings_file.hpp"

#include <oleandergrade/connection/protocol_level.hpp>
#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/vm_daemon.hpp>

#include <boost/system/system_error.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

DEFINE_string(settings, "",
              "the platform's settings file; by default the path in the "
              "environment variable OLEANDERGRADE_SETTINGS");
DEFINE_string(own_settings, "",
              "INI file with the product's own settings (optional)");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

constexpr int exit_usage_error = 2;
constexpr int exit_start_error = 3;

/// Returns the path of the settings file; empty if neither the flag nor the
/// environment variable is set.
std::string settings_path()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char* path =
        std::getenv(oleandergrade::platform::settings_path_variable);
    return path == nullptr ? "" : path;
}

oleandergrade::result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return oleandergrade::error{oleandergrade::error_kind::invalid,
                                    "read settings", "",
                                    "cannot open file '" + path + "'"};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Reads the platform's settings. The daemon calls this again on SIGHUP.
oleandergrade::result<oleandergrade::vm_settings> read_settings()
{
    const auto path = settings_path();
    const auto text = read_file(path);
    if (!succeeded(text))
        return error_of(text);
    return oleandergrade::platform::parse_settings_file(path, value_of(text));
}

/// Reads the product's own settings; the defaults if no file is given. The
/// error message lists all problems of the file.
oleandergrade::result<oleandergrade::own_settings> read_own_settings()
{
    if (FLAGS_own_settings.empty())
        return oleandergrade::own_settings{};
    const auto text = read_file(FLAGS_own_settings);
    if (!succeeded(text))
        return error_of(text);
    const auto parsed =
        oleandergrade::parse_own_settings(FLAGS_own_settings, value_of(text));
    if (const auto* settings =
            std::get_if<oleandergrade::own_settings>(&parsed))
        return *settings;
    std::string problems;
    for (const auto& problem :
         std::get<std::vector<oleandergrade::ini_problem>>(parsed))
        problems += to_string(problem) + "\n";
    return oleandergrade::error{oleandergrade::error_kind::invalid,
                                "read settings", "", problems};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "oleander-vm [--settings FILE] [--own_settings FILE] [--check]");
    gflags::SetVersionString("0.3.0, protocol level " +
                             std::to_string(oleandergrade::protocol_level));
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = read_settings();
    if (!succeeded(settings))
    {
        std::cerr << to_string(error_of(settings)) << "\n";
        return exit_usage_error;
    }
    const auto own = read_own_settings();
    if (!succeeded(own))
    {
        std::cerr << to_string(error_of(own)) << "\n";
        return exit_usage_error;
    }
    if (FLAGS_check)
        return 0;
    oleandergrade::start_event_log(value_of(settings).name,
                                   {value_of(own).statement_lines,
                                    value_of(own).event_lines,
                                    value_of(own).text_lines});
    try
    {
        boost::asio::io_context context(1);
        auto parts = oleandergrade::platform::make_platform_parts(
            context.get_executor(), value_of(settings));
        oleandergrade::vm_daemon daemon(context, value_of(settings),
                                        value_of(own), parts, read_settings);
        daemon.run();
    }
    catch (const boost::system::system_error& failure)
    {
        std::cerr << "cannot start: " << failure.what() << "\n";
        return exit_start_error;
    }
    return 0;
}
