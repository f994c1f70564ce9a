/// Stand-in for the platform: its key-value service and its list of VMs.
#include "platform_store.hpp"

#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/http_server.hpp>
#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/connection/json_response.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:7000", "address to listen on, IP:PORT");
DEFINE_uint32(vm_check_ms, 500, "interval of the checks behind the VM list");
DEFINE_uint32(answer_ms, 1, "time that an answer takes");

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace oleandergrade;

constexpr auto vm_check_timeout = milliseconds(500);
constexpr unsigned vm_check_failures = 2;
constexpr auto watch_interval = milliseconds(10);
constexpr std::uint64_t max_watch_ms = 30000;

/// Faults that a test can switch on; shown in the statistics.
struct fault_switches
{
    bool down = false;
    std::uint64_t slow_ms = 0;
    std::uint64_t lose_answers = 0;
    /// Failure domains whose calls get no answer.
    std::string cut_domains;
};

/// A VM known to the platform, with what its health checks said last.
struct known_vm
{
    std::string id;
    std::string address;
    std::string peer_address;
    std::string failure_domain;
    unsigned failures = vm_check_failures;
    bool leaving = false;
};

/// Serves the store and the VM list. Everything runs on one thread.
class platform_process
{
public:
    explicit platform_process(asio::io_context& context) : context_(context)
    {
        asio::co_spawn(context_, check_vms(), asio::detached);
    }

    asio::awaitable<http_response> serve(http_request request);

private:
    using handler = http_response (platform_process::*)(const json::object&);
    struct route
    {
        const char* path;
        handler serve;
    };
    static const route routes[];

    http_response serve_get(const json::object& body);
    http_response serve_list(const json::object& body);
    http_response serve_compare_and_swap(const json::object& body);
    http_response serve_renew(const json::object& body);
    http_response serve_vms(const json::object& body);
    http_response serve_register(const json::object& body);
    http_response serve_stats(const json::object& body);
    http_response serve_fault(const json::object& body);
    asio::awaitable<http_response> serve_watch(const json::object& body);

    bool is_cut(const json::object& body) const;
    asio::awaitable<void> sleep(duration delay);
    asio::awaitable<void> check_vms();
    asio::awaitable<void> check_vm(std::string id);

    asio::io_context& context_;
    standins::platform_store store_;
    fault_switches faults_;
    std::map<std::string, known_vm> vms_;
    std::uint64_t vm_lists_ = 0;
};

const platform_process::route platform_process::routes[] = {
    {"/get", &platform_process::serve_get},
    {"/list", &platform_process::serve_list},
    {"/cas", &platform_process::serve_compare_and_swap},
    {"/renew", &platform_process::serve_renew},
    {"/vms", &platform_process::serve_vms},
    {"/register", &platform_process::serve_register},
    {"/stats", &platform_process::serve_stats},
    {"/fault", &platform_process::serve_fault},
};

asio::awaitable<http_response> platform_process::serve(http_request request)
{
    const auto parsed = parse_json_object(request.body);
    if (!succeeded(parsed))
        co_return json_response(400, {{"error", "bad_request"}});
    const auto& body = value_of(parsed);
    const bool is_control = request.path == "/fault" ||
                            request.path == "/stats" ||
                            request.path == "/register";
    if (!is_control)
    {
        if (faults_.down || is_cut(body))
            co_await sleep(seconds(60));
        co_await sleep(milliseconds(FLAGS_answer_ms + faults_.slow_ms));
    }
    http_response response;
    if (request.path == "/watch")
    {
        response = co_await serve_watch(body);
    }
    else
    {
        const auto* found = std::find_if(
            std::begin(routes), std::end(routes),
            [&](const route& entry) { return request.path == entry.path; });
        if (found == std::end(routes))
            co_return json_response(404, {{"error", "not_found"}});
        response = (this->*found->serve)(body);
    }
    if (!is_control && faults_.lose_answers > 0)
    {
        --faults_.lose_answers;
        throw boost::system::system_error(asio::error::connection_aborted);
    }
    co_return response;
}

bool platform_process::is_cut(const json::object& body) const
{
    const auto domain = text_field(body, "domain");
    if (domain.empty())
        return false;
    const auto list = "," + faults_.cut_domains + ",";
    return list.find("," + domain + ",") != std::string::npos;
}

http_response platform_process::serve_get(const json::object& body)
{
    const auto stored = store_.get(text_field(body, "key"), clock::now());
    if (!stored)
        return json_response(404, {{"error", "absent"}});
    return json_response(
        200, {{"value", stored->value}, {"revision", stored->revision}});
}

http_response platform_process::serve_list(const json::object& body)
{
    json::array items;
    for (const auto& item :
         store_.list(text_field(body, "prefix"), clock::now()))
        items.push_back(json::object{{"key", item.key},
                                     {"value", item.stored.value},
                                     {"revision", item.stored.revision}});
    return json_response(200, {{"items", std::move(items)}});
}

