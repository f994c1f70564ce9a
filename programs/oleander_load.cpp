/// Load and experiment tool: sends statements through a fleet, checks every
/// answer from the callers' side, and reports latency and refusals.
#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/version/ini_document.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>

DEFINE_string(entries, "127.0.0.1:7201", "entry VMs, IP:PORT, with commas");
DEFINE_string(databases, "", "databases to use, with commas");
DEFINE_string(keys, "", "file with one 'ACCOUNT KEY' per line");
DEFINE_string(rates, "",
              "requests per second of each account, 'ACCOUNT=RATE' with "
              "commas; accounts not named run as fast as they are answered");
DEFINE_uint32(clients, 4, "sessions of each account");
DEFINE_string(noisy, "", "account that gets ten times the sessions");
DEFINE_double(seconds, 5, "how long to send");
DEFINE_double(writes, 0.2, "share of writes");
DEFINE_double(transactions, 0, "share of interactive transactions");
DEFINE_uint32(max_age_ms, 0, "accepted age of read data; 0 for sessions");
DEFINE_uint32(deadline_ms, 2000, "deadline of each request");
DEFINE_bool(request_ids, true, "give writes a request identifier");
DEFINE_string(direct, "", "send reads straight to this target instead");
DEFINE_uint64(seed, 1, "seed of the random choices");
DEFINE_string(report, "", "write the report as JSON to this file");

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using namespace oleandergrade;

/// Writes to one cell before a session begins a new one.
constexpr unsigned writes_per_cell = 40;
constexpr auto connect_timeout = milliseconds(500);
/// How long an entry VM that does not accept connections is passed over.
constexpr auto avoid_period = milliseconds(1000);

/// What the callers of one account have seen.
struct account_report
{
    std::vector<double> read_ms;
    std::vector<double> write_ms;
    std::map<std::string, std::uint64_t> refusals;
    std::uint64_t ran = 0;
    std::uint64_t unknown = 0;
    /// The slowest answered write, for `oleanderctl explain`.
    double slowest_write_ms = 0;
    std::string slowest_write;
    /// Longest time between two acknowledged writes of one session.
    double longest_write_gap_ms = 0;
};

struct load_report
{
    std::map<std::string, account_report> accounts;
    std::vector<std::string> violations;
    double seconds = 0;
};

double milliseconds_since(time_point start)
{
    const std::chrono::duration<double, std::milli> elapsed =
        clock::now() - start;
    return elapsed.count();
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    return values[index];
}

/// One caller: a session that writes numbers into cells of its own and
/// checks what it reads against what it was told.
class load_session
{
public:
    load_session(asio::io_context& context, std::string name,
                 std::string account, std::string key, std::string database,
                 std::uint64_t seed, load_report& report)
        : context_(context), name_(std::move(name)),
          account_(std::move(account)), key_(std::move(key)),
          database_(std::move(database)), random_(seed), report_(report)
    {
        for (const auto& address : split_list(FLAGS_entries))
            entries_.push_back(
                std::make_unique<http_client>(context.get_executor(), address));
    }

    asio::awaitable<void> run(time_point end, duration interval);

private:
    asio::awaitable<http_client*> choose_entry();
    asio::awaitable<json::object> send(const char* path, json::object body);
    asio::awaitable<void> next_operation(double choice);
    asio::awaitable<void> write();
    asio::awaitable<void> transact();
    void begin_cell_if_full(unsigned numbers);
    asio::awaitable<void> read();
    asio::awaitable<void> read_direct();
    void check(const std::string& value);
    void violation(const std::string& text);
    std::string cell() const { return name_ + "/" + std::to_string(cell_); }
    account_report& mine() { return report_.accounts[account_]; }

    asio::io_context& context_;
    std::string name_;
    std::string account_;
    std::string key_;
    std::string database_;
    std::mt19937_64 random_;
    load_report& report_;
    std::vector<std::unique_ptr<http_client>> entries_;
    std::map<http_client*, time_point> avoid_until_;
    std::string session_;
    unsigned cell_ = 0;
    unsigned next_number_ = 0;
    std::set<unsigned> acknowledged_;
    std::set<unsigned> unknown_;
    time_point last_acknowledged_;
};

