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

/// Logs that this VM sends a statement to a target. `received` is the text as
/// it came to this VM, `sent` the text as it leaves; `prepared` has the shape
/// of a prepared statement and is empty for others. Logs nothing if the
/// identifier is not among those traced.
void trace_sent_text(const std::string& request, const std::string& target,
                     std::string_view received, std::string_view sent,
                     std::string_view prepared);

/// Logs that this VM has the VM at `address` run a statement.
void trace_forwarded_text(const std::string& request,
                          const std::string& address,
                          std::string_view received);

} // namespace oleandergrade
