/// The process that runs on every VM of the fleet.
#pragma once

#include <oleandergrade/connection/http_server.hpp>
#include <oleandergrade/process/fleet_state.hpp>
#include <oleandergrade/process/forwarding/forwarded_statement_server.hpp>
#include <oleandergrade/process/forwarding/statement_forwarder.hpp>
#include <oleandergrade/process/membership/fleet_service.hpp>
#include <oleandergrade/process/own_settings.hpp>
#include <oleandergrade/process/serving/http_statement_server.hpp>
#include <oleandergrade/process/serving/session_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oleandergrade
{

/// Creates and starts the parts of the process, serves readiness and metrics,
/// and shuts down gracefully: it reports itself as not ready, closes sessions
/// as they become idle, and ends before the stop timeout.
class vm_daemon
{
public:
    /// Time from the moment a VM is no longer ready until the platform routes
    /// new sessions to other VMs: two of its readiness checks, which it sends
    /// once per second.
    static constexpr milliseconds readiness_propagation_delay{2200};

    /// Reads the settings again; called on SIGHUP.
    using settings_reader = std::function<result<vm_settings>()>;

    vm_daemon(boost::asio::io_context& context, vm_settings settings,
              const own_settings& own, platform_parts& platform,
              settings_reader read_settings);

    /// Starts the parts. Throws boost::system::system_error if an address is
    /// already in use.
    void start();
    /// Starts the parts and runs until SIGTERM or SIGINT has ended the process
    /// gracefully.
    void run();
    /// Stops serving: reports the VM as not ready, ends its leadership and lets
    /// the statements under way end. The process may end once this has
    /// returned, which it does before the stop timeout. To be called once.
    boost::asio::awaitable<void> shut_down();
    /// Returns whether this VM can serve callers: it is not stopping, has a
    /// configuration, targets and a valid grant, and is not isolated.
    bool is_ready() const;

private:
    void start_http();
    /// Connects the parts that forward statements with the links between VMs.
    void start_forwarding();
    boost::asio::awaitable<http_response> serve_readiness(http_request request);
    boost::asio::awaitable<http_response> serve_metrics(http_request request);
    /// Closes idle sessions once the platform routes new ones elsewhere, unless
    /// this VM is no longer isolated.
    boost::asio::awaitable<void> close_idle_sessions_while_isolated();
    boost::asio::awaitable<void> wait_for_signals();
    /// Whether a session is open or an HTTP request is unanswered.
    bool is_busy() const;
    /// Waits until `end`, or until the VM is not busy after `earliest_end`.
    boost::asio::awaitable<void> sleep_while_busy(time_point end,
                                                  time_point earliest_end);
    /// Rolls back the transactions that have no statement under way.
    void fail_idle_transactions();
    /// Applies those settings that can change while the process runs.
    void reload_settings();
    std::string metrics_text() const;
    /// Returns the metrics of forwarded statements.
    std::string forwarding_metrics_text() const;
    /// Returns the state dump in JSON.
    std::string state_text() const;

    boost::asio::io_context& context_;
    settings_reader read_settings_;
    fleet_state state_;
    serving_metrics metrics_;
    statement_runner statement_runner_;
    statement_forwarder statement_forwarder_;
    forwarded_statement_server forwarded_statement_server_;
    fleet_service fleet_service_;
    session_server session_server_;
    /// Null if callers' HTTP requests are not accepted.
    std::unique_ptr<http_statement_server> http_statement_server_;
    std::unique_ptr<http_server> readiness_server_;
    std::unique_ptr<http_server> metrics_server_;
    boost::asio::signal_set signals_;
};

} // namespace oleandergrade
