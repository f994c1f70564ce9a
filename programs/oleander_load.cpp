/// Sends open-loop load to one fleet, or the same load to two fleets at once.
/// Checks the answers and injects faults at given times.
#include "../platform/platform_parts.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/endpoint.hpp>
#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/operations/load_report.hpp>
#include <oleandergrade/operations/verifying_caller.hpp>
#include <oleandergrade/version/fleet_configuration.hpp>

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(configuration, "",
              "INI file with the routes and client accounts");
DEFINE_string(fleet, "",
              "session addresses of the VMs (IP:PORT), separated by commas");
DEFINE_string(other_fleet, "",
              "session addresses of a second fleet that gets the same load");
DEFINE_double(rate, 100, "requests per second to each fleet");
DEFINE_uint32(seconds, 10, "length of the run in seconds");
DEFINE_double(write_share, 0.3,
              "fraction of the requests that write, from 0 to 1");
DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_string(json, "", "write the report as JSON to this file");
DEFINE_string(plot, "", "write the report as an SVG image to this file");
DEFINE_string(control, "",
              "control address of the platform emulator; needed for --faults. "
              "Without --other_fleet, the texts that its servers receive are "
              "compared with those that were sent; the fleet must have no "
              "other callers then");
DEFINE_string(faults, "",
              "faults to inject, \"SECONDS FAULT; SECONDS FAULT\", such as "
              "\"3 crash i-0-0; 6 restart i-0-0\"");

namespace
{

using namespace oleandergrade;
namespace asio = boost::asio;

constexpr int exit_usage_error = 2;
constexpr int exit_violations_found = 1;
/// Maximum number of requests in progress for one database at one fleet.
/// Further requests are not sent and count as failed (`session_error::other`).
constexpr std::size_t max_callers_per_database = 200;
/// Requests that are in progress at the end of the run have this long to
/// finish.
constexpr auto finish_timeout = seconds(5);
/// Interval at which texts are compared.
constexpr auto text_check_interval = milliseconds(500);
/// If texts are compared, every request with a number divisible by this
/// executes a prepared statement.
constexpr std::uint64_t prepared_request_interval = 16;

/// The callers for one database at one fleet.
struct caller_pool
{
    std::vector<std::unique_ptr<verifying_caller>> callers;
    std::vector<verifying_caller*> idle;
};

/// Sends load to one fleet and collects the results.
class fleet_load
{
public:
    fleet_load(asio::io_context& context, const session_codec& codec,
               const route_table& table, std::string name,
               const std::string& addresses)
        : context_(context), codec_(codec), table_(table), random_(FLAGS_seed)
    {
        sample_.name = std::move(name);
        std::vector<std::string> address_list;
        boost::algorithm::split(address_list, addresses,
                                [](char c) { return c == ','; });
        for (const auto& address : address_list)
        {
            const auto endpoint = parse_endpoint(address);
            if (succeeded(endpoint))
                vms_.push_back(value_of(endpoint));
        }
        for (const auto& [database, database_route] : table.routes)
            databases_.push_back(database);
        for (const auto& [key, account] : table.account_by_key)
            keys_.push_back(key);
    }

    /// Records the texts of all statements in `check`, which must outlive this
    /// object, and executes prepared statements now and then.
    void record_texts(text_check& check) { text_check_ = &check; }

    /// Returns whether there is at least one VM address and one route.
    bool has_vms_and_routes() const
    {
        return !vms_.empty() && !databases_.empty();
    }

    /// Starts requests with exponentially distributed intervals until the end
    /// of the run, without waiting for their answers.
    asio::awaitable<void> run()
    {
        const auto started_at = current_time();
        std::exponential_distribution<> intervals(FLAGS_rate);
        auto next_arrival = started_at;
        while (next_arrival < started_at + seconds(FLAGS_seconds))
        {
            const auto now = current_time();
            if (next_arrival > now)
                co_await sleep_for(next_arrival - now);
            asio::co_spawn(context_, send(next_arrival - started_at),
                           asio::detached);
            next_arrival += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(intervals(random_)));
        }
    }

