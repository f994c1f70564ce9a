/// Digests, signatures and random identifiers, from OpenSSL.
#pragma once

#include <string>

namespace oleandergrade
{

/// SHA-256 as hexadecimal digits.
std::string sha256_hex(const std::string& data);
/// HMAC-SHA-256 as hexadecimal digits.
std::string hmac_hex(const std::string& secret, const std::string& data);
/// Compares in a time that depends on the lengths only.
bool equal_in_constant_time(const std::string& left, const std::string& right);
/// Random bytes from the operating system, as hexadecimal digits.
std::string random_hex(std::size_t bytes);
std::string to_hex(const std::string& data);
/// Empty if the text is not hexadecimal.
std::string from_hex(const std::string& text);

} // namespace oleandergrade
