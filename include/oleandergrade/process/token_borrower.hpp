/// Admits requests by tokens borrowed from the banks. Pure decision logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/process/token_messages.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A request for tokens on its way to the bank of a failure domain.
struct borrow_call
{
    std::string lender_domain;
    token_request request;

    bool operator==(const borrow_call&) const = default;
};

/// The end of a wait for admission.
struct admission_result
{
    std::uint64_t ticket = 0;
    bool admitted = false;
    /// When to come back, if not admitted.
    milliseconds retry_after{0};

    bool operator==(const admission_result&) const = default;
};

/// Holds borrowed tokens per account, spends them on requests, and asks the
/// own domain's bank first and the other banks when that one runs short.
/// Not synchronized; holds no clock.
class token_borrower
{
public:
    /// `lenders` lists all failure domains, the own one first.
    token_borrower(std::string self, std::vector<std::string> lenders);

    /// Replaces the failure domains whose banks are asked.
    void use_lenders(std::vector<std::string> lenders);

    /// Spends a token for a request or queues it until `wait_until`. Returns
    /// whether the request was admitted at once.
    bool admit(std::uint64_t ticket, const std::string& account,
               time_point wait_until, time_point now);

    /// Calls to make now for all accounts. Each must be followed by
    /// `on_grant` or `on_failure`.
    std::vector<borrow_call> due_calls(time_point now);
    /// Calls to make now for one account.
    std::vector<borrow_call> due_calls(const std::string& account,
                                       time_point now);

    void on_grant(const std::string& lender_domain, const borrow_call& call,
                  const token_grant& grant, time_point sent_at, time_point now);
    void on_failure(const std::string& lender_domain, const borrow_call& call,
                    time_point now);

    /// Ends the waits whose time is over.
    void end_overdue_waits(time_point now);
    /// Waits that have ended since the last call.
    std::vector<admission_result> take_results();

    std::size_t waiting(const std::string& account) const;

private:
    struct held_batch
    {
        std::string lender;
        std::uint64_t batch = 0;
        std::uint32_t units = 0;
        std::uint32_t spent = 0;
        std::uint32_t returned = 0;
        bool unreported = false;
        time_point received_at;
        time_point valid_until;

        std::uint32_t left() const { return units - spent - returned; }
    };
    struct waiting_request
    {
        std::uint64_t ticket = 0;
        time_point wait_until;
    };
    struct lender_state
    {
        std::uint32_t asked = 0;
        bool in_flight = false;
        time_point not_before;
    };
    struct account_state
    {
        std::deque<held_batch> batches;
        std::deque<waiting_request> waiting;
        std::map<std::string, lender_state> lenders;
        /// Recent arrivals per second.
        double arrival_rate = 0;
        std::uint32_t window_arrivals = 0;
        time_point window_start;
        time_point last_arrival;
        time_point last_report;
    };

    bool spend(account_state& account, time_point now);
    void admit_waiting(account_state& account, time_point now);
    void count_arrival(account_state& account, time_point now);
    void return_idle_tokens(account_state& account, time_point now);
    void add_due(const std::string& name, account_state& account,
                 time_point now, std::vector<borrow_call>& calls);
    void add_calls(const std::string& name, account_state& account,
                   time_point now, std::vector<borrow_call>& calls);
    void add_reports(const std::string& name, account_state& account,
                     time_point now, std::vector<borrow_call>& calls);
    borrow_call make_call(const std::string& name, account_state& account,
                          const std::string& lender, std::uint32_t wanted);
    std::uint32_t stock(const account_state& account, time_point now) const;

    std::string self_;
    std::vector<std::string> lenders_;
    std::map<std::string, account_state> accounts_;
    std::vector<admission_result> results_;
};

} // namespace oleandergrade
