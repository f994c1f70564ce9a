/// Messages by which rate-limit tokens are lent and accounted for.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Tokens are counted in thousandths, so that banks which each hold a part of
/// a token can serve a request together.
inline constexpr std::uint32_t units_per_request = 1000;

/// What became of a batch of lent tokens. The counts are totals, so that a
/// repeated report changes nothing.
struct token_report
{
    std::uint64_t batch = 0;
    /// Units.
    std::uint32_t spent = 0;
    std::uint32_t returned = 0;

    bool operator==(const token_report&) const = default;
};

/// A borrower's wish for tokens of one client account.
struct token_request
{
    std::string borrower;
    std::string account;
    /// Units.
    std::uint32_t wanted = 0;
    std::vector<token_report> reports;

    bool operator==(const token_request&) const = default;
};

/// A lender's answer. Units are void `validity` after the request was sent.
struct token_grant
{
    std::string account;
    std::uint64_t batch = 0;
    std::uint32_t units = 0;
    milliseconds validity{0};
    /// When more units can be expected, if there were too few.
    milliseconds retry_after{0};
    /// False if the lender does not hold the bank.
    bool accepted = false;

    bool operator==(const token_grant&) const = default;
};

} // namespace oleandergrade
