/// The operators' tool.
#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/version/configuration.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(node, "127.0.0.1:7401", "admin address of a daemon, IP:PORT");
DEFINE_bool(json, false, "print JSON for programs");
DEFINE_uint64(expect, 0,
              "apply only if this version is in force; 0 takes the present");
DEFINE_uint32(timeout_ms, 10000, "how long to wait for the daemon");

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace oleandergrade;

/// Exit codes, also described in docs/operators/oleanderctl.md.
enum exit_code
{
    exit_done = 0,
    exit_refused = 1,
    exit_usage = 2,
    exit_unreachable = 3,
    exit_conflict = 4
};

constexpr auto usage = R"(oleanderctl [--node IP:PORT] [--json] COMMAND

commands:
  check FILE            check a configuration file without a daemon
  apply FILE            put a configuration in force, whole or not at all
  show                  print the configuration in force
  diff FILE             compare a file with the configuration in force
  key issue ACCOUNT     make a key; it is printed once
  key withdraw ID       withdraw a key
  status                version, freshness, ownership and contacts of a node
  dump                  all state of a node
  stats                 counters and latencies of a node
  explain REQUEST       what the fleet did with one request, and why
  vms ADDRESS...        state of oleander-vm daemons, by their metrics addresses

examples:
  oleanderctl check examples/plant/fleet.ini
  oleanderctl --node 127.0.0.1:7401 apply examples/plant/fleet.ini
  oleanderctl --node 127.0.0.1:7401 --json status

exit codes:
  0 done, 1 refused, 2 wrong usage or file, 3 no answer, 4 conflict)";

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Sends one request to the daemon and waits for the answer.
result<http_response> ask(const std::string& path, const json::object& body)
{
    asio::io_context context;
    result<http_response> outcome;
    const auto exchange = [&]() -> asio::awaitable<void>
    {
        http_client client(context.get_executor(), FLAGS_node);
        http_request request;
        request.path = path;
        request.body = json::serialize(body);
        outcome = co_await client.exchange(std::move(request),
                                           milliseconds(FLAGS_timeout_ms));
    };
    asio::co_spawn(context, exchange(),
                   [](const std::exception_ptr& failure)
                   {
                       if (failure)
                           std::rethrow_exception(failure);
                   });
    context.run();
    return outcome;
}

int report_failure(const http_response& response)
{
    const auto parsed = parse_json_object(response.body);
    const auto body = succeeded(parsed) ? value_of(parsed) : json::object{};
    if (FLAGS_json)
    {
        std::cout << response.body << "\n";
    }
    else if (const auto* problems = body.if_contains("problems"))
    {
        for (const auto& line : problems->as_array())
            std::cerr << std::string(line.as_string()) << "\n";
    }
    else
    {
        std::cerr << text_field(body, "step") << ": "
                  << text_field(body, "error") << "\n";
    }
    if (response.status == 409)
        return exit_conflict;
    return response.status == 400 ? exit_usage : exit_refused;
}

using printer = void (*)(const json::object&);

int run_remote(const std::string& path, const json::object& body, printer print)
{
    const auto outcome = ask(path, body);
    if (!succeeded(outcome))
    {
        std::cerr << to_string(error_of(outcome)) << "\n";
        return exit_unreachable;
    }
    const auto& response = value_of(outcome);
    if (response.status != 200)
        return report_failure(response);
    if (FLAGS_json)
    {
        std::cout << response.body << "\n";
        return exit_done;
    }
    const auto parsed = parse_json_object(response.body);
    if (succeeded(parsed))
        print(value_of(parsed));
    return exit_done;
}

void print_indented(const json::value& value, const std::string& indent)
{
    if (value.is_object())
    {
        for (const auto& [key, item] : value.get_object())
        {
            const bool nested = item.is_object() || item.is_array();
            std::cout << indent << std::string(key) << ":";
            if (nested)
                std::cout << "\n";
            print_indented(item, nested ? indent + "  " : " ");
        }
        return;
    }
    if (value.is_array())
    {
        for (const auto& item : value.get_array())
        {
            std::cout << indent << "-\n";
            print_indented(item, indent + "  ");
        }
        return;
    }
    if (value.is_string())
        std::cout << indent << std::string(value.get_string()) << "\n";
    else
        std::cout << indent << json::serialize(value) << "\n";
}

void print_all(const json::object& body)
{
    print_indented(json::value(body), "");
}

void print_applied(const json::object& body)
{
    std::cout << "version " << number_field(body, "version")
              << " is in force\n";
}

void print_key(const json::object& body)
{
    std::cout << "key: " << text_field(body, "key")
              << "\nidentifier: " << text_field(body, "id")
              << "\nThe key is not kept and cannot be shown again.\n";
}

void print_configuration(const json::object& body)
{
    std::cout << "; version " << number_field(body, "version") << "\n"
              << text_field(body, "text");
    for (const auto& item : body.at("keys").as_array())
    {
        const auto& key = item.as_object();
        std::cout << "; key " << text_field(key, "id") << " of "
                  << text_field(key, "account")
                  << (flag_field(key, "withdrawn") ? " (withdrawn)" : "")
                  << "\n";
    }
}

void print_explanation(const json::object& body)
{
    bool found = false;
    for (const auto& item : body.at("nodes").as_array())
    {
        const auto& node = item.as_object();
        for (const auto& event : node.at("events").as_array())
        {
            found = true;
            const auto& fields = event.as_object();
            std::cout << text_field(node, "node") << " +"
                      << number_field(fields, "at_us")
                      << " us: " << text_field(fields, "event") << "\n";
        }
    }
    if (!found)
        std::cout << "no VM remembers this request\n";
}

