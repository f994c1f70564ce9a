/// The daemon on a VM of the users' platform: reads the platform's settings
/// file and runs until it is told to stop.
#include "../platform/platform_parts.hpp"
#include "../platform/settings_file.hpp"

#include <oleandergrade/process/event_log.hpp>
#include <oleandergrade/process/vm_daemon.hpp>

#include <boost/system/system_error.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "",
              "settings file of the platform; by default the one that the "
              "environment names");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

constexpr int usage_error = 2;
constexpr int start_error = 3;

std::string settings_path()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char* path = std::getenv(oleandergrade::platform::settings_variable);
    return path == nullptr ? "" : path;
}

oleandergrade::result<oleandergrade::vm_settings> read_settings()
{
    const auto path = settings_path();
    std::ifstream file(path);
    if (!file)
        return oleandergrade::error{oleandergrade::error_kind::invalid,
                                    "read settings", "",
                                    "cannot read '" + path + "'"};
    std::ostringstream text;
    text << file.rdbuf();
    return oleandergrade::platform::parse_settings_file(path, text.str());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("oleander-vm [--settings FILE] [--check]");
    gflags::SetVersionString("0.2.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = read_settings();
    if (!succeeded(settings))
    {
        std::cerr << to_string(error_of(settings)) << "\n";
        return usage_error;
    }
    if (FLAGS_check)
        return 0;
    oleandergrade::start_event_log(value_of(settings).name);
    try
    {
        boost::asio::io_context context(1);
        auto parts = oleandergrade::platform::make_platform_parts(
            context.get_executor(), value_of(settings));
        oleandergrade::vm_daemon daemon(context, value_of(settings), parts,
                                        read_settings);
        daemon.run();
    }
    catch (const boost::system::system_error& failure)
    {
        std::cerr << "cannot start: " << failure.what() << "\n";
        return start_error;
    }
    return 0;
}
