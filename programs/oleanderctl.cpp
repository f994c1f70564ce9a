/// The operators' command-line tool.
#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/operations/request_explanation.hpp>
#include <oleandergrade/process/own_settings.hpp>
#include <oleandergrade/version/fleet_configuration.hpp>

#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <sstream>

DEFINE_string(vm, "",
              "metrics addresses of the VMs to query, separated by commas");
DEFINE_bool(json, false, "print JSON for programs");
DEFINE_uint32(window_ms, 2000,
              "explain: time span before and after the request's lines, in ms");

namespace
{

using namespace oleandergrade;
namespace json = boost::json;

enum exit_code
{
    exit_success = 0,
    exit_problems_found = 1,
    exit_usage_error = 2,
    exit_unreachable = 3
};

constexpr auto request_timeout = seconds(3);
constexpr const char* usage_text =
    "oleanderctl COMMAND [ARGUMENTS]\n"
    "\n"
    "  status --vm ADDRESS,...    one line per VM: readiness, leader, grant,\n"
    "                             configuration, members, sessions, "
    "primaries,\n"
    "                             and what remains in evacuated domains\n"
    "  dump --vm ADDRESS,...      the complete state of each VM as JSON\n"
    "  metrics --vm ADDRESS,...   counters and histograms of each VM\n"
    "  explain REQUEST [LOG...]   the log lines that explain the outcome of a\n"
    "                             request; reads standard input if no file\n"
    "                             is given\n"
    "  check FILE                 list all problems of a configuration\n"
    "  check-own FILE             list all problems of a VM's own settings\n"
    "  diff OLD NEW               list the changes between two configurations\n"
    "\n"
    "ADDRESS is a VM's metrics address, IP:PORT. --json prints JSON for\n"
    "programs. Exit codes: 0 success, 1 problems found or no line of the\n"
    "request found, 2 wrong usage or a file that cannot be read, 3 a VM did\n"
    "not answer.\n"
    "\n"
    "  oleanderctl status --vm 127.0.0.1:22103,127.0.0.1:22113\n"
    "  oleanderctl explain 26945bfd7be8788f vm-0.log vm-1.log\n"
    "  oleanderctl diff before.ini after.ini";

using arguments = std::vector<std::string>;

/// Returns the content of a file, or prints an error and returns no value.
std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        std::cerr << "cannot open file '" << path << "'\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Requests an HTTP path from each VM of --vm, one after the other, and calls
/// `show` with each response body. Returns the program's exit code.
int query_vms(const char* path,
              const std::function<void(const std::string& vm,
                                       const std::string& body)>& show)
{
    if (FLAGS_vm.empty())
    {
        std::cerr << "the flag --vm is missing; expected --vm IP:PORT,...\n";
        return exit_usage_error;
    }
    std::vector<std::string> addresses;
    boost::algorithm::split(addresses, FLAGS_vm,
                            [](char c) { return c == ','; });
    int code = exit_success;
    for (const auto& address : addresses)
    {
        boost::asio::io_context context;
        http_client client(context.get_executor(), address);
        http_request request;
        request.method = "GET";
        request.path = path;
        std::optional<result<http_response>> answer;
        boost::asio::co_spawn(
            context, client.exchange(request, request_timeout),
            [&](const std::exception_ptr&, result<http_response> outcome)
            { answer = std::move(outcome); });
        context.run();
        if (!answer || !succeeded(*answer))
        {
            std::cerr << address << ": "
                      << (answer ? to_string(error_of(*answer)) : "no answer")
                      << "\n";
            code = exit_unreachable;
            continue;
        }
        show(address, value_of(*answer).body);
    }
    return code;
}

/// Prints one line with the most important parts of a VM's state.
void show_status(const std::string& vm, const std::string& body)
{
    const auto parsed = parse_json_object(body);
    if (!succeeded(parsed))
    {
        std::cerr << vm << ": " << to_string(error_of(parsed)) << "\n";
        return;
    }
    const auto& state = value_of(parsed);
    std::size_t open = 0;
    std::size_t closed = 0;
    if (const auto* primaries = state.if_contains("primaries");
        primaries != nullptr && primaries->is_array())
        for (const auto& primary : primaries->as_array())
            ++(bool_field(primary.as_object(), "open") ? open : closed);
    const auto* grant = state.if_contains("grant_left_ms");
    std::cout << std::left << std::setw(16) << string_field(state, "vm")
              << (bool_field(state, "ready") ? "ready     " : "not ready ")
              << "leader " << string_field(state, "holder") << " token "
              << unsigned_field(state, "token") << " grant "
              << (grant == nullptr ? "?" : json::serialize(*grant))
              << " ms, configuration " << unsigned_field(state, "configuration")
              << ", members " << unsigned_field(state, "members")
              << ", protocol level " << unsigned_field(state, "protocol_level")
              << ", sessions " << unsigned_field(state, "sessions")
              << ", primaries " << open << " open " << closed << " closed";
    if (unsigned_field(state, "holder_table") > 0)
        std::cout << ", holds " << unsigned_field(state, "slices_held")
                  << " slices, statements forwarded "
                  << unsigned_field(state, "forwarded") << " served for others "
                  << unsigned_field(state, "served");
    if (const auto* evacuated = state.if_contains("evacuated");
        evacuated != nullptr && evacuated->is_array())
        for (const auto& entry : evacuated->as_array())
            std::cout << ", evacuated "
                      << string_field(entry.as_object(), "domain") << " ("
                      << unsigned_field(entry.as_object(), "primaries")
                      << " primaries, "
                      << unsigned_field(entry.as_object(), "statements")
                      << " statements left)";
    std::cout << "\n";
}

int run_status(const arguments&)
{
    if (!FLAGS_json)
        return query_vms("/state", show_status);
    return query_vms("/state", [](const std::string&, const std::string& body)
                     { std::cout << body << "\n"; });
}

int run_dump(const arguments&)
{
    return query_vms("/state", [](const std::string&, const std::string& body)
                     { std::cout << body << "\n"; });
}

int run_metrics(const arguments&)
{
    return query_vms("/metrics",
                     [](const std::string& vm, const std::string& body) {
                         std::cout << "# " << vm << "\n" << body;
                     });
}

/// Adds the log lines of a stream to `lines`; other lines are skipped.
void read_lines(std::istream& in, std::vector<log_line>& lines)
{
    std::string text;
    while (std::getline(in, text))
        if (auto line = parse_log_line(text))
            lines.push_back(std::move(*line));
}

/// Prints a log line, as JSON if --json is set.
void show_line(const log_line& line)
{
    if (FLAGS_json)
    {
        json::object object;
        for (const auto& [name, value] : line.fields)
            object[name] = value;
        std::cout << json::serialize(object) << "\n";
        return;
    }
    std::cout << "  " << line.time_ms() << " " << line.value_of_field("vm")
              << " " << line.value_of_field("part") << ": "
              << line.value_of_field("event");
    for (const auto& [name, value] : line.fields)
        if (name != "at_ms" && name != "vm" && name != "part" &&
            name != "event" && name != "level")
            std::cout << " " << name << "=" << value;
    std::cout << "\n";
}

int run_explain(const arguments& command_arguments)
{
    if (command_arguments.empty())
    {
        std::cerr << "the argument REQUEST is missing\n";
        return exit_usage_error;
    }
    std::vector<log_line> lines;
    for (std::size_t i = 1; i < command_arguments.size(); ++i)
    {
        std::ifstream file(command_arguments[i]);
        if (!file)
        {
            std::cerr << "cannot open log file '" << command_arguments[i]
                      << "'\n";
            return exit_usage_error;
        }
        read_lines(file, lines);
    }
    if (command_arguments.size() == 1)
        read_lines(std::cin, lines);
    const auto found =
        explain_request(lines, command_arguments[0], FLAGS_window_ms);
    if (found.request_lines.empty())
    {
        std::cerr
            << "no line with request " << command_arguments[0] << " in "
            << lines.size()
            << " log lines: the request succeeded, or its line was dropped "
               "by the log limit (left_out= in later lines)\n";
        return exit_problems_found;
    }
    for (const auto& line : found.request_lines)
    {
        show_line(line);
        if (const auto advice = advice_for(line);
            !advice.empty() && !FLAGS_json)
            std::cout << "  " << advice << "\n";
    }
    if (!FLAGS_json)
        std::cout << "other events of the same time:\n";
    for (const auto& line : found.context_lines)
        show_line(line);
    return exit_success;
}

/// Prints the problems of a file, as JSON if --json is set.
void show_problems(const std::vector<ini_problem>& problems)
{
    for (const auto& problem : problems)
    {
        if (!FLAGS_json)
        {
            std::cerr << to_string(problem) << "\n";
            continue;
        }
        std::cout << json::serialize(json::object{{"file", problem.file},
                                                  {"line", problem.line},
                                                  {"key", problem.key},
                                                  {"message", problem.message}})
                  << "\n";
    }
}

/// Reads a configuration file. Sets `code` to the exit code, and prints the
/// problems and returns no value if the file cannot be used.
std::optional<route_table> read_configuration(const std::string& path,
                                              int& code)
{
    const auto text = read_file(path);
    code = exit_usage_error;
    if (!text)
        return std::nullopt;
    auto parsed = parse_fleet_configuration(path, *text);
    if (auto* table = std::get_if<route_table>(&parsed))
    {
        code = exit_success;
        return std::move(*table);
    }
    show_problems(std::get<std::vector<ini_problem>>(parsed));
    code = exit_problems_found;
    return std::nullopt;
}

int run_check(const arguments& command_arguments)
{
    if (command_arguments.size() != 1)
        return exit_usage_error;
    int code = exit_success;
    const auto table = read_configuration(command_arguments[0], code);
    if (table && !FLAGS_json)
        std::cout << command_arguments[0] << ": version " << table->version
                  << ", " << table->groups.size() << " groups, "
                  << table->routes.size() << " routes, "
                  << table->accounts.size() << " accounts\n";
    return code;
}

int run_check_own(const arguments& command_arguments)
{
    if (command_arguments.size() != 1)
        return exit_usage_error;
    const auto text = read_file(command_arguments[0]);
    if (!text)
        return exit_usage_error;
    const auto parsed = parse_own_settings(command_arguments[0], *text);
    const auto* problems = std::get_if<std::vector<ini_problem>>(&parsed);
    if (problems == nullptr)
        return exit_success;
    show_problems(*problems);
    return exit_problems_found;
}

int run_diff(const arguments& command_arguments)
{
    if (command_arguments.size() != 2)
        return exit_usage_error;
    int code = exit_success;
    const auto before = read_configuration(command_arguments[0], code);
    if (!before)
        return code;
    const auto after = read_configuration(command_arguments[1], code);
    if (!after)
        return code;
    for (const auto& line : list_configuration_changes(*before, *after))
        std::cout << (FLAGS_json ? json::serialize(json::string(line)) : line)
                  << "\n";
    return exit_success;
}

/// A command and the function that runs it and returns the exit code.
struct command
{
    const char* name;
    int (*run)(const arguments& command_arguments);
};

constexpr command commands[] = {
    {"status", run_status},   {"dump", run_dump},
    {"metrics", run_metrics}, {"explain", run_explain},
    {"check", run_check},     {"check-own", run_check_own},
    {"diff", run_diff}};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage_text);
    gflags::SetVersionString("0.3.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    const arguments command_line(argv + 1, argv + argc);
    std::string help;
    if (gflags::GetCommandLineOption("help", &help) && help == "true")
    {
        std::cout << usage_text << "\n";
        return exit_success;
    }
    for (const auto& candidate : commands)
    {
        if (command_line.empty() || command_line[0] != candidate.name)
            continue;
        const int code =
            candidate.run({command_line.begin() + 1, command_line.end()});
        if (code == exit_usage_error)
            std::cerr << "run oleanderctl --help for the usage\n";
        return code;
    }
    std::cerr << usage_text << "\n";
    return exit_usage_error;
}