/// Reads and checks a file; prints its problems.
std::optional<configuration> load_configuration(const std::string& path)
{
    const auto text = read_file(path);
    if (!text)
    {
        std::cerr << "cannot read '" << path << "'\n";
        return std::nullopt;
    }
    std::vector<ini_problem> problems;
    auto parsed = parse_configuration(path, *text, problems);
    for (const auto& problem : problems)
        std::cerr << to_string(problem) << "\n";
    if (!problems.empty())
        return std::nullopt;
    return parsed;
}

int run_check(const std::string& path)
{
    const auto parsed = load_configuration(path);
    if (!parsed)
        return exit_usage;
    std::cout << path << ": " << parsed->accounts.size() << " accounts, "
              << parsed->databases.size() << " databases, "
              << parsed->targets.size() << " targets\n";
    return exit_done;
}

int run_apply(const std::string& path)
{
    const auto parsed = load_configuration(path);
    if (!parsed)
        return exit_usage;
    json::object body{{"file", path}, {"text", parsed->text}};
    if (FLAGS_expect > 0)
        body["expected"] = FLAGS_expect;
    return run_remote("/admin/apply", body, print_applied);
}

int run_diff(const std::string& path)
{
    auto next = load_configuration(path);
    if (!next)
        return exit_usage;
    const auto outcome = ask("/admin/configuration", {});
    if (!succeeded(outcome))
    {
        std::cerr << to_string(error_of(outcome)) << "\n";
        return exit_unreachable;
    }
    const auto parsed = parse_json_object(value_of(outcome).body);
    if (!succeeded(parsed))
        return exit_refused;
    std::vector<ini_problem> problems;
    const auto text = text_field(value_of(parsed), "text");
    const auto current = text.empty()
                             ? configuration{}
                             : parse_configuration("in force", text, problems);
    for (const auto& line : describe_changes(current, *next))
        std::cout << line << "\n";
    return exit_done;
}

asio::awaitable<result<http_response>> fetch_state(const std::string& address)
{
    const auto executor = co_await asio::this_coro::executor;
    http_client connection(executor, address);
    http_request request;
    request.method = "GET";
    request.path = "/state";
    auto outcome = co_await connection.exchange(std::move(request),
                                                milliseconds(FLAGS_timeout_ms));
    co_return outcome;
}

void print_vm(const std::string& address, const json::object& state)
{
    std::cout << text_field(state, "vm") << " (" << address
              << "): " << (flag_field(state, "ready") ? "ready" : "not ready")
              << ", configuration " << number_field(state, "configuration")
              << ", token " << number_field(state, "token") << " of "
              << text_field(state, "holder") << ", "
              << number_field(state, "sessions") << " sessions\n";
    const auto* primaries = state.if_contains("primaries");
    if (primaries == nullptr || !primaries->is_array())
        return;
    for (const auto& entry : primaries->get_array())
    {
        const auto& record = entry.as_object();
        std::cout << "  " << text_field(record, "group") << ": term "
                  << number_field(record, "term") << " at "
                  << text_field(record, "target")
                  << (flag_field(record, "open") ? "" : ", closed") << "\n";
    }
}

// Asks each daemon in turn; one that does not answer does not hide the others.
int run_vms(const std::vector<std::string>& addresses)
{
    int code = exit_done;
    for (const auto& address : addresses)
    {
        asio::io_context context;
        result<http_response> outcome =
            error{error_kind::unreachable, "vms", address, "no answer"};
        asio::co_spawn(
            context, fetch_state(address),
            [&](const std::exception_ptr&, result<http_response> reply)
            { outcome = std::move(reply); });
        context.run();
        if (!succeeded(outcome))
        {
            std::cerr << to_string(error_of(outcome)) << "\n";
            code = exit_unreachable;
            continue;
        }
        const auto& body = value_of(outcome).body;
        const auto state = parse_json_object(body);
        if (!succeeded(state))
        {
            std::cerr << address << ": the answer is not a state\n";
            code = exit_refused;
            continue;
        }
        if (FLAGS_json)
            std::cout << body << "\n";
        else
            print_vm(address, value_of(state));
    }
    return code;
}

int run_command(const std::vector<std::string>& words)
{
    const auto& command = words.front();
    const auto count = words.size();
    if (command == "check" && count == 2)
        return run_check(words[1]);
    if (command == "apply" && count == 2)
        return run_apply(words[1]);
    if (command == "diff" && count == 2)
        return run_diff(words[1]);
    if (command == "show" && count == 1)
        return run_remote("/admin/configuration", {}, print_configuration);
    if (command == "status" && count == 1)
        return run_remote("/admin/status", {}, print_all);
    if (command == "dump" && count == 1)
        return run_remote("/admin/dump", {}, print_all);
    if (command == "stats" && count == 1)
        return run_remote("/admin/stats", {}, print_all);
    if (command == "explain" && count == 2)
        return run_remote("/admin/explain", {{"request", words[1]}},
                          print_explanation);
    if (command == "key" && count == 3 && words[1] == "issue")
        return run_remote("/admin/key/issue", {{"account", words[2]}},
                          print_key);
    if (command == "key" && count == 3 && words[1] == "withdraw")
        return run_remote("/admin/key/withdraw", {{"id", words[2]}},
                          print_applied);
    if (command == "vms" && count >= 2)
        return run_vms({words.begin() + 1, words.end()});
    std::cerr << "unknown command or wrong number of words\n\n"
              << usage << "\n";
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty())
    {
        std::cerr << usage << "\n";
        return exit_usage;
    }
    return run_command(words);
}
