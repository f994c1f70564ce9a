/// The daemon that runs on every entry VM.
#include <oleandergrade/process/daemon.hpp>
#include <oleandergrade/process/log.hpp>

#include <boost/system/system_error.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "INI file with the settings of this VM");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

constexpr int usage_error = 2;
constexpr int start_error = 3;

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("oleandergraded --settings FILE");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_settings);
    if (!file)
    {
        std::cerr << "cannot read the settings file '" << FLAGS_settings
                  << "'; give it by --settings FILE\n";
        return usage_error;
    }
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<oleandergrade::ini_problem> problems;
    const auto settings =
        oleandergrade::parse_settings(FLAGS_settings, text.str(), problems);
    for (const auto& problem : problems)
        std::cerr << to_string(problem) << "\n";
    if (!problems.empty())
        return usage_error;
    if (FLAGS_check)
        return 0;
    oleandergrade::start_logging(settings.node, settings.log_level);
    try
    {
        oleandergrade::daemon daemon(settings);
        daemon.run();
    }
    catch (const boost::system::system_error& failure)
    {
        std::cerr << "cannot start: " << failure.what() << "\n";
        return start_error;
    }
    return 0;
}
