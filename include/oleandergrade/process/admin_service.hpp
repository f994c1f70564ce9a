/// Answers the operators' tool.
#pragma once

#include <oleandergrade/connection/http_message.hpp>
#include <oleandergrade/process/bank_service.hpp>
#include <oleandergrade/process/control_service.hpp>
#include <oleandergrade/process/owner_service.hpp>
#include <oleandergrade/process/peer_directory.hpp>
#include <oleandergrade/process/process_context.hpp>

#include <boost/asio/awaitable.hpp>

namespace oleandergrade
{

/// Runs on the executor of the control service.
class admin_service
{
public:
    admin_service(process_context& context, owner_service& owner,
                  bank_service& bank, control_service& control,
                  peer_directory& peers);

    boost::asio::awaitable<http_response> serve(http_request request);

private:
    using handler = boost::asio::awaitable<http_response> (admin_service::*)(
        const boost::json::object& body);
    struct route
    {
        const char* path;
        handler serve;
    };
    static const route routes[];

    boost::asio::awaitable<http_response>
    serve_dump(const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_status(const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_stats(const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_configuration(const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_apply(const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_key_issue(const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_key_withdraw(const boost::json::object& body);
    boost::asio::awaitable<http_response>
    serve_explain(const boost::json::object& body);
    boost::asio::awaitable<http_response> apply(configuration next,
                                                std::uint64_t expected,
                                                boost::json::object answer);

    process_context& context_;
    owner_service& owner_;
    bank_service& bank_;
    control_service& control_;
    peer_directory& peers_;
};

} // namespace oleandergrade
