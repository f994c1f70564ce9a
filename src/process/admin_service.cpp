#include <oleandergrade/process/admin_service.hpp>

#include <oleandergrade/connection/digest.hpp>
#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/connection/json_response.hpp>
#include <oleandergrade/version/key_check.hpp>

namespace oleandergrade
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto explain_timeout = milliseconds(500);
constexpr std::size_t session_secret_bytes = 32;

http_response failure_response(const error& failure)
{
    const unsigned status = failure.kind == error_kind::conflict  ? 409
                            : failure.kind == error_kind::invalid ? 400
                                                                  : 503;
    return json_response(status, {{"error", failure.message},
                                  {"kind", to_string(failure.kind)},
                                  {"step", failure.step},
                                  {"peer", failure.peer}});
}

http_response problems_response(const std::vector<ini_problem>& problems)
{
    json::array lines;
    for (const auto& problem : problems)
        lines.push_back(json::value(to_string(problem)));
    return json_response(400, {{"error", "the file has problems"},
                               {"kind", "invalid"},
                               {"step", "check"},
                               {"peer", ""},
                               {"problems", std::move(lines)}});
}

} // namespace

const admin_service::route admin_service::routes[] = {
    {"/admin/dump", &admin_service::serve_dump},
    {"/admin/status", &admin_service::serve_status},
    {"/admin/stats", &admin_service::serve_stats},
    {"/admin/configuration", &admin_service::serve_configuration},
    {"/admin/apply", &admin_service::serve_apply},
    {"/admin/key/issue", &admin_service::serve_key_issue},
    {"/admin/key/withdraw", &admin_service::serve_key_withdraw},
    {"/admin/explain", &admin_service::serve_explain},
};

admin_service::admin_service(process_context& context, owner_service& owner,
                             bank_service& bank, control_service& control,
                             peer_directory& peers)
    : context_(context), owner_(owner), bank_(bank), control_(control),
      peers_(peers)
{
}

asio::awaitable<http_response> admin_service::serve(http_request request)
{
    const auto parsed = parse_json_object(request.body);
    if (!succeeded(parsed))
        co_return failure_response(error_of(parsed));
    for (const auto& known : routes)
        if (request.path == known.path)
            co_return co_await (this->*known.serve)(value_of(parsed));
    co_return json_response(404, {{"error", "no such path"},
                                  {"kind", "invalid"},
                                  {"step", "find path"},
                                  {"peer", ""}});
}

asio::awaitable<http_response> admin_service::serve_dump(const json::object&)
{
    auto body = control_.dump();
    body["owned"] = co_await owner_.dump();
    body["bank"] = bank_.dump(clock::now());
    body["stats"] = json::parse(context_.measured.to_json());
    co_return json_response(200, body);
}

asio::awaitable<http_response> admin_service::serve_status(const json::object&)
{
    auto body = control_.dump();
    json::array owned;
    for (const auto& name : owner_.owned_targets())
        owned.push_back(json::value(name));
    body["owned"] = std::move(owned);
    co_return json_response(200, body);
}

asio::awaitable<http_response> admin_service::serve_stats(const json::object&)
{
    http_response response;
    response.body = context_.measured.to_json();
    co_return response;
}

asio::awaitable<http_response>
admin_service::serve_configuration(const json::object&)
{
    const auto configuration = context_.view.current_configuration();
    json::array keys;
    for (const auto& [id, key] : configuration->keys)
        keys.push_back(json::object{{"id", id},
                                    {"account", key.account},
                                    {"withdrawn", key.withdrawn}});
    co_return json_response(200, {{"version", configuration->version},
                                  {"text", configuration->text},
                                  {"keys", std::move(keys)}});
}

asio::awaitable<http_response>
admin_service::serve_apply(const json::object& body)
{
    std::vector<ini_problem> problems;
    auto next = parse_configuration(text_field(body, "file", "configuration"),
                                    text_field(body, "text"), problems);
    if (!problems.empty())
        co_return problems_response(problems);
    const auto current = context_.view.current_configuration();
    next.keys = current->keys;
    next.session_secret = current->session_secret;
    if (next.session_secret.empty())
        next.session_secret = random_hex(session_secret_bytes);
    const auto expected = number_field(body, "expected", current->version);
    json::object answer;
    co_return co_await apply(std::move(next), expected, std::move(answer));
}

asio::awaitable<http_response>
admin_service::serve_key_issue(const json::object& body)
{
    const auto account = text_field(body, "account");
    auto next = *context_.view.current_configuration();
    if (next.find_account(account) == nullptr)
        co_return failure_response({error_kind::invalid, "find account",
                                    account, "the account is not configured"});
    const auto issued = issue_key(account);
    next.keys[issued.record.id] = issued.record;
    const auto expected = next.version;
    json::object answer{{"key", issued.clear_text}, {"id", issued.record.id}};
    co_return co_await apply(std::move(next), expected, std::move(answer));
}

asio::awaitable<http_response>
admin_service::serve_key_withdraw(const json::object& body)
{
    const auto id = text_field(body, "id");
    auto next = *context_.view.current_configuration();
    const auto found = next.keys.find(id);
    if (found == next.keys.end())
        co_return failure_response({error_kind::invalid, "find key", id,
                                    "no key has this identifier"});
    found->second.withdrawn = true;
    const auto expected = next.version;
    json::object answer{{"id", id}};
    co_return co_await apply(std::move(next), expected, std::move(answer));
}

asio::awaitable<http_response> admin_service::apply(configuration next,
                                                    std::uint64_t expected,
                                                    json::object answer)
{
    const auto outcome = co_await control_.apply(std::move(next), expected);
    if (!succeeded(outcome))
        co_return failure_response(error_of(outcome));
    answer["version"] = value_of(outcome);
    co_return json_response(200, answer);
}

asio::awaitable<http_response>
admin_service::serve_explain(const json::object& body)
{
    const auto number = text_field(body, "request");
    json::array nodes;
    const auto own = context_.traces.find_json(number);
    nodes.push_back(json::object{{"node", context_.own.node},
                                 {"events", json::parse(own)}});
    const auto vms = context_.view.vms();
    for (const auto& peer : vms->vms)
    {
        if (peer.id == context_.own.node)
            continue;
        peer_body question = trace_request{number};
        auto outcome =
            co_await peers_.call(peer, std::move(question), explain_timeout);
        const auto* reply = succeeded(outcome)
                                ? std::get_if<trace_reply>(&value_of(outcome))
                                : nullptr;
        if (reply != nullptr)
            nodes.push_back(json::object{
                {"node", peer.id}, {"events", json::parse(reply->events)}});
    }
    co_return json_response(200,
                            {{"request", number}, {"nodes", std::move(nodes)}});
}

} // namespace oleandergrade