    /// Returns the results so far, with the violations that the callers found.
    fleet_sample sample() const
    {
        auto all_results = sample_;
        for (const auto& [database, pool] : pools_)
            for (const auto& caller : pool.callers)
                all_results.violations.insert(all_results.violations.end(),
                                              caller->violations().begin(),
                                              caller->violations().end());
        return all_results;
    }

private:
    /// Returns an idle caller for a database, or null if the maximum number of
    /// callers is busy.
    verifying_caller* acquire_caller(const std::string& database)
    {
        auto& pool = pools_[database];
        if (pool.idle.empty() && pool.callers.size() < max_callers_per_database)
        {
            const auto number = pool.callers.size();
            pool.callers.push_back(std::make_unique<verifying_caller>(
                context_.get_executor(), codec_, table_.routes.at(database),
                keys_[number % keys_.size()],
                sample_.name + "-" + database + "-" + std::to_string(number)));
            pool.callers.back()->switch_to_vm(vms_[number % vms_.size()]);
            if (text_check_ != nullptr)
                pool.callers.back()->record_texts(*text_check_);
            pool.idle.push_back(pool.callers.back().get());
        }
        if (pool.idle.empty())
            return nullptr;
        auto* caller = pool.idle.back();
        pool.idle.pop_back();
        return caller;
    }

    /// Returns a PREPARE, and an EXECUTE of it whose data is empty.
    std::vector<caller_statement> prepared_read(const std::string& item) const
    {
        const std::string name = "by-item";
        const std::string shape = "q1";
        const auto operands = " " + item + " ";
        return {{codec_.encode_prepare(name, false, shape), std::nullopt, ""},
                {"EXECUTE " + name + operands,
                 "EXECUTE (" + codec_.encode_read(shape) + ")" + operands, ""}};
    }

    /// Sends one request; `arrival_offset` is the time since the start of the
    /// run at which it was due.
    asio::awaitable<void> send(duration arrival_offset)
    {
        const auto& database = databases_[random_() % databases_.size()];
        const bool writes =
            std::uniform_real_distribution<>(0, 1)(random_) < FLAGS_write_share;
        auto* caller = acquire_caller(database);
        if (caller == nullptr)
        {
            sample_.by_database[database].add(arrival_offset, duration(0),
                                              session_error::other);
            co_return;
        }
        caller_outcome outcome;
        ++last_request_;
        if (text_check_ != nullptr &&
            last_request_ % prepared_request_interval == 0)
            outcome =
                co_await caller->run([this, caller](std::uint64_t)
                                     { return prepared_read(caller->item()); });
        else if (writes)
            outcome = co_await caller->write();
        else
            outcome = co_await caller->read();
        if (outcome.lost_session && outcome.failure == session_error::none)
            outcome.failure = session_error::other;
        sample_.by_database[database].add(arrival_offset, outcome.latency,
                                          outcome.failure);
        // After a lost session the caller continues at a random VM.
        if (outcome.lost_session)
            caller->switch_to_vm(vms_[random_() % vms_.size()]);
        pools_[database].idle.push_back(caller);
    }

    asio::io_context& context_;
    const session_codec& codec_;
    const route_table& table_;
    std::minstd_rand random_;
    fleet_sample sample_;
    std::vector<asio::ip::tcp::endpoint> vms_;
    std::vector<std::string> databases_;
    std::vector<std::string> keys_;
    std::map<std::string, caller_pool> pools_;
    std::uint64_t last_request_ = 0;
    /// Null if texts are not compared.
    text_check* text_check_ = nullptr;
};

/// Compares the texts that the emulator's servers receive until the process
/// ends. Reports to standard error if the emulator does not answer.
asio::awaitable<void> collect_texts(text_check& check)
{
    http_client control(co_await asio::this_coro::executor, FLAGS_control);
    while (true)
    {
        const auto collected = co_await check.collect(control);
        if (!succeeded(collected))
            std::cerr << to_string(error_of(collected)) << "\n";
        co_await sleep_for(text_check_interval);
    }
}

using received_reader =
    asio::awaitable<result<bool>> (text_check::*)(http_client&);

/// Reads what the emulator's servers have received, while no caller runs.
/// Returns false, with a message on standard error, if the emulator does not
/// answer.
bool read_received(text_check& check, received_reader reader)
{
    asio::io_context context(1);
    http_client control(context.get_executor(), FLAGS_control);
    auto outcome =
        asio::co_spawn(context, (check.*reader)(control), asio::use_future);
    context.run();
    const auto received = outcome.get();
    if (!succeeded(received))
        std::cerr << to_string(error_of(received)) << "\n";
    return succeeded(received);
}

