#include <oleandergrade/connection/digest.hpp>

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

namespace oleandergrade
{

namespace
{
using digest_bytes = std::array<unsigned char, 32>;

std::string hex_of(const digest_bytes& bytes)
{
    return to_hex({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}
} // namespace

std::string to_hex(const std::string& data)
{
    std::string text;
    text.reserve(data.size() * 2);
    boost::algorithm::hex_lower(data, std::back_inserter(text));
    return text;
}

std::string from_hex(const std::string& text)
{
    try
    {
        return boost::algorithm::unhex(text);
    }
    catch (const boost::algorithm::hex_decode_error&)
    {
        return "";
    }
}

std::string sha256_hex(const std::string& data)
{
    digest_bytes bytes{};
    EVP_Digest(data.data(), data.size(), bytes.data(), nullptr, EVP_sha256(),
               nullptr);
    return hex_of(bytes);
}

std::string hmac_hex(const std::string& secret, const std::string& data)
{
    digest_bytes bytes{};
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         bytes.data(), nullptr);
    return hex_of(bytes);
}

bool equal_in_constant_time(const std::string& left, const std::string& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(std::size_t bytes)
{
    std::string data(bytes, '\0');
    const auto size = static_cast<int>(bytes);
    if (RAND_bytes(reinterpret_cast<unsigned char*>(data.data()), size) != 1)
        throw std::runtime_error("the system has no random bytes");
    return to_hex(data);
}

} // namespace oleandergrade
