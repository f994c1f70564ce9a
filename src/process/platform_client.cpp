#include <oleandergrade/process/platform_client.hpp>

#include <oleandergrade/connection/http_client.hpp>
#include <oleandergrade/connection/json_fields.hpp>

#include <deque>

namespace oleandergrade
{
namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto call_timeout = milliseconds(1000);

class http_platform_client : public platform_client
{
public:
    http_platform_client(const asio::any_io_executor& executor,
                         std::string address, std::string failure_domain)
        : executor_(executor), address_(std::move(address)),
          failure_domain_(std::move(failure_domain))
    {
    }

    asio::awaitable<result<platform_value>> get(std::string key) override
    {
        json::object body{{"key", key}};
        auto outcome = co_await call("get", std::move(body), call_timeout, 404);
        if (!succeeded(outcome))
            co_return error_of(outcome);
        const auto& found = value_of(outcome);
        co_return platform_value{key, text_field(found, "value"),
                                 number_field(found, "revision")};
    }

    asio::awaitable<result<std::vector<platform_value>>>
    list(std::string prefix) override
    {
        json::object body{{"prefix", prefix}};
        auto outcome = co_await call("list", std::move(body), call_timeout);
        if (!succeeded(outcome))
            co_return error_of(outcome);
        std::vector<platform_value> values;
        const auto* items = value_of(outcome).if_contains("items");
        if (items == nullptr || !items->is_array())
            co_return invalid("list");
        for (const auto& item : items->get_array())
        {
            if (!item.is_object())
                co_return invalid("list");
            const auto& fields = item.get_object();
            values.push_back({text_field(fields, "key"),
                              text_field(fields, "value"),
                              number_field(fields, "revision")});
        }
        co_return values;
    }

    asio::awaitable<result<std::uint64_t>>
    compare_and_swap(std::string key, std::uint64_t expected, std::string value,
                     milliseconds lease) override
    {
        json::object body{{"key", key},
                          {"expected", expected},
                          {"value", value},
                          {"lease_ms", lease.count()}};
        auto outcome = co_await call("cas", std::move(body), call_timeout);
        if (!succeeded(outcome))
            co_return error_of(outcome);
        co_return number_field(value_of(outcome), "revision");
    }

    asio::awaitable<result<bool>> renew(std::string key, std::uint64_t revision,
                                        milliseconds lease) override
    {
        json::object body{
            {"key", key}, {"revision", revision}, {"lease_ms", lease.count()}};
        auto outcome = co_await call("renew", std::move(body), call_timeout);
        if (!succeeded(outcome))
            co_return error_of(outcome);
        co_return true;
    }

    asio::awaitable<result<std::uint64_t>>
    watch(std::string prefix, std::uint64_t after, milliseconds wait) override
    {
        json::object body{
            {"prefix", prefix}, {"after", after}, {"wait_ms", wait.count()}};
        auto outcome =
            co_await call("watch", std::move(body), wait + call_timeout);
        if (!succeeded(outcome))
            co_return error_of(outcome);
        co_return number_field(value_of(outcome), "revision");
    }

    asio::awaitable<result<std::string>> vms() override
    {
        json::object body;
        auto outcome = co_await call("vms", std::move(body), call_timeout);
        if (!succeeded(outcome))
            co_return error_of(outcome);
        co_return json::serialize(value_of(outcome));
    }

private:
    error invalid(const char* step) const
    {
        return {error_kind::invalid, std::string("platform ") + step, address_,
                "unexpected answer"};
    }

    // Keeps idle connections for later calls, so that calls may overlap.
    std::unique_ptr<http_client> take_connection()
    {
        if (idle_.empty())
            return std::make_unique<http_client>(executor_, address_);
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        return connection;
    }

    asio::awaitable<result<json::object>> call(const char* step,
                                               json::object body,
                                               duration timeout,
                                               unsigned also_accepted = 200)
    {
        body["domain"] = failure_domain_;
        http_request request;
        request.path = std::string("/") + step;
        request.body = json::serialize(body);
        auto connection = take_connection();
        auto outcome =
            co_await connection->exchange(std::move(request), timeout);
        if (!succeeded(outcome))
        {
            auto failure = error_of(outcome);
            failure.step = std::string("platform ") + step;
            co_return failure;
        }
        idle_.push_back(std::move(connection));
        const auto& response = value_of(outcome);
        if (response.status == 409)
            co_return error{error_kind::conflict,
                            std::string("platform ") + step, address_,
                            "the revision has changed"};
        auto parsed = parse_json_object(response.body);
        if (!succeeded(parsed) ||
            (response.status != 200 && response.status != also_accepted))
            co_return invalid(step);
        co_return std::move(value_of(parsed));
    }

    asio::any_io_executor executor_;
    std::string address_;
    std::string failure_domain_;
    std::vector<std::unique_ptr<http_client>> idle_;
};

} // namespace

std::unique_ptr<platform_client>
make_platform_client(const asio::any_io_executor& executor,
                     const std::string& address,
                     const std::string& failure_domain)
{
    return std::make_unique<http_platform_client>(executor, address,
                                                  failure_domain);
}

} // namespace oleandergrade
