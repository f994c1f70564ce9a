#include <oleandergrade/version/key_check.hpp>

#include <oleandergrade/connection/digest.hpp>

namespace oleandergrade
{

namespace
{

constexpr std::size_t id_bytes = 6;
constexpr std::size_t secret_bytes = 24;
constexpr std::size_t salt_bytes = 16;

std::string key_hash(const std::string& salt, const std::string& secret)
{
    return sha256_hex(salt + secret);
}

} // namespace

issued_key issue_key(const std::string& account)
{
    issued_key key;
    const auto secret = random_hex(secret_bytes);
    key.record.id = random_hex(id_bytes);
    key.record.account = account;
    key.record.salt = random_hex(salt_bytes);
    key.record.hash = key_hash(key.record.salt, secret);
    key.clear_text = key.record.id + "." + secret;
    return key;
}

key_decision check_key(const configuration& configuration,
                       const std::string& presented)
{
    key_decision decision;
    decision.refusal = refusal_code::unknown_key;
    const auto dot = presented.find('.');
    if (dot == std::string::npos)
        return decision;
    const auto found = configuration.keys.find(presented.substr(0, dot));
    if (found == configuration.keys.end())
        return decision;
    const auto& record = found->second;
    const auto hash = key_hash(record.salt, presented.substr(dot + 1));
    if (!equal_in_constant_time(hash, record.hash))
        return decision;
    if (record.withdrawn)
    {
        decision.refusal = refusal_code::key_withdrawn;
        return decision;
    }
    if (configuration.find_account(record.account) == nullptr)
        return decision;
    decision.refusal = refusal_code::none;
    decision.account = record.account;
    decision.key_id = record.id;
    return decision;
}

bool is_key_withdrawn(const configuration& configuration,
                      const std::string& key_id)
{
    const auto found = configuration.keys.find(key_id);
    return found != configuration.keys.end() &&
           (found->second.withdrawn ||
            configuration.find_account(found->second.account) == nullptr);
}

} // namespace oleandergrade
