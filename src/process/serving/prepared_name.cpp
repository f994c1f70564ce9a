#include <oleandergrade/process/serving/prepared_name.hpp>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace oleandergrade
{

namespace
{

constexpr std::size_t max_literal_length = 64;

bool is_ascii_alphanumeric(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
           (c >= 'a' && c <= 'z');
}

bool can_be_literal(std::string_view shape)
{
    return shape.size() <= max_literal_length &&
           std::all_of(shape.begin(), shape.end(), is_ascii_alphanumeric);
}

// Callers choose the shapes, so the digest must be cryptographic.
std::string hexadecimal_digest(std::string_view text)
{
    constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
    std::string encoded;
    for (const auto byte : digest)
    {
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

} // namespace

std::string prepared_name_at_target(const prepared_statement& statement)
{
    const std::string kind = statement.writes ? "w" : "r";
    // The second letter tells the two forms apart.
    return can_be_literal(statement.shape)
               ? kind + "l" + statement.shape
               : kind + "d" + hexadecimal_digest(statement.shape);
}

} // namespace oleandergrade
