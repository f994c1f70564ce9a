/// The entry role of one process: serves callers.
#pragma once

#include <oleandergrade/process/admission_service.hpp>
#include <oleandergrade/process/owner_service.hpp>
#include <oleandergrade/process/peer_directory.hpp>
#include <oleandergrade/process/process_context.hpp>
#include <oleandergrade/request/caller_request.hpp>
#include <oleandergrade/request/retry_policy.hpp>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace oleandergrade
{

/// One per worker; runs on that worker's executor.
class entry_service
{
public:
    entry_service(process_context& context, admission_service& admission,
                  owner_service& owner, peer_directory& peers);

    /// Answers one request of a caller.
    boost::asio::awaitable<http_response> serve(http_request request);

    /// Health checks fail from now on; requests are still served.
    void set_leaving() { leaving_ = true; }

private:
    /// A request on its way through the entry VM.
    struct request_state
    {
        std::string number;
        statement sent;
        std::optional<session_token> session;
        time_point deadline;
        /// An earlier attempt may have run.
        bool may_have_run = false;
        std::vector<std::string> excluded;
        unsigned attempts = 0;
    };

    boost::asio::awaitable<http_response> serve_statement(http_request request,
                                                          statement_kind kind);
    boost::asio::awaitable<void> await_freshness(time_point deadline);
    std::optional<answer> identify(request_state& state,
                                   const std::string& key);
    boost::asio::awaitable<std::optional<answer>> admit(request_state& state);
    std::optional<answer> take_in_session(request_state& state,
                                          const std::string& text);
    boost::asio::awaitable<answer> run(request_state& state);
    boost::asio::awaitable<answer> run_in_transaction(request_state& state);
    boost::asio::awaitable<std::optional<answer>>
    choose_route(request_state& state, route& chosen);
    boost::asio::awaitable<answer> forward(request_state& state,
                                           const route& chosen);
    boost::asio::awaitable<answer> call_owner(const vm& owner, statement sent);
    void learn(const request_state& state, const route& chosen,
               const answer& outcome);
    boost::asio::awaitable<bool> prepare_retry(request_state& state,
                                               const answer& refusal);
    boost::asio::awaitable<void> sleep_unless_led_anew(const statement& sent,
                                                       duration delay);
    std::string session_after(const request_state& state,
                              const answer& outcome) const;
    void trace(const request_state& state, std::string text);

    process_context& context_;
    admission_service& admission_;
    owner_service& owner_;
    peer_directory& peers_;
    retry_budget budget_;
    std::minstd_rand random_;
    std::size_t waiting_for_primary_ = 0;
    std::uint64_t next_number_ = 1;
    std::string number_prefix_;
    std::atomic<bool> leaving_{false};
};

} // namespace oleandergrade
