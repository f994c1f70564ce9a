#include <oleandergrade/process/log.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace oleandergrade
{
namespace logging = boost::log;
namespace trivial = boost::log::trivial;

namespace
{

trivial::severity_level to_severity(log_level level)
{
    switch (level)
    {
    case log_level::trace:
        return trivial::trace;
    case log_level::debug:
        return trivial::debug;
    case log_level::info:
        return trivial::info;
    case log_level::warning:
        return trivial::warning;
    case log_level::error:
        return trivial::error;
    }
    return trivial::info;
}

} // namespace

void start_logging(const std::string& node, const std::string& level)
{
    trivial::severity_level lowest = trivial::info;
    trivial::from_string(level.data(), level.size(), lowest);
    logging::add_common_attributes();
    logging::add_console_log(std::clog,
                             logging::keywords::format =
                                 "%TimeStamp% " + node +
                                 " %Severity% %Message%",
                             logging::keywords::auto_flush = true);
    logging::core::get()->set_filter(trivial::severity >= lowest);
}

void log(log_level level, const char* part, const std::string& sentence)
{
    thread_local logging::sources::severity_logger<trivial::severity_level>
        logger;
    BOOST_LOG_SEV(logger, to_severity(level))
        << '[' << part << "] " << sentence;
}

} // namespace oleandergrade
