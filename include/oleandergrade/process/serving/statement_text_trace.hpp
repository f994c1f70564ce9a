/// Log lines from which operators see whether the text of a statement stayed
/// the same on its way from the caller to the target.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace oleandergrade
{

/// Returns the length and a digest of a text, such as "13-9f86d081884c7d65".
/// Texts with different fingerprints differ. The digest tells nothing of long
/// texts; short ones can be guessed from it.
std::string text_fingerprint(std::string_view text);

/// Whether the texts of statements with this identifier are logged: one in 32,
/// and the same ones at all VMs, so that the lines of two VMs can be compared.
bool is_text_traced(std::string_view request);

/// A statement that this VM sends to a target.
struct sent_text
{
    const std::string& request;
    const std::string& target;
    /// The text as it came to this VM and as it leaves, without the name of a
    /// prepared statement.
    std::string_view received;
    std::string_view sent;
    /// Name and shape of the prepared statement at the target; empty for other
    /// statements.
    std::string_view name;
    std::string_view shape;
};

/// Logs the fingerprints. Logs nothing if the identifier is not among those
/// traced.
void trace_sent_text(const sent_text& text);

/// Logs that this VM has the VM at `address` run a statement. `received` is its
/// text without the name of a prepared statement.
void trace_forwarded_text(const std::string& request,
                          const std::string& address,
                          std::string_view received);

} // namespace oleandergrade
