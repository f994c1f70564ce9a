/// The bank role of one process, for callers on several threads.
#pragma once

#include <oleandergrade/process/token_bank.hpp>
#include <oleandergrade/version/configuration.hpp>

#include <boost/json/object.hpp>

#include <array>
#include <mutex>

namespace oleandergrade
{

/// Token buckets in shards by account, each under its own lock. Open while
/// this VM leads its failure domain.
class bank_service
{
public:
    /// Gives every account's bucket this domain's share of the limits.
    void use_configuration(const configuration& value);

    /// Takes in until when this VM leads, and since when without a gap.
    void update_lead(time_point leading_since, time_point leads_until,
                     time_point now);

    token_grant lend(const token_request& request, time_point now);
    bool is_open(time_point now) const;
    boost::json::object dump(time_point now);

private:
    static constexpr std::size_t shard_count = 8;

    struct shard
    {
        std::mutex mutex;
        token_bank bank;
    };

    shard& shard_of(const std::string& account);

    mutable std::mutex mutex_;
    time_point usable_until_;
    time_point closed_at_;
    bool open_ = false;
    std::vector<std::string> accounts_;
    std::array<shard, shard_count> shards_;
};

} // namespace oleandergrade
