/// Orders the work that waits for one target fairly over client accounts.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Bounds of a queue, in statements.
struct fair_queue_limits
{
    std::size_t total = 4096;
    std::size_t per_account = 1024;
};

/// Deficit round robin over accounts by weight. Every statement costs one
/// unit. Holds no clock: the time is passed in.
class fair_queue
{
public:
    explicit fair_queue(fair_queue_limits limits = {});

    /// Adds a statement; false if a limit is reached.
    bool push(std::uint64_t ticket, const std::string& account,
              std::uint64_t weight, time_point deadline);

    /// Takes the next statement whose turn it is.
    std::optional<std::uint64_t> pop();

    /// Removes and returns the statements whose deadline has passed.
    std::vector<std::uint64_t> remove_expired(time_point now);

    /// Removes one statement, if it still waits.
    bool remove(std::uint64_t ticket);

    std::size_t size() const { return size_; }
    std::size_t size_of(const std::string& account) const;

private:
    struct entry
    {
        std::uint64_t ticket = 0;
        time_point deadline;
    };
    struct account_queue
    {
        std::uint64_t weight = 1;
        std::uint64_t deficit = 0;
        /// The account stands in `turns_`.
        bool has_turn = false;
        std::deque<entry> entries;
    };

    fair_queue_limits limits_;
    std::map<std::string, account_queue> accounts_;
    /// Accounts in the order of their turns; some may wait for nothing.
    std::deque<std::string> turns_;
    std::size_t size_ = 0;
};

} // namespace oleandergrade