http_response platform_process::serve_compare_and_swap(const json::object& body)
{
    std::optional<duration> lease;
    if (const auto lease_ms = number_field(body, "lease_ms"); lease_ms > 0)
        lease = milliseconds(lease_ms);
    const auto revision = store_.compare_and_swap(
        text_field(body, "key"), number_field(body, "expected"),
        text_field(body, "value"), lease, clock::now());
    if (!revision)
        return json_response(409, {{"error", "conflict"}});
    return json_response(200, {{"revision", *revision}});
}

http_response platform_process::serve_renew(const json::object& body)
{
    const bool renewed = store_.renew(
        text_field(body, "key"), number_field(body, "revision"),
        milliseconds(number_field(body, "lease_ms")), clock::now());
    if (!renewed)
        return json_response(409, {{"error", "conflict"}});
    return json_response(200, {});
}

http_response platform_process::serve_vms(const json::object&)
{
    ++vm_lists_;
    json::array items;
    for (const auto& [id, vm] : vms_)
    {
        if (vm.failures >= vm_check_failures)
            continue;
        items.push_back(json::object{{"id", id},
                                     {"address", vm.address},
                                     {"peer_address", vm.peer_address},
                                     {"failure_domain", vm.failure_domain},
                                     {"leaving", vm.leaving}});
    }
    return json_response(200, {{"vms", std::move(items)}});
}

http_response platform_process::serve_register(const json::object& body)
{
    known_vm vm;
    vm.id = text_field(body, "id");
    vm.address = text_field(body, "address");
    vm.peer_address = text_field(body, "peer_address");
    vm.failure_domain = text_field(body, "failure_domain");
    vms_[vm.id] = vm;
    return json_response(200, {});
}

http_response platform_process::serve_stats(const json::object&)
{
    const auto& counts = store_.counts();
    return json_response(200, {{"get", counts.get},
                               {"list", counts.list},
                               {"cas", counts.compare_and_swap},
                               {"renew", counts.renew},
                               {"watch", counts.watch},
                               {"vms", vm_lists_},
                               {"down", faults_.down},
                               {"slow_ms", faults_.slow_ms},
                               {"lose_answers", faults_.lose_answers},
                               {"cut_domains", faults_.cut_domains}});
}

http_response platform_process::serve_fault(const json::object& body)
{
    faults_.down = flag_field(body, "down", faults_.down);
    faults_.slow_ms = number_field(body, "slow_ms", faults_.slow_ms);
    faults_.lose_answers =
        number_field(body, "lose_answers", faults_.lose_answers);
    faults_.cut_domains = text_field(body, "cut_domains", faults_.cut_domains);
    return json_response(200, {});
}

asio::awaitable<http_response>
platform_process::serve_watch(const json::object& body)
{
    store_.count_watch();
    const auto prefix = text_field(body, "prefix");
    const auto after = number_field(body, "after");
    const auto wait = std::min(number_field(body, "wait_ms"), max_watch_ms);
    const auto deadline = clock::now() + milliseconds(wait);
    while (clock::now() < deadline && !faults_.down && !is_cut(body) &&
           store_.latest_revision(prefix, clock::now()) <= after)
        co_await sleep(watch_interval);
    if (faults_.down || is_cut(body))
        co_await sleep(seconds(60));
    co_return json_response(
        200, {{"revision", store_.latest_revision(prefix, clock::now())}});
}

asio::awaitable<void> platform_process::sleep(duration delay)
{
    asio::steady_timer timer(context_, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> platform_process::check_vms()
{
    for (;;)
    {
        for (const auto& [id, vm] : vms_)
            asio::co_spawn(context_, check_vm(id), asio::detached);
        co_await sleep(milliseconds(FLAGS_vm_check_ms));
    }
}

asio::awaitable<void> platform_process::check_vm(std::string id)
{
    http_client client(context_.get_executor(), vms_.at(id).address);
    http_request request;
    request.method = "GET";
    request.path = "/v1/health";
    const auto answer =
        co_await client.exchange(std::move(request), vm_check_timeout);
    auto& vm = vms_.at(id);
    if (!succeeded(answer))
    {
        ++vm.failures;
        co_return;
    }
    vm.failures = 0;
    vm.leaving = value_of(answer).status != 200;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform's key-value service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto endpoint = parse_endpoint(FLAGS_listen);
    if (!succeeded(endpoint))
    {
        std::cerr << to_string(error_of(endpoint)) << "\n";
        return 2;
    }
    asio::io_context context(1);
    platform_process process(context);
    http_handlers handlers;
    handlers.serve = [&](http_request request)
    { return process.serve(std::move(request)); };
    http_server server(context, value_of(endpoint), {}, handlers);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
