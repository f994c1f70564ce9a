/// The process that runs on every VM of a fleet on the platform.
#pragma once

#include <oleandergrade/connection/http_server.hpp>
#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/membership/fleet_service.hpp>
#include <oleandergrade/process/own_settings.hpp>
#include <oleandergrade/process/serving/http_entry.hpp>
#include <oleandergrade/process/serving/session_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oleandergrade
{

/// Starts the parts, answers for readiness and metrics, and stops in order:
/// it reports itself as not ready, ends sessions as they become idle, and ends
/// before the time to stop is over.
class vm_daemon
{
public:
    /// Between the report that a VM is not ready and the moment from which the
    /// platform leads new sessions elsewhere: two of its questions, one a
    /// second.
    static constexpr milliseconds rotation_time{2200};

    /// Reads the settings again; used at SIGHUP.
    using settings_reader = std::function<result<vm_settings>()>;

    vm_daemon(boost::asio::io_context& context, vm_settings settings,
              const own_settings& own, platform_parts& platform,
              settings_reader read_settings);

    /// Starts the parts. Throws boost::system::system_error if an address is
    /// taken.
    void start();
    /// Starts the parts and runs until the process was asked to stop.
    void run();
    bool is_ready() const;

private:
    void start_http();
    boost::asio::awaitable<http_response> serve_readiness(http_request request);
    boost::asio::awaitable<http_response> serve_metrics(http_request request);
    boost::asio::awaitable<void> close_isolated_sessions();
    boost::asio::awaitable<void> wait_for_signals();
    boost::asio::awaitable<void> stop();
    void reload();
    std::string metrics_text() const;
    std::string state_text() const;

    boost::asio::io_context& context_;
    settings_reader read_settings_;
    fleet_state state_;
    serving_metrics measured_;
    statement_runner runner_;
    fleet_service fleet_;
    session_server sessions_;
    /// Null if callers' HTTP requests are not taken.
    std::unique_ptr<http_entry> http_entry_;
    std::unique_ptr<http_server> readiness_;
    std::unique_ptr<http_server> metrics_;
    boost::asio::signal_set signals_;
};

} // namespace oleandergrade