asio::awaitable<void> load_session::run(time_point end, duration interval)
{
    std::uniform_real_distribution<double> share(0, 1);
    auto next = clock::now() +
                std::chrono::duration_cast<duration>(interval * share(random_));
    while (clock::now() < end)
    {
        if (interval > duration::zero())
        {
            if (next > clock::now())
                co_await sleep_for(next - clock::now());
            next += interval;
        }
        if (!FLAGS_direct.empty())
            co_await read_direct();
        else
            co_await next_operation(share(random_));
    }
}

asio::awaitable<void> load_session::next_operation(double choice)
{
    if (choice < FLAGS_writes)
        co_await write();
    else if (choice < FLAGS_writes + FLAGS_transactions)
        co_await transact();
    else
        co_await read();
}

void load_session::begin_cell_if_full(unsigned numbers)
{
    if (next_number_ + numbers <= writes_per_cell)
        return;
    ++cell_;
    next_number_ = 0;
    acknowledged_.clear();
    unknown_.clear();
}

// Appends two numbers through different VMs. They must both appear or neither
// of them, and never after a rollback.
asio::awaitable<void> load_session::transact()
{
    begin_cell_if_full(2);
    json::object begin;
    const auto begun = co_await send("/v1/begin", std::move(begin));
    const auto transaction = text_field(begun, "transaction");
    if (transaction.empty())
        co_return;
    const auto first = next_number_;
    next_number_ += 2;
    bool is_whole = true;
    for (const auto number : {first, first + 1})
    {
        json::object statement{{"key", cell()},
                               {"append", std::to_string(number) + ";"}};
        json::object body{{"statement", std::move(statement)},
                          {"transaction", transaction}};
        const auto written =
            co_await send("/v1/transaction/write", std::move(body));
        is_whole = is_whole && text_field(written, "run") == "ran";
    }
    const bool commits = is_whole && random_() % 4 != 0;
    json::object end{{"transaction", transaction}};
    const auto ended =
        co_await send(commits ? "/v1/commit" : "/v1/rollback", std::move(end));
    if (!commits)
        co_return;
    const auto run = text_field(ended, "run");
    if (run == "not_run")
        co_return;
    auto& numbers = run == "ran" ? acknowledged_ : unknown_;
    numbers.insert(first);
    numbers.insert(first + 1);
}

asio::awaitable<json::object> load_session::send(const char* path,
                                                 json::object body)
{
    auto* client = co_await choose_entry();
    if (client == nullptr)
    {
        ++mine().refusals["no_entry"];
        co_return json::object{{"run", "not_run"}, {"code", "no_entry"}};
    }
    body["database"] = database_;
    body["deadline_ms"] = FLAGS_deadline_ms;
    if (!session_.empty())
        body["session"] = session_;
    http_request request;
    request.path = path;
    request.key = key_;
    request.body = json::serialize(body);
    auto outcome = co_await client->exchange(
        std::move(request), milliseconds(FLAGS_deadline_ms + 1000));
    json::object answer;
    if (succeeded(outcome))
    {
        const auto parsed = parse_json_object(value_of(outcome).body);
        if (succeeded(parsed))
            answer = value_of(parsed);
    }
    else
    {
        const bool sent = error_of(outcome).kind != error_kind::unreachable;
        answer["run"] = sent ? "outcome_unknown" : "not_run";
        answer["code"] = sent ? "caller_connection_lost" : "caller_connect";
    }
    const auto session = text_field(answer, "session");
    if (!session.empty())
        session_ = session;
    const auto run = text_field(answer, "run");
    if (run == "ran")
        ++mine().ran;
    else
        ++mine().refusals[text_field(answer, "code", "invalid")];
    if (run == "outcome_unknown")
        ++mine().unknown;
    if (run == "not_run")
    {
        const auto pause = number_field(answer, "retry_after_ms");
        if (pause > 0)
            co_await sleep_for(milliseconds(pause));
    }
    co_return answer;
}

// Takes the balancer's place: passes over entry VMs that do not accept a
// connection, or that end the one they have.
asio::awaitable<http_client*> load_session::choose_entry()
{
    for (std::size_t i = 0; i < entries_.size() * 2; ++i)
    {
        auto& client = *entries_[random_() % entries_.size()];
        if (client.is_reusable())
            co_return &client;
        if (avoid_until_[&client] > clock::now())
            continue;
        const auto connected = co_await client.connect(connect_timeout);
        if (succeeded(connected))
            co_return &client;
        avoid_until_[&client] = clock::now() + avoid_period;
    }
    co_return nullptr;
}

