#include <oleandergrade/connection/session_token.hpp>

#include <oleandergrade/connection/digest.hpp>
#include <oleandergrade/connection/json_fields.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

constexpr std::size_t signature_digits = 32;

error invalid_token(const std::string& message)
{
    return {error_kind::invalid, "verify session", "", message};
}

std::string signature(const std::string& payload, const std::string& secret)
{
    return hmac_hex(secret, payload).substr(0, signature_digits);
}

} // namespace

session_token session_token::advanced_to(const log_position& seen) const
{
    session_token token = *this;
    if (seen.term > position.term)
        token.unsettled = false;
    token.position.term = std::max(position.term, seen.term);
    token.position.position = std::max(position.position, seen.position);
    return token;
}

session_token session_token::with_unknown_write(std::uint64_t term) const
{
    session_token token = *this;
    token.position.term = std::max(position.term, term);
    token.unsettled = true;
    return token;
}

std::string sign_session_token(const session_token& token,
                               const std::string& secret)
{
    const boost::json::array fields{token.account, token.database,
                                    token.position.term,
                                    token.position.position, token.unsettled};
    const auto payload = to_hex(boost::json::serialize(fields));
    return signature(payload, secret) + payload;
}

result<session_token> verify_session_token(const std::string& text,
                                           const std::string& secret)
{
    if (text.size() <= signature_digits)
        return invalid_token("the token is too short");
    const auto payload = text.substr(signature_digits);
    if (!equal_in_constant_time(text.substr(0, signature_digits),
                                signature(payload, secret)))
        return invalid_token("the signature does not match");
    boost::system::error_code failure;
    const auto value = boost::json::parse(from_hex(payload), failure);
    if (failure || !value.is_array() || value.get_array().size() != 5)
        return invalid_token("the content is not a session token");
    const auto& fields = value.get_array();
    if (!fields[0].is_string() || !fields[1].is_string() ||
        !fields[4].is_bool())
        return invalid_token("a field has the wrong type");
    session_token token;
    token.account = std::string(fields[0].get_string());
    token.database = std::string(fields[1].get_string());
    token.position.term = fields[2].to_number<std::uint64_t>(failure);
    token.position.position = fields[3].to_number<std::uint64_t>(failure);
    token.unsettled = fields[4].get_bool();
    if (failure)
        return invalid_token("a position is not a number");
    return token;
}

} // namespace oleandergrade
