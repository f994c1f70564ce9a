#include <oleandergrade/connection/target_connection.hpp>

#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/json_fields.hpp>

#include <algorithm>
#include <array>

namespace oleandergrade
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto refused_retry_after = milliseconds(20);

const char* path_of(statement_kind kind)
{
    switch (kind)
    {
    case statement_kind::read:
    case statement_kind::transaction_read:
        return "/read";
    case statement_kind::write:
    case statement_kind::transaction_write:
        return "/write";
    case statement_kind::begin:
        return "/begin";
    case statement_kind::commit:
        return "/commit";
    case statement_kind::rollback:
        return "/rollback";
    }
    return "/read";
}

/// Request identifiers of different accounts never meet.
std::string scoped_request_id(const statement& sent)
{
    return sent.request_id.empty() ? "" : sent.account + "/" + sent.request_id;
}

http_request to_http(const statement& sent)
{
    http_request request;
    request.path = path_of(sent.kind);
    request.body =
        json::serialize(json::object{{"term", sent.term},
                                     {"account", sent.account},
                                     {"statement", sent.text},
                                     {"request_id", scoped_request_id(sent)},
                                     {"min_position", sent.min_position},
                                     {"max_age_ms", sent.max_age.count()}});
    return request;
}

struct target_error
{
    const char* name;
    refusal_code code;
};

constexpr std::array target_errors{
    target_error{"wrong_term", refusal_code::wrong_term},
    target_error{"not_primary", refusal_code::wrong_term},
    target_error{"behind", refusal_code::behind},
    target_error{"too_many_connections", refusal_code::target_refused},
    target_error{"bad_statement", refusal_code::bad_request},
};

answer to_refusal(const json::object& body, const std::string& step,
                  const std::string& peer)
{
    const auto name = text_field(body, "error");
    const auto* known = std::find_if(target_errors.begin(), target_errors.end(),
                                     [&](const target_error& entry)
                                     { return name == entry.name; });
    const auto code = known == target_errors.end()
                          ? refusal_code::target_refused
                          : known->code;
    auto refusal = refuse(code, step, peer, "the target answered " + name,
                          refused_retry_after);
    refusal.position.term = number_field(body, "term");
    return refusal;
}

answer to_refusal(const error& failure, const statement& sent,
                  const std::string& peer)
{
    const std::string step = std::string("execute ") + to_string(sent.kind);
    if (failure.kind == error_kind::unreachable ||
        failure.kind == error_kind::invalid)
        return refuse(refusal_code::target_unreachable, failure.step, peer,
                      failure.message, refused_retry_after);
    return unknown_outcome(refusal_code::connection_lost, step, peer,
                           failure.message);
}

class http_target_connection : public target_connection
{
public:
    http_target_connection(const asio::any_io_executor& executor,
                           std::string name, const std::string& address)
        : name_(std::move(name)), client_(executor, address)
    {
    }

    asio::awaitable<answer> execute(const statement& sent,
                                    duration timeout) override
    {
        auto outcome = co_await client_.exchange(to_http(sent), timeout);
        if (!succeeded(outcome))
            co_return to_refusal(error_of(outcome), sent, name_);
        const auto& response = value_of(outcome);
        const auto parsed = parse_json_object(response.body);
        if (!succeeded(parsed))
        {
            client_.close();
            co_return to_refusal(error_of(parsed), sent, name_);
        }
        const auto& body = value_of(parsed);
        if (response.status != 200)
            co_return to_refusal(
                body, std::string("execute ") + to_string(sent.kind), name_);
        answer done;
        done.run = run_status::ran;
        done.value = text_field(body, "value");
        done.position = {number_field(body, "term"),
                         number_field(body, "position")};
        done.repeated = flag_field(body, "repeated");
        done.served_by = name_;
        co_return done;
    }

    // An exchange, since a server may take its time after accepting.
    asio::awaitable<result<bool>> open(duration timeout) override
    {
        http_request request;
        request.path = "/rollback";
        auto outcome = co_await client_.exchange(std::move(request), timeout);
        if (!succeeded(outcome))
            co_return error_of(outcome);
        co_return client_.is_open();
    }

    bool is_reusable() override { return client_.is_reusable(); }

private:
    std::string name_;
    http_client client_;
};

class http_target_control : public target_control
{
public:
    http_target_control(const asio::any_io_executor& executor,
                        const std::string& address)
        : client_(executor, address)
    {
    }

    asio::awaitable<result<target_status>> status(duration timeout) override
    {
        return command("/status", {}, timeout);
    }

    asio::awaitable<result<target_status>> progress(std::uint64_t term,
                                                    std::uint64_t confirmed,
                                                    milliseconds wait,
                                                    duration timeout) override
    {
        return command("/progress",
                       {{"term", term},
                        {"confirmed", confirmed},
                        {"wait_ms", wait.count()}},
                       timeout);
    }

    asio::awaitable<result<target_status>> fence(std::uint64_t term,
                                                 const std::string& coordinator,
                                                 duration timeout) override
    {
        return command("/fence", {{"term", term}, {"coordinator", coordinator}},
                       timeout);
    }

    asio::awaitable<result<target_status>>
    promote(std::uint64_t term, const std::string& coordinator,
            duration timeout) override
    {
        return command("/promote",
                       {{"term", term}, {"coordinator", coordinator}}, timeout);
    }

    asio::awaitable<result<target_status>>
    follow(std::uint64_t term, const std::string& primary_address,
           duration timeout) override
    {
        return command("/follow",
                       {{"term", term}, {"primary", primary_address}}, timeout);
    }

private:
    asio::awaitable<result<target_status>>
    command(std::string path, json::object body, duration timeout)
    {
        http_request request;
        request.path = path;
        request.body = json::serialize(body);
        auto outcome = co_await client_.exchange(std::move(request), timeout);
        if (!succeeded(outcome))
        {
            auto failure = error_of(outcome);
            failure.step = path.substr(1);
            co_return failure;
        }
        const auto parsed = parse_json_object(value_of(outcome).body);
        if (!succeeded(parsed) || value_of(outcome).status != 200)
            co_return error{error_kind::refused, path.substr(1),
                            client_.address(), "unexpected answer"};
        co_return parse_status(value_of(parsed));
    }

    static target_status parse_status(const json::object& body)
    {
        target_status status;
        status.term = number_field(body, "term");
        status.primary = flag_field(body, "primary");
        status.following = text_field(body, "following");
        status.position = number_field(body, "position");
        status.last_log_term = number_field(body, "last_log_term");
        status.applied = number_field(body, "applied");
        status.confirmed = number_field(body, "confirmed");
        status.granted = flag_field(body, "granted");
        if (body.contains("primary_contact_age_ms"))
            status.primary_contact_age =
                milliseconds(number_field(body, "primary_contact_age_ms"));
        return status;
    }

    http_client client_;
};

} // namespace

bool confirms(const target_status& status, const log_position& written)
{
    return status.primary && status.term == written.term &&
           status.confirmed >= written.position;
}

std::unique_ptr<target_connection>
make_target_connection(const asio::any_io_executor& executor,
                       const std::string& name, const std::string& address)
{
    return std::make_unique<http_target_connection>(executor, name, address);
}

std::unique_ptr<target_control>
make_target_control(const asio::any_io_executor& executor,
                    const std::string& address)
{
    return std::make_unique<http_target_control>(executor, address);
}

} // namespace oleandergrade
