/// Checks that a statement of a caller leaves a VM with the bytes that it came
/// with.
#pragma once

#include <oleandergrade/connection/session_codec.hpp>

#include <string>

namespace fakes
{

/// Parses a message of a caller and, if it is a statement of the protocol,
/// writes it as a VM sends it to a target: after a position, and an EXECUTE
/// under another name. Returns a description of the first byte range or operand
/// that changed otherwise, and an empty text if there is none.
std::string find_changed_statement(const oleandergrade::session_codec& codec,
                                   const std::string& line);

} // namespace fakes
