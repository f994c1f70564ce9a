/// Errors with the operation and the peer at which they occurred, and a result
/// type that holds a value or an error.
#pragma once

#include <oleandergrade/clock.hpp>

#include <string>
#include <utility>
#include <variant>

namespace oleandergrade
{

/// What went wrong, in the distinctions that callers need to decide whether to
/// retry.
enum class error_kind
{
    /// The peer could not be connected to; nothing was sent.
    unreachable,
    /// The connection broke after something was sent.
    broken,
    /// No answer arrived before the deadline.
    timeout,
    /// The peer answered that it does not execute the request.
    refused,
    /// The input does not have the expected form.
    invalid,
    /// A compare-and-swap found another revision than expected.
    conflict,
    /// The message is larger than the peer reads; nothing was sent.
    too_large
};

/// Describes one failure. Not changed after it was created.
struct error
{
    error_kind kind = error_kind::invalid;
    /// The operation that failed, such as "connect" or "fence".
    std::string step;
    /// Name or address of the peer; empty for local failures.
    std::string peer;
    std::string message;
    /// How long the peer asked to wait before the next request; 0 if it did not
    /// ask.
    milliseconds retry_after{0};

    bool operator==(const error&) const = default;
};

/// Returns the name of an error kind as written in answers and logs. These
/// names must not change.
const char* to_string(error_kind kind);

/// Returns one line for logs: "step (peer): message [kind]".
std::string to_string(const error& failure);

/// Either a value or the error that prevented it.
template <typename T> using result = std::variant<T, error>;

/// Returns whether there is a value.
template <typename T> bool succeeded(const result<T>& outcome)
{
    return std::holds_alternative<T>(outcome);
}

/// Return the value or the error; throw std::bad_variant_access if the result
/// holds the other one.
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
