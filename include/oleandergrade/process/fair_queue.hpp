/// Orders the work that waits for one target fairly over client accounts.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace oleandergrade
{

/// Bounds of a queue, in statements.
struct fair_queue_limits
{
    std::size_t total = 4096;
    std::size_t per_account = 1024;
};

/// Deficit round robin over accounts by weight. Every statement costs one
/// unit. Deadlines are the caller's, which removes what it gives up.
class fair_queue
{
public:
    explicit fair_queue(fair_queue_limits limits = {});

    /// Adds a statement; false if a limit is reached.
    bool push(std::uint64_t ticket, const std::string& account,
              std::uint64_t weight);

    /// Takes the next statement whose turn it is.
    std::optional<std::uint64_t> pop();

    /// Removes one statement, if it still waits.
    bool remove(std::uint64_t ticket);

    std::size_t size() const { return size_; }

private:
    struct account_queue
    {
        std::uint64_t weight = 1;
        std::uint64_t deficit = 0;
        /// The account stands in `turns_`.
        bool has_turn = false;
        std::deque<std::uint64_t> tickets;
    };

    fair_queue_limits limits_;
    std::map<std::string, account_queue> accounts_;
    /// Accounts in the order of their turns; some may wait for nothing.
    std::deque<std::string> turns_;
    std::size_t size_ = 0;
};

} // namespace oleandergrade
