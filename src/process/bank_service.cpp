#include <oleandergrade/process/bank_service.hpp>

#include <algorithm>
#include <functional>

namespace oleandergrade
{

namespace
{

/// Batches lent by an earlier holder have lapsed after this time.
constexpr auto opening_delay =
    token_bank::batch_validity + token_bank::lapse_margin;

account_limits share_of(const client_account& account, std::size_t domains)
{
    const auto count = static_cast<double>(std::max<std::size_t>(domains, 1));
    return {static_cast<double>(account.rate) / count,
            static_cast<double>(account.burst) / count};
}

} // namespace

void bank_service::use_configuration(const configuration& value)
{
    const auto now = clock::now();
    std::array<std::map<std::string, account_limits>, shard_count> parts;
    std::vector<std::string> names;
    for (const auto& [name, account] : value.accounts)
    {
        const auto index = std::hash<std::string>()(name) % shard_count;
        parts[index][name] = share_of(account, value.failure_domains.size());
        names.push_back(name);
    }
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        const std::lock_guard lock(shards_[i].mutex);
        shards_[i].bank.use_limits(parts[i], now);
    }
    const std::lock_guard lock(mutex_);
    accounts_ = std::move(names);
}

void bank_service::update_lead(time_point leading_since, time_point leads_until,
                               time_point now)
{
    const std::lock_guard lock(mutex_);
    const bool lapsed = open_ && now >= usable_until_;
    usable_until_ = leads_until;
    if (lapsed || (open_ && now >= leads_until))
    {
        open_ = false;
        closed_at_ = now;
        for (auto& part : shards_)
        {
            const std::lock_guard part_lock(part.mutex);
            part.bank.close();
        }
    }
    const auto opens_at = std::max(leading_since, closed_at_) + opening_delay;
    if (open_ || now >= leads_until || now < opens_at)
        return;
    open_ = true;
    for (auto& part : shards_)
    {
        const std::lock_guard part_lock(part.mutex);
        part.bank.open(now);
    }
}

token_grant bank_service::lend(const token_request& request, time_point now)
{
    if (!is_open(now))
    {
        token_grant refusal;
        refusal.account = request.account;
        return refusal;
    }
    auto& part = shard_of(request.account);
    const std::lock_guard lock(part.mutex);
    return part.bank.lend(request, now);
}

bool bank_service::is_open(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return open_ && now < usable_until_;
}

boost::json::object bank_service::dump(time_point now)
{
    std::vector<std::string> names;
    {
        const std::lock_guard lock(mutex_);
        names = accounts_;
    }
    boost::json::object object{{"open", is_open(now)}};
    boost::json::object buckets;
    for (const auto& name : names)
    {
        auto& part = shard_of(name);
        const std::lock_guard lock(part.mutex);
        buckets[name] =
            boost::json::object{{"available", part.bank.available(name, now)},
                                {"lent", part.bank.outstanding(name)}};
    }
    object["buckets"] = std::move(buckets);
    return object;
}

bank_service::shard& bank_service::shard_of(const std::string& account)
{
    return shards_[std::hash<std::string>()(account) % shard_count];
}

} // namespace oleandergrade