asio::awaitable<void> load_session::write()
{
    begin_cell_if_full(1);
    const auto number = next_number_++;
    json::object statement{{"key", cell()},
                           {"append", std::to_string(number) + ";"}};
    json::object body{{"statement", std::move(statement)}};
    if (FLAGS_request_ids)
        body["request_id"] = cell() + "#" + std::to_string(number);
    const auto started_at = clock::now();
    const auto answer = co_await send("/v1/write", std::move(body));
    const auto run = text_field(answer, "run");
    if (run == "outcome_unknown")
        unknown_.insert(number);
    if (run != "ran")
        co_return;
    acknowledged_.insert(number);
    const auto elapsed_ms = milliseconds_since(started_at);
    mine().write_ms.push_back(elapsed_ms);
    if (elapsed_ms > mine().slowest_write_ms)
    {
        mine().slowest_write_ms = elapsed_ms;
        mine().slowest_write = text_field(answer, "request");
    }
    if (last_acknowledged_ != time_point{})
        mine().longest_write_gap_ms =
            std::max(mine().longest_write_gap_ms,
                     milliseconds_since(last_acknowledged_));
    last_acknowledged_ = clock::now();
}

asio::awaitable<void> load_session::read()
{
    json::object statement{{"key", cell()}};
    json::object body{{"statement", std::move(statement)}};
    if (FLAGS_max_age_ms > 0)
        body["max_age_ms"] = FLAGS_max_age_ms;
    const auto started_at = clock::now();
    const auto answer = co_await send("/v1/read", std::move(body));
    if (text_field(answer, "run") != "ran")
        co_return;
    mine().read_ms.push_back(milliseconds_since(started_at));
    check(text_field(answer, "value"));
}

asio::awaitable<void> load_session::read_direct()
{
    if (entries_.front()->address() != FLAGS_direct)
    {
        entries_.clear();
        entries_.push_back(std::make_unique<http_client>(
            context_.get_executor(), FLAGS_direct));
    }
    http_request request;
    request.path = "/read";
    const json::object statement{{"key", cell()}};
    request.body = json::serialize(
        json::object{{"term", 1}, {"statement", json::serialize(statement)}});
    const auto started_at = clock::now();
    const auto outcome = co_await entries_.front()->exchange(
        std::move(request), milliseconds(FLAGS_deadline_ms));
    if (!succeeded(outcome) || value_of(outcome).status != 200)
    {
        ++mine().refusals["direct"];
        co_return;
    }
    ++mine().ran;
    mine().read_ms.push_back(milliseconds_since(started_at));
}

// Each number stands in the cell as often as the answers allow: once if it
// was acknowledged, at most once if its outcome is unknown, never otherwise.
void load_session::check(const std::string& value)
{
    std::map<unsigned, unsigned> seen;
    std::istringstream numbers(value);
    std::string item;
    while (std::getline(numbers, item, ';'))
        ++seen[static_cast<unsigned>(std::stoul(item))];
    for (const auto number : acknowledged_)
        if (!seen.contains(number))
            violation("acknowledged write " + std::to_string(number) +
                      " is missing");
    for (const auto& [number, count] : seen)
    {
        if (count > 1)
            violation("write " + std::to_string(number) + " ran " +
                      std::to_string(count) + " times");
        if (!acknowledged_.contains(number) && !unknown_.contains(number))
            violation("write " + std::to_string(number) +
                      " ran although it was refused as not run");
    }
}

void load_session::violation(const std::string& text)
{
    report_.violations.push_back(database_ + " " + cell() + ": " + text);
}

std::vector<std::pair<std::string, std::string>> read_keys()
{
    std::vector<std::pair<std::string, std::string>> keys;
    std::ifstream file(FLAGS_keys);
    std::string account;
    std::string key;
    while (file >> account >> key)
        keys.emplace_back(account, key);
    return keys;
}

