/// Errors that carry the step and the peer at which they arose.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace oleandergrade
{

/// What went wrong, as far as a caller's next step depends on it.
enum class error_kind
{
    /// The peer could not be connected to; nothing was sent.
    unreachable,
    /// The connection broke after something was sent.
    broken,
    /// No answer came before the deadline.
    timeout,
    /// The peer answered and refused.
    refused,
    /// The input does not have the expected form.
    invalid,
    /// A compare-and-swap found another revision.
    conflict
};

/// An immutable description of one failure.
struct error
{
    error_kind kind = error_kind::invalid;
    /// The operation that failed, such as "connect" or "fence".
    std::string step;
    /// Name or address of the other side; empty for local failures.
    std::string peer;
    std::string message;

    bool operator==(const error&) const = default;
};

/// Stable name of an error kind, as written in answers and logs.
const char* to_string(error_kind kind);

/// One line for logs: "step (peer): message [kind]".
std::string to_string(const error& failure);

/// Either a value or the error that prevented it.
template <typename T> using result = std::variant<T, error>;

template <typename T> bool succeeded(const result<T>& outcome)
{
    return std::holds_alternative<T>(outcome);
}

template <typename T> T& value_of(result<T>& outcome)
{
    return std::get<T>(outcome);
}

template <typename T> const T& value_of(const result<T>& outcome)
{
    return std::get<T>(outcome);
}

template <typename T> const error& error_of(const result<T>& outcome)
{
    return std::get<error>(outcome);
}

} // namespace oleandergrade
