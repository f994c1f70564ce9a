#include "small_deployment.hpp"

#include "base64.hpp"

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/json_fields.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review
{
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using boost::system::error_code;
using oleandergrade::sleep_for;
using tcp = asio::ip::tcp;

namespace
{

constexpr unsigned ports_per_vm = 8;
constexpr unsigned tapped_port_offset = 20;
constexpr unsigned first_vm_offset = 50;
constexpr auto heartbeat = milliseconds(1200);
/// An old primary gives up this long after it can reach a new one.
constexpr auto old_primary_time = milliseconds(1000);
constexpr auto store_latency = milliseconds(4);
/// Length of the queue of new connections at the interface for promotions.
constexpr int promotion_backlog = 2;
constexpr unsigned group_count = 3;
constexpr unsigned servers_per_group = 3;

tcp::endpoint at(unsigned port)
{
    return {asio::ip::address_v4::loopback(),
            static_cast<unsigned short>(port)};
}

bool is_free(asio::io_context& context, unsigned port)
{
    error_code failure;
    tcp::acceptor probe(context);
    probe.open(tcp::v4(), failure);
    probe.bind(at(port), failure);
    return !failure;
}

/// Returns the first of `count` ports that are all free, below the range that
/// the system gives to outgoing connections.
unsigned short find_ports(asio::io_context& context, unsigned count)
{
    std::random_device device;
    for (unsigned attempt = 0; attempt < 200; ++attempt)
    {
        const unsigned base = 10'000 + device() % 20'000;
        bool all_free = true;
        for (unsigned port = base; all_free && port < base + count; ++port)
            all_free = is_free(context, port);
        if (all_free)
            return static_cast<unsigned short>(base);
    }
    throw std::runtime_error("no free ports");
}

std::string query_field(const std::string& path, const std::string& name)
{
    const auto begin = path.find(name + "=");
    if (begin == std::string::npos)
        return {};
    const auto value = begin + name.size() + 1;
    const auto raw = path.substr(value, path.find('&', value) - value);
    std::string text;
    for (std::size_t i = 0; i < raw.size(); ++i)
    {
        if (raw[i] == '%' && i + 2 < raw.size())
        {
            text +=
                static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
        {
            text += raw[i];
        }
    }
    return text;
}

json::object to_json(const standins::store_entry& item)
{
    return {{"Key", item.key},
            {"Value", oleandergrade::platform::encode_base64(item.value)},
            {"Revision", item.revision},
            {"CreateRev", item.creation_revision},
            {"Lease", item.lease_id}};
}

/// Splits off the first word of `rest`.
std::string take_word(std::string& rest)
{
    const auto end = rest.find(' ');
    auto word = rest.substr(0, end);
    rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    return word;
}

} // namespace

run_record::run_record(const std::string& path) : file_(path) {}

std::int64_t run_record::elapsed_ms() const
{
    return oleandergrade::to_milliseconds(current_time() - started_at_);
}

void run_record::add(const std::string& line)
{
    file_ << elapsed_ms() << " " << line << std::endl;
}

/// A connection of a VM to a database server, seen from the server.
struct small_deployment::tapped_session
{
    explicit tapped_session(tcp::socket accepted)
        : from_vm(std::move(accepted)), to_server(from_vm.get_executor())
    {
    }
    void close()
    {
        error_code ignored;
        from_vm.close(ignored);
        to_server.close(ignored);
    }

    tcp::socket from_vm;
    tcp::socket to_server;
    std::string server;
    std::string group;
    std::map<std::string, std::string> shapes;
    std::map<std::string, std::string> values;
    /// Statements that have not been answered completely.
    std::deque<server_run> waiting;
    bool succeeded = false;
};

small_deployment::small_deployment(asio::io_context& context,
                                   deployment_settings settings,
                                   run_record& record)
    : context_(context), settings_(std::move(settings)), record_(record),
      store_acceptor_(context), promotion_acceptor_(context)
{
    base_port_ =
        find_ports(context, first_vm_offset + settings_.vms * ports_per_vm);
    standins::emulator_settings platform;
    // The emulator's own store and interface for promotions are not used: this
    // class serves the model of the store itself.
    platform.store_port = static_cast<unsigned short>(base_port_ + 2);
    platform.promotion_port = static_cast<unsigned short>(base_port_ + 3);
    platform.first_server_port = static_cast<unsigned short>(base_port_ + 5);
    platform.advertised_port_offset = tapped_port_offset;
    for (unsigned g = 0; g < group_count; ++g)
        platform.group_names.push_back("survey-" + std::to_string(g));
    platform.servers_per_group = servers_per_group;
    platform.server_domains = {"negombo", "colombo", "kalutara"};
    platform.max_connections_per_server = settings_.max_connections;
    platform.statement_duration = settings_.statement_duration;
    platform.promotion_delay = settings_.promotion_delay;
    emulator_ =
        std::make_unique<standins::platform_emulator>(context, platform);
    emulator_->put_configuration(1001, settings_.tenants, settings_.rate_per_s);
    for (auto* acceptor : {&store_acceptor_, &promotion_acceptor_})
    {
        acceptor->open(tcp::v4());
        acceptor->set_option(tcp::acceptor::reuse_address(true));
        acceptor->bind(at(base_port_ + (acceptor == &store_acceptor_ ? 0 : 1)));
        acceptor->listen(acceptor == &promotion_acceptor_ ? promotion_backlog
                                                          : 128);
    }
    asio::co_spawn(context,
                   accept_http(
                       store_acceptor_,
                       [this](http_call call)
                       { return serve_store(std::move(call)); },
                       true),
                   asio::detached);
    asio::co_spawn(context,
                   accept_http(
                       promotion_acceptor_,
                       [this](http_call call)
                       { return serve_promotion(std::move(call)); },
                       false),
                   asio::detached);
    for (std::size_t i = 0; i < group_count * servers_per_group; ++i)
    {
        server_acceptors_.push_back(std::make_unique<tcp::acceptor>(context));
        auto& acceptor = *server_acceptors_.back();
        acceptor.open(tcp::v4());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(at(server_port(i) + tapped_port_offset));
        acceptor.listen();
        asio::co_spawn(context, accept_at_server(i), asio::detached);
        asio::co_spawn(context, send_heartbeats(i), asio::detached);
    }
    asio::co_spawn(context, follow_roles(), asio::detached);
}

small_deployment::~small_deployment() = default;

unsigned short small_deployment::vm_port(unsigned vm) const
{
    return static_cast<unsigned short>(base_port_ + first_vm_offset +
                                       vm * ports_per_vm);
}

unsigned short small_deployment::server_port(std::size_t index) const
{
    return static_cast<unsigned short>(base_port_ + 5 + index);
}

void small_deployment::write_settings(unsigned vm, bool is_first_start) const
{
    const auto address = [&](unsigned offset)
    { return "\"127.0.0.1:" + std::to_string(vm_port(vm) + offset) + "\""; };
    std::ofstream out(settings_.folder + "/vm-" + std::to_string(vm) + ".toml");
    out << "NodeName = \"edge-" << vm << "\"\nRole = \"entry\"\n"
        << "MachineClass = \"edge\"\nServes = [\"edge\",\"control\"]\n"
        << "Ip = \"127.0.0.1\"\nZone = \"" << settings_.zones.at(vm)
        << "\"\nRegion = \"western-coast\"\nInternalPorts = ["
        << vm_port(vm) + 3 << "," << vm_port(vm) + 7 << "]\nSeeds = [";
    for (unsigned seed = 0; seed < 3; ++seed)
        out << (seed > 0 ? "," : "") << "\"127.0.0.1:" << vm_port(seed) + 2
            << "\"";
    out << "]\nBootstrap = " << (is_first_start ? "true" : "false")
        << "\nInTolerance = false\n"
        << "Discovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n"
        << "[Listen]\nFront = " << address(0) << "\nReady = " << address(1)
        << "\nControl = " << address(2)
        << "\n[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\n"
        << "MaxFds = 4300\nLinkMbps = 1000.0\nDiskMb = 0\n"
        << "[FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 0\n"
        << "[Bounds]\nSeedLagS = 3\nReuseDelayS = 2\nStableWindowMs = 4000\n"
        << "AckMs = 5000\nCatchupS = 4\nDrainMs = 7000\nGraceS = 6\n"
        << "LossSlackMs = 200\nConfigApplyMs = 3000\nRevertSlackMs = 250\n"
        << "MaxSkewMs = 12000\nRevokeStrict = false\nRevokeMs = 5000\n"
        << "QuotaWindowS = 5\nQuotaOvershoot = 0.1\nQuotaSlack = 20\n"
        << "RecoveryS = 12\nFencingEnforced = false\nUnfreezeSlackMs = 300\n"
        << "[platform]\nAddress = \"127.0.0.1:" << base_port_
        << "\"\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\n"
        << "HistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n"
        << "[CloudApi]\nAddress = \"127.0.0.1:" << base_port_ + 1
        << "\"\nRatePerS = 50.0\nDuties = [\"failover\"]\nDutyPerS = 50.0\n";
}

void small_deployment::start_vm(unsigned vm)
{
    const auto prefix = settings_.folder + "/vm-" + std::to_string(vm);
    ::setenv("OLEANDERGRADE_SETTINGS", (prefix + ".toml").c_str(), 1);
    if (vm < processes_.size())
        processes_[vm]->start();
    else
        processes_.push_back(std::make_unique<soak::child_process>(
            std::vector<std::string>{settings_.vm_program}, prefix + ".log"));
}

void small_deployment::start_vms()
{
    for (unsigned vm = 0; vm < settings_.vms; ++vm)
    {
        write_settings(vm, true);
        start_vm(vm);
    }
}

void small_deployment::stop_vms()
{
    processes_.clear();
}

asio::awaitable<void>
small_deployment::restart_vm(unsigned vm, int signal_number, milliseconds pause)
{
    record_.add("signal " + std::to_string(signal_number) + " to edge-" +
                std::to_string(vm));
    processes_[vm]->send_signal(signal_number);
    const auto deadline = current_time() + seconds(6);
    while (!processes_[vm]->collect_exit_status())
    {
        if (current_time() >= deadline)
            processes_[vm]->send_signal(SIGKILL);
        co_await sleep_for(milliseconds(5));
    }
    record_.add("edge-" + std::to_string(vm) + " has ended");
    co_await sleep_for(pause);
    write_settings(vm, false);
    start_vm(vm);
    restarted_.insert(vm);
    record_.add("edge-" + std::to_string(vm) + " is started again");
}

asio::awaitable<void> small_deployment::watch_vms()
{
    constexpr auto restart_delay = milliseconds(500);
    while (watches_)
    {
        for (unsigned vm = 0; vm < processes_.size(); ++vm)
        {
            if (!processes_[vm]->is_running() ||
                !processes_[vm]->collect_exit_status())
                continue;
            ++own_ends_[vm];
            record_.add("edge-" + std::to_string(vm) +
                        " has ended by itself: " + last_log_line(vm));
            asio::co_spawn(context_, start_after(vm, restart_delay),
                           asio::detached);
        }
        co_await sleep_for(milliseconds(5));
    }
}

asio::awaitable<void> small_deployment::start_after(unsigned vm,
                                                    milliseconds delay)
{
    co_await sleep_for(delay);
    write_settings(vm, false);
    start_vm(vm);
    record_.add("edge-" + std::to_string(vm) + " is started again");
}

std::string small_deployment::last_log_line(unsigned vm) const
{
    std::ifstream file(settings_.folder + "/vm-" + std::to_string(vm) + ".log");
    std::string last;
    for (std::string line; std::getline(file, line);)
        if (!line.empty())
            last = line;
    return last.substr(0, 200);
}

asio::awaitable<void> small_deployment::limit_processor(unsigned vm,
                                                        double share)
{
    constexpr auto period = milliseconds(100);
    const auto running_time = milliseconds(
        static_cast<std::int64_t>(static_cast<double>(period.count()) * share));
    while (watches_)
    {
        processes_[vm]->send_signal(SIGSTOP);
        co_await sleep_for(period - running_time);
        processes_[vm]->send_signal(SIGCONT);
        co_await sleep_for(running_time);
    }
    processes_[vm]->send_signal(SIGCONT);
}

void small_deployment::send_signal(unsigned vm, int signal_number)
{
    record_.add("signal " + std::to_string(signal_number) + " to edge-" +
                std::to_string(vm));
    processes_[vm]->send_signal(signal_number);
}

asio::awaitable<bool> small_deployment::wait_until_ready(duration limit)
{
    const auto deadline = current_time() + limit;
    while (current_time() < deadline)
    {
        unsigned ready = 0;
        for (unsigned vm = 0; vm < settings_.vms; ++vm)
        {
            oleandergrade::http_client probe(
                context_.get_executor(),
                "127.0.0.1:" + std::to_string(vm_port(vm) + 1));
            oleandergrade::http_request request;
            request.method = "GET";
            request.path = "/v1/readyz";
            const auto outcome =
                co_await probe.exchange(std::move(request), seconds(1));
            if (succeeded(outcome) && value_of(outcome).status == 200)
                ++ready;
        }
        if (ready == settings_.vms)
            co_return true;
        co_await sleep_for(milliseconds(100));
    }
    co_return false;
}

std::optional<unsigned> small_deployment::leader_vm() const
{
    const auto entry = emulator_->store().read("oleander/duty");
    const auto begin = entry.value.find("edge-");
    if (entry.revision == 0 || begin == std::string::npos)
        return std::nullopt;
    return static_cast<unsigned>(entry.value[begin + 5] - '0');
}

// The platform's store.

asio::awaitable<void> small_deployment::accept_http(tcp::acceptor& acceptor,
                                                    http_handler handler,
                                                    bool shows_era)
{
    for (;;)
    {
        error_code failure;
        auto socket = co_await acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        while (&acceptor == &promotion_acceptor_ && promotions_slow_)
            co_await sleep_for(milliseconds(1));
        asio::co_spawn(context_,
                       serve_http(std::move(socket), handler, shows_era),
                       asio::detached);
    }
}

asio::awaitable<void> small_deployment::serve_http(tcp::socket socket,
                                                   http_handler handler,
                                                   bool shows_era)
{
    error_code failure;
    socket.set_option(tcp::no_delay(true), failure);
    beast::flat_buffer buffer;
    for (;;)
    {
        http::request<http::string_body> request;
        co_await http::async_read(
            socket, buffer, request,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        http_call call;
        call.method = std::string(request.method_string());
        call.target = std::string(request.target());
        call.body = request.body();
        call.holder = std::string(request["Oleandergrade-Lease-Holder"]);
        call.fence = std::string(request["Oleandergrade-Fencing-Token"]);
        const auto reply = co_await handler(std::move(call));
        if (reply.is_cut)
            co_return;
        http::response<http::string_body> response(
            static_cast<http::status>(reply.status), 11);
        response.set(http::field::content_type, "application/json");
        if (shows_era)
            response.set("Store-Era", std::to_string(store_era_));
        response.body() = json::serialize(reply.body);
        response.prepare_payload();
        co_await http::async_write(
            socket, response,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
    }
}

asio::awaitable<small_deployment::http_reply>
small_deployment::serve_store(http_call call)
{
    co_await sleep_for(store_latency);
    if (store_away_)
        co_return http_reply{503, {}, false};
    auto& store = emulator_->store();
    const auto now = current_time();
    store.process_expirations(now);
    const auto& path = call.target;
    if (path.starts_with("/v1/kv-key"))
    {
        const auto item = store.read(query_field(path, "Key"));
        if (item.revision == 0)
            co_return http_reply{404, {}, false};
        auto body = to_json(item);
        body["AsOf"] = store.revision();
        co_return http_reply{200, std::move(body), false};
    }
    if (path.starts_with("/v1/kv-range"))
    {
        json::array items;
        for (const auto& item : store.read_all(query_field(path, "Prefix")))
            items.push_back(to_json(item));
        co_return http_reply{200,
                             {{"items", std::move(items)},
                              {"HasMore", false},
                              {"AsOf", store.revision()}},
                             false};
    }
    if (path.starts_with("/v1/kv-watch"))
    {
        auto reply = co_await serve_watch(
            query_field(path, "Prefix"),
            std::stoull(query_field(path, "after")),
            milliseconds(std::stoll(query_field(path, "WaitMs"))));
        co_return reply;
    }
    if (path == "/v1/kv-txn")
        co_return write_transaction(call.body);
    if (path == "/v1/kv-lease")
    {
        const auto parsed = oleandergrade::parse_json_object(call.body);
        const auto lifetime = milliseconds(
            oleandergrade::unsigned_field(value_of(parsed), "TtlMs"));
        const auto lease = store.create_lease(lifetime, now);
        co_return http_reply{
            200, {{"Lease", lease}, {"TtlMs", lifetime.count()}}, false};
    }
    const auto id = std::stoull("0" + path.substr(path.rfind('/') + 1));
    const bool existed = path.starts_with("/v1/kv-keep/")
                             ? store.renew_lease(id, now)
                             : store.end_lease(id, now);
    co_return http_reply{existed ? 200U : 404U, {}, false};
}

asio::awaitable<small_deployment::http_reply>
small_deployment::serve_watch(std::string prefix, std::uint64_t after,
                              milliseconds wait)
{
    const auto deadline = current_time() + wait;
    const auto era = store_era_;
    std::vector<standins::store_event> events;
    for (;;)
    {
        // A watch that is waiting may be cut.
        if (store_away_ || era != store_era_)
            co_return http_reply{0, {}, true};
        auto& store = emulator_->store();
        store.process_expirations(current_time());
        if (after > store.revision() ||
            store.events_after(prefix, after, events) !=
                standins::store_outcome::done)
            co_return http_reply{410, {}, false};
        if (!events.empty() || current_time() >= deadline)
            break;
        co_await sleep_for(milliseconds(5));
    }
    json::array changes;
    for (const auto& event : events)
        if (event.value)
            changes.push_back(
                to_json({event.key, *event.value, event.revision,
                         event.creation_revision, event.lease_id}));
        else
            changes.push_back({{"Key", event.key},
                               {"Revision", event.revision},
                               {"Deleted", true}});
    co_return http_reply{200,
                         {{"events", std::move(changes)},
                          {"AsOf", emulator_->store().revision()}},
                         false};
}

small_deployment::http_reply
small_deployment::write_transaction(const std::string& body)
{
    const auto parsed = oleandergrade::parse_json_object(body);
    if (!succeeded(parsed))
        return {400, {}, false};
    const auto& fields = value_of(parsed);
    std::vector<std::pair<std::string, std::uint64_t>> expected;
    for (const auto& row : fields.at("Precondition").as_array())
        expected.emplace_back(
            oleandergrade::string_field(row.as_object(), "Key"),
            oleandergrade::unsigned_field(row.as_object(), "Revision"));
    std::vector<standins::store_change> changes;
    for (const auto& put : fields.at("Puts").as_array())
        changes.push_back(
            {oleandergrade::string_field(put.as_object(), "Key"),
             oleandergrade::platform::decode_base64(
                 oleandergrade::string_field(put.as_object(), "Value")),
             oleandergrade::unsigned_field(put.as_object(), "Lease")});
    for (const auto& key : fields.at("Deletes").as_array())
        changes.push_back({std::string(key.as_string()), std::nullopt, 0});
    for (const auto& change : changes)
        if (change.key.starts_with("op/") || change.key.starts_with("servers/"))
            return {403, {}, false};
    auto& store = emulator_->store();
    const auto outcome = store.write(expected, changes, current_time());
    if (outcome == standins::store_outcome::condition_failed)
    {
        json::array items;
        for (const auto& [key, revision] : expected)
            if (const auto item = store.read(key); item.revision != 0)
                items.push_back(to_json(item));
        return {412, {{"items", std::move(items)}}, false};
    }
    if (outcome == standins::store_outcome::unknown_lease)
        return {404, {}, false};
    for (const auto& change : changes)
        record_.add("store: write of " + change.key + " at revision " +
                    std::to_string(store.revision()) + ": " +
                    change.value.value_or("(deleted)"));
    return {200, {{"Revision", store.revision()}}, false};
}

void small_deployment::copy_store()
{
    store_copy_ = emulator_->store();
    record_.add("store: copy taken at revision " +
                std::to_string(emulator_->store().revision()));
}

asio::awaitable<void> small_deployment::restore_store(milliseconds away)
{
    record_.add("store: away at revision " +
                std::to_string(emulator_->store().revision()));
    store_away_ = true;
    co_await sleep_for(away);
    auto latest = emulator_->store();
    emulator_->store() = *store_copy_;
    auto& store = emulator_->store();
    store.expire_all_leases(current_time());
    // Numbers of leases are not given out again: the pages say so of revisions
    // only.
    const auto newest_lease =
        latest.create_lease(milliseconds(0), current_time());
    while (store.create_lease(milliseconds(0), current_time()) <= newest_lease)
        continue;
    store.process_expirations(current_time());
    store_away_ = false;
    ++store_era_;
    record_.add("store: back from the copy, era " + std::to_string(store_era_) +
                ", revision " + std::to_string(store.revision()));
    for (const char* prefix : {"op/", "servers/"})
    {
        for (const auto& item : store.read_all(prefix))
            if (latest.read(item.key).revision == 0)
                store.write({}, {{item.key, std::nullopt, 0}}, current_time());
        for (const auto& item : latest.read_all(prefix))
            store.write({}, {{item.key, item.value, 0}}, current_time());
    }
    record_.add("store: operator and servers have written again, revision " +
                std::to_string(store.revision()));
}

// Promotions.

asio::awaitable<void> small_deployment::set_promotions_slow(bool slow)
{
    promotions_slow_ = slow;
    record_.add(slow ? "promotions: no connection is accepted for now"
                     : "promotions: connections are accepted again");
    if (!slow)
    {
        queue_fillers_.clear();
        co_return;
    }
    // One is accepted, the others fill the queue, and further ones are dropped.
    for (int i = 0; i < promotion_backlog + 2; ++i)
    {
        queue_fillers_.push_back(std::make_unique<tcp::socket>(context_));
        error_code ignored;
        co_await queue_fillers_.back()->async_connect(
            at(base_port_ + 1),
            asio::redirect_error(asio::use_awaitable, ignored));
        co_await sleep_for(milliseconds(5));
    }
}

bool small_deployment::has_candidate(const std::string& group) const
{
    const auto entry = emulator_->store().read("oleander/primary/" + group);
    return entry.value.find("\"candidate\":\"i-") != std::string::npos;
}

asio::awaitable<small_deployment::http_reply>
small_deployment::serve_promotion(http_call call)
{
    const auto parsed = oleandergrade::parse_json_object(call.body);
    promotion_call entry;
    entry.arrived_at = current_time();
    entry.holder = call.holder;
    entry.fence = std::stoull("0" + call.fence);
    entry.service = oleandergrade::string_field(value_of(parsed), "Service");
    entry.server = oleandergrade::string_field(value_of(parsed), "Id");
    entry.status = 404;
    for (unsigned g = 0; g < group_count; ++g)
        if (emulator_->group(g).name() == entry.service)
            entry.status =
                emulator_->group(g).promote(entry.server, current_time()) ? 200
                                                                          : 409;
    promotions_.push_back(entry);
    record_.add("promote " + entry.service + " " + entry.server + ": holder " +
                entry.holder + ", fence " + std::to_string(entry.fence) +
                ", status " + std::to_string(entry.status));
    co_return http_reply{entry.status, {}, false};
}

// Database servers. The emulator serves their sessions; what passes is recorded
// in front of it.

asio::awaitable<void> small_deployment::accept_at_server(std::size_t index)
{
    auto& acceptor = *server_acceptors_[index];
    const auto server = emulator_->server_id(index / servers_per_group,
                                             index % servers_per_group);
    for (;;)
    {
        error_code failure;
        auto socket = co_await acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        auto session = std::make_shared<tapped_session>(std::move(socket));
        session->server = server;
        session->group = "survey-" + std::to_string(index / servers_per_group);
        if (cut_servers_.contains(server))
        {
            silent_sessions_.push_back(std::move(session));
            continue;
        }
        co_await session->to_server.async_connect(
            at(server_port(index)),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            session->close();
            continue;
        }
        session->from_vm.set_option(tcp::no_delay(true), failure);
        session->to_server.set_option(tcp::no_delay(true), failure);
        asio::co_spawn(context_, forward_statements(session), asio::detached);
        asio::co_spawn(context_, forward_answers(session), asio::detached);
    }
}

asio::awaitable<void>
small_deployment::forward_statements(std::shared_ptr<tapped_session> s)
{
    std::string buffer;
    std::array<char, 8192> chunk{};
    for (;;)
    {
        error_code failure;
        const auto size = co_await s->from_vm.async_read_some(
            asio::buffer(chunk),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
        if (cut_servers_.contains(s->server))
        {
            silent_sessions_.push_back(s);
            co_return;
        }
        buffer.append(chunk.data(), size);
        std::string lines;
        for (auto end = buffer.find("\r\n"); end != std::string::npos;
             end = buffer.find("\r\n"))
        {
            auto line = buffer.substr(0, end);
            lines += buffer.substr(0, end + 2);
            buffer.erase(0, end + 2);
            if (take_word(line) != "QUERY")
                continue;
            server_run run;
            run.received_at = current_time();
            for (unsigned g = 0; g < group_count; ++g)
                emulator_->group(g).complete_due_promotions(run.received_at);
            run.server = s->server;
            run.id = take_word(line);
            run.text = line;
            for (unsigned g = 0; g < group_count; ++g)
                if (const auto* model =
                        emulator_->group(g).find_server(s->server))
                {
                    run.is_primary = model->is_primary;
                    run.term = model->term;
                    for (const auto& [id, other] :
                         emulator_->group(g).servers())
                        if (other.is_primary)
                            run.newest_term =
                                std::max(run.newest_term, other.term);
                }
            auto verb = take_word(line);
            if (verb == "AFTER")
            {
                take_word(line);
                verb = take_word(line);
            }
            run.values = s->values;
            if (verb == "SET")
            {
                const auto name = take_word(line);
                s->values[name] = line;
            }
            else if (verb == "PREPARE")
            {
                const auto name = take_word(line);
                const auto kind = take_word(line);
                s->shapes[name] = line;
            }
            else if (verb == "EXECUTE")
            {
                const auto found = s->shapes.find(take_word(line));
                run.shape = found == s->shapes.end() ? "" : found->second;
            }
            else if (verb == "RESET")
            {
                s->shapes.clear();
                s->values.clear();
            }
            else if (verb == "PAUSE" && !run.is_primary &&
                     std::stoull(line) > run.newest_term &&
                     paused_.insert(s->server).second)
            {
                record_.add("server " + s->server + " gets PAUSE " + line);
                emulator_->set_replication_stopped(s->server, true);
            }
            s->waiting.push_back(std::move(run));
        }
        co_await asio::async_write(
            s->to_server, asio::buffer(lines),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
    }
    s->close();
}

asio::awaitable<void>
small_deployment::forward_answers(std::shared_ptr<tapped_session> s)
{
    std::string buffer;
    std::array<char, 8192> chunk{};
    for (;;)
    {
        error_code failure;
        const auto size = co_await s->to_server.async_read_some(
            asio::buffer(chunk),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
        if (cut_servers_.contains(s->server))
        {
            silent_sessions_.push_back(s);
            co_return;
        }
        buffer.append(chunk.data(), size);
        std::string lines;
        for (auto end = buffer.find("\r\n"); end != std::string::npos;
             end = buffer.find("\r\n"))
        {
            auto line = buffer.substr(0, end);
            lines += buffer.substr(0, end + 2);
            buffer.erase(0, end + 2);
            if (line.starts_with("COMPLETE"))
                s->succeeded = true;
            if (!line.starts_with("READY") || s->waiting.empty())
                continue;
            auto run = std::move(s->waiting.front());
            s->waiting.pop_front();
            run.answered_at = current_time();
            // The commit is at the primary, and no replica has received it.
            const bool commits =
                run.text.starts_with("WRITE") || run.text.starts_with("COMMIT");
            while (commits_synchronously_ && commits && s->succeeded &&
                   run.is_primary && s->from_vm.is_open() &&
                   !is_replicated(run))
                co_await sleep_for(milliseconds(5));
            if (std::exchange(s->succeeded, false) && run.id != "-")
            {
                record_.add("server " + run.server + " ran " + run.id + " " +
                            run.text +
                            (run.shape.empty() ? "" : " as " + run.shape) +
                            " (" + (run.is_primary ? "primary" : "replica") +
                            " of term " + std::to_string(run.term) +
                            (run.newest_term > run.term
                                 ? ", a promote to term " +
                                       std::to_string(run.newest_term) +
                                       " had taken effect"
                                 : "") +
                            ")");
                runs_.push_back(std::move(run));
            }
        }
        co_await asio::async_write(
            s->from_vm, asio::buffer(lines),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
    }
    s->close();
}

bool small_deployment::is_replicated(const server_run& run) const
{
    for (unsigned g = 0; g < group_count; ++g)
    {
        const auto& servers = emulator_->group(g).servers();
        if (!servers.contains(run.server))
            continue;
        for (const auto& [id, other] : servers)
            if (id != run.server && other.is_running && other.receives_commits)
                return true;
    }
    return false;
}

void small_deployment::put_server_entry(
    const std::string& id, const std::function<void(json::object&)>& edit)
{
    auto& store = emulator_->store();
    const auto entry = store.read("servers/" + id);
    if (entry.revision == 0)
        return;
    auto fields = json::parse(entry.value).as_object();
    edit(fields);
    fields["Seq"] = next_sequence_++;
    store.write({}, {{entry.key, json::serialize(fields), 0}}, current_time());
}

asio::awaitable<void> small_deployment::send_heartbeats(std::size_t index)
{
    const auto id = emulator_->server_id(index / servers_per_group,
                                         index % servers_per_group);
    co_await sleep_for(milliseconds(heartbeat.count() * index /
                                    (group_count * servers_per_group)));
    for (;;)
    {
        if (!store_away_ && !crashed_.contains(id))
            put_server_entry(id, [](json::object&) {});
        co_await sleep_for(heartbeat);
    }
}

// Servers report a change of their role at once. An old primary gives up a
// second after it can reach the new one.
asio::awaitable<void> small_deployment::follow_roles()
{
    for (;;)
    {
        co_await sleep_for(milliseconds(10));
        for (unsigned g = 0; g < group_count; ++g)
        {
            auto& group = emulator_->group(g);
            const auto now = current_time();
            group.complete_due_promotions(now);
            std::uint64_t newest = 0;
            for (const auto& [id, server] : group.servers())
                if (server.is_primary)
                    newest = std::max(newest, server.term);
            if (newest > std::exchange(newest_terms_[group.name()], newest))
            {
                // A promote ends the pauses of replicas.
                for (auto& [id, server] : group.servers())
                    if (paused_.erase(id) > 0)
                        emulator_->set_replication_stopped(id, false);
                record_.add("group " + group.name() +
                            " has a primary of term " + std::to_string(newest));
            }
            for (auto& [id, server] : group.servers())
            {
                if (!server.is_primary || server.term == newest)
                {
                    superseded_since_.erase(id);
                }
                else if (now - superseded_since_.try_emplace(id, now)
                                   .first->second >=
                         old_primary_time)
                {
                    group.demote(server, newest);
                }
                if (store_away_ || !server.is_running)
                    continue;
                const auto entry = emulator_->store().read("servers/" + id);
                if (entry.revision == 0)
                    continue;
                const char* role = server.is_primary ? "primary" : "replica";
                const auto fields = json::parse(entry.value).as_object();
                if (oleandergrade::string_field(fields, "DbRole") != role)
                    put_server_entry(id, [&](json::object& changed)
                                     { changed["DbRole"] = role; });
            }
        }
    }
}

asio::awaitable<void> small_deployment::release_server(std::string id,
                                                       milliseconds serves_for)
{
    record_.add("server " + id + " reports draining");
    put_server_entry(id, [](json::object& fields)
                     { fields["State"] = "draining"; });
    co_await sleep_for(serves_for);
    record_.add("server " + id + " has ended");
    emulator_->crash(id);
}

void small_deployment::cut_server(const std::string& id, bool is_cut)
{
    record_.add(
        "server " + id +
        (is_cut ? " is partitioned from all VMs" : " is reached again"));
    if (is_cut)
    {
        cut_servers_.insert(id);
        return;
    }
    cut_servers_.erase(id);
    for (const auto& session : silent_sessions_)
        session->close();
    silent_sessions_.clear();
}

asio::awaitable<void> small_deployment::crash_server(std::string id,
                                                     milliseconds away)
{
    record_.add("server " + id + " crashes");
    const auto key = "servers/" + id;
    const auto entry = emulator_->store().read(key);
    emulator_->crash(id);
    // A server that crashes sends nothing; its entry stays for three pings.
    emulator_->store().write({}, {{key, entry.value, 0}}, current_time());
    crashed_.insert(id);
    const auto expires_after = std::min<milliseconds>(heartbeat * 3, away);
    co_await sleep_for(expires_after);
    emulator_->store().write({}, {{key, std::nullopt, 0}}, current_time());
    record_.add("the entry of " + id + " has expired");
    co_await sleep_for(away - expires_after);
    crashed_.erase(id);
    emulator_->restart(id);
    record_.add("server " + id + " is back");
}

void small_deployment::change_configuration(
    const std::function<void(json::object&)>& edit)
{
    auto& store = emulator_->store();
    auto fields = json::parse(store.read("op/config").value).as_object();
    edit(fields);
    const auto version = oleandergrade::unsigned_field(fields, "Version") + 1;
    fields["Version"] = version;
    store.write({}, {{"op/config", json::serialize(fields), 0}},
                current_time());
    record_.add("operator: configuration " + std::to_string(version));
}

// Clients.

void client_session::close()
{
    error_code ignored;
    socket_.close(ignored);
    is_open_ = false;
}

asio::awaitable<std::optional<std::string>> client_session::read_line()
{
    std::array<char, 8192> chunk{};
    for (;;)
    {
        const auto end = buffer_.find("\r\n");
        if (end != std::string::npos)
        {
            auto line = buffer_.substr(0, end);
            buffer_.erase(0, end + 2);
            co_return line;
        }
        error_code failure;
        const auto size = co_await socket_.async_read_some(
            asio::buffer(chunk),
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return std::nullopt;
        buffer_.append(chunk.data(), size);
    }
}

asio::awaitable<bool>
client_session::open(unsigned short port, std::string database, std::string key)
{
    close();
    buffer_.clear();
    error_code failure;
    co_await socket_.async_connect(
        at(port), asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        close();
        co_return false;
    }
    socket_.set_option(tcp::no_delay(true), failure);
    const std::string line = "CONNECT " + database + " " + key + "\r\n";
    co_await asio::async_write(
        socket_, asio::buffer(line),
        asio::redirect_error(asio::use_awaitable, failure));
    const auto answer = co_await read_line();
    is_open_ = answer && answer->starts_with("READY");
    record_.add(name_ + " opens " + database + ": " + answer.value_or("(end)"));
    if (!is_open_)
        close();
    co_return is_open_;
}

asio::awaitable<std::vector<std::string>>
client_session::query(std::string id, std::string text)
{
    const std::string line = "QUERY " + id + " " + text + "\r\n";
    record_.add(name_ + " sends " + id + " " + text);
    error_code failure;
    co_await asio::async_write(
        socket_, asio::buffer(line),
        asio::redirect_error(asio::use_awaitable, failure));
    std::vector<std::string> answer;
    while (!failure)
    {
        auto received = co_await read_line();
        if (!received)
            break;
        answer.push_back(std::move(*received));
        if (answer.back().starts_with("READY"))
        {
            std::string all;
            for (const auto& part : answer)
                all += (all.empty() ? "" : " | ") + part;
            record_.add(name_ + " gets " + id + ": " + all);
            co_return answer;
        }
    }
    record_.add(name_ + " gets " + id + ": (connection ended)");
    close();
    co_return std::vector<std::string>{};
}

bool is_success(const std::vector<std::string>& answer)
{
    for (const auto& line : answer)
        if (line.starts_with("COMPLETE"))
            return true;
    return false;
}

} // namespace review