std::map<std::string, double> parse_rates()
{
    std::map<std::string, double> rates;
    for (const auto& item : split_list(FLAGS_rates))
    {
        const auto equals = item.find('=');
        if (equals != std::string::npos)
            rates[item.substr(0, equals)] = std::stod(item.substr(equals + 1));
    }
    return rates;
}

json::object to_json(const load_report& report)
{
    json::object accounts;
    for (const auto& [name, account] : report.accounts)
    {
        json::object refusals;
        for (const auto& [code, count] : account.refusals)
            refusals[code] = count;
        accounts[name] = json::object{
            {"ran", account.ran},
            {"per_second", static_cast<double>(account.ran) / report.seconds},
            {"unknown", account.unknown},
            {"refusals", std::move(refusals)},
            {"read_p50_ms", percentile(account.read_ms, 0.5)},
            {"read_p99_ms", percentile(account.read_ms, 0.99)},
            {"write_p50_ms", percentile(account.write_ms, 0.5)},
            {"write_p99_ms", percentile(account.write_ms, 0.99)},
            {"slowest_write_ms", account.slowest_write_ms},
            {"slowest_write", account.slowest_write},
            {"longest_write_gap_ms", account.longest_write_gap_ms}};
    }
    json::array violations;
    for (const auto& text : report.violations)
        violations.push_back(json::value(text));
    return {{"seconds", report.seconds},
            {"accounts", std::move(accounts)},
            {"violations", std::move(violations)}};
}

void print(const load_report& report)
{
    std::cout << "account              ran/s    read p50/p99 ms   write "
                 "p50/p99 ms   gap ms   refused\n";
    for (const auto& [name, account] : report.accounts)
    {
        std::uint64_t refused = 0;
        std::string codes;
        for (const auto& [code, count] : account.refusals)
        {
            refused += count;
            codes += " " + code + "=" + std::to_string(count);
        }
        std::printf(
            "%-18s %8.1f   %7.2f %7.2f   %7.2f %7.2f   %7.0f   "
            "%llu%s\n",
            name.c_str(), static_cast<double>(account.ran) / report.seconds,
            percentile(account.read_ms, 0.5), percentile(account.read_ms, 0.99),
            percentile(account.write_ms, 0.5),
            percentile(account.write_ms, 0.99), account.longest_write_gap_ms,
            static_cast<unsigned long long>(refused), codes.c_str());
    }
    std::fflush(stdout);
    std::cout << "violations: " << report.violations.size() << "\n";
    for (const auto& text : report.violations)
        std::cout << "  " << text << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("oleander-load --entries ... --keys FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto keys = read_keys();
    const auto databases = split_list(FLAGS_databases);
    if ((keys.empty() && FLAGS_direct.empty()) || databases.empty())
    {
        std::cerr << "give --keys FILE and --databases NAMES\n";
        return 2;
    }
    const auto rates = parse_rates();
    asio::io_context context(1);
    load_report report;
    std::vector<std::unique_ptr<load_session>> sessions;
    const auto started_at = clock::now();
    const auto end =
        started_at + std::chrono::duration_cast<duration>(
                         std::chrono::duration<double>(FLAGS_seconds));
    std::uint64_t seed = FLAGS_seed;
    const auto run_number = std::to_string(std::random_device()());
    auto users = keys;
    if (users.empty())
        users.emplace_back("direct", "");
    for (const auto& [account, key] : users)
    {
        const auto rate = rates.find(account);
        const auto clients =
            account == FLAGS_noisy ? FLAGS_clients * 10 : FLAGS_clients;
        const auto interval =
            rate == rates.end()
                ? duration::zero()
                : std::chrono::duration_cast<duration>(
                      std::chrono::duration<double>(clients / rate->second));
        for (unsigned i = 0; i < clients; ++i)
        {
            const auto name =
                run_number + "/" + account + "/" + std::to_string(i);
            sessions.push_back(std::make_unique<load_session>(
                context, name, account, key, databases[i % databases.size()],
                ++seed, report));
            asio::co_spawn(context, sessions.back()->run(end, interval),
                           asio::detached);
        }
    }
    context.run();
    report.seconds = milliseconds_since(started_at) / 1000;
    print(report);
    if (!FLAGS_report.empty())
        std::ofstream(FLAGS_report) << json::serialize(to_json(report)) << "\n";
    return report.violations.empty() ? 0 : 1;
}