/// Parses --faults; parts without a fault are ignored.
std::vector<injected_fault> parse_faults()
{
    std::vector<injected_fault> faults;
    std::vector<std::string> parts;
    boost::algorithm::split(parts, FLAGS_faults,
                            [](char c) { return c == ';'; });
    for (auto& part : parts)
    {
        injected_fault fault;
        std::istringstream fields(part);
        fields >> fault.injected_at_s;
        std::getline(fields, fault.command);
        boost::algorithm::trim(fault.command);
        if (!fault.command.empty())
            faults.push_back(fault);
    }
    return faults;
}

/// Sends the faults to the emulator at their times.
asio::awaitable<void> inject_faults(std::vector<injected_fault> faults)
{
    const auto started_at = current_time();
    http_client control(co_await asio::this_coro::executor, FLAGS_control);
    for (const auto& fault : faults)
    {
        const auto injection_time =
            started_at +
            std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(fault.injected_at_s));
        const auto now = current_time();
        if (injection_time > now)
            co_await sleep_for(injection_time - now);
        http_request request;
        request.path = "/fault";
        request.body = fault.command;
        const auto answer =
            co_await control.exchange(std::move(request), seconds(3));
        if (!succeeded(answer) || value_of(answer).status != 200)
            std::cerr << "fault '" << fault.command
                      << "' was not injected: the emulator did not answer or "
                         "refused it\n";
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "oleander-load --configuration FILE --fleet IP:PORT,... [--other_fleet "
        "IP:PORT,...] [--plot FILE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_configuration);
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed =
        parse_fleet_configuration(FLAGS_configuration, text.str());
    const auto* table = std::get_if<route_table>(&parsed);
    if (!file || table == nullptr)
    {
        std::cerr << "configuration file '" << FLAGS_configuration
                  << "' cannot be read or is invalid; run oleanderctl check "
                     "to list its problems\n";
        return exit_usage_error;
    }
    text_check texts;
    const bool compares_texts =
        !FLAGS_control.empty() && FLAGS_other_fleet.empty();
    if (compares_texts && !read_received(texts, &text_check::skip))
        return exit_usage_error;
    asio::io_context context(1);
    const auto codec = platform::make_session_codec();
    std::vector<std::unique_ptr<fleet_load>> fleets;
    fleets.push_back(std::make_unique<fleet_load>(context, *codec, *table,
                                                  "fleet", FLAGS_fleet));
    if (!FLAGS_other_fleet.empty())
        fleets.push_back(std::make_unique<fleet_load>(
            context, *codec, *table, "other", FLAGS_other_fleet));
    if (compares_texts)
    {
        fleets.front()->record_texts(texts);
        asio::co_spawn(context, collect_texts(texts), asio::detached);
    }
    for (const auto& fleet : fleets)
    {
        if (!fleet->has_vms_and_routes())
        {
            std::cerr << "--fleet and --other_fleet need at least one valid "
                         "address IP:PORT, and the configuration at least one "
                         "route\n";
            return exit_usage_error;
        }
        asio::co_spawn(context, fleet->run(), asio::detached);
    }
    load_report report;
    report.duration_s = FLAGS_seconds;
    report.faults = parse_faults();
    if (!report.faults.empty())
        asio::co_spawn(context, inject_faults(report.faults), asio::detached);
    context.run_for(seconds(FLAGS_seconds) + finish_timeout);
    for (const auto& fleet : fleets)
        report.fleets.push_back(fleet->sample());
    if (compares_texts)
    {
        auto& violations = report.fleets.front().violations;
        if (!read_received(texts, &text_check::collect))
            violations.emplace_back("the last texts could not be compared");
        const auto found = texts.violations();
        violations.insert(violations.end(), found.begin(), found.end());
        std::cerr << texts.compared() << " texts compared\n";
    }
    const bool has_no_violations = std::all_of(
        report.fleets.begin(), report.fleets.end(),
        [](const fleet_sample& sample) { return sample.violations.empty(); });
    std::cout << report.to_text();
    if (!FLAGS_json.empty())
        std::ofstream(FLAGS_json) << report.to_json() << "\n";
    if (!FLAGS_plot.empty())
        std::ofstream(FLAGS_plot) << report.to_svg();
    return has_no_violations ? 0 : exit_violations_found;
}
