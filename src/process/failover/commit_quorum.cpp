#include <oleandergrade/process/failover/commit_quorum.hpp>

#include <algorithm>

namespace oleandergrade
{

namespace
{

bool is_same_process(const target_record& target,
                     const counted_replica& replica)
{
    return target.id == replica.id && target.started_at == replica.started_at;
}

/// Whether the target has the log of the replica.
bool has_log_of(const target_record& target, const counted_replica& replica)
{
    return is_same_process(target, replica) ||
           (replica.has_drained && target.id != replica.id &&
            target.address == replica.address);
}

} // namespace

void commit_quorum::observe(const std::vector<target_record>& registered,
                            const std::string& primary,
                            std::uint32_t synchronous_replicas)
{
    for (const auto& target : registered)
    {
        if (target.id == primary)
            continue;
        const auto found =
            std::find_if(state_.replicas.begin(), state_.replicas.end(),
                         [&](const counted_replica& replica)
                         { return is_same_process(target, replica); });
        if (found != state_.replicas.end())
            found->has_drained = found->has_drained || target.is_draining;
        else
            state_.replicas.push_back({target.id, target.started_at,
                                       target.address, target.is_draining});
    }
    std::erase_if(state_.replicas,
                  [&](const counted_replica& replica)
                  {
                      return std::any_of(registered.begin(), registered.end(),
                                         [&](const target_record& target) {
                                             return !is_same_process(target,
                                                                     replica) &&
                                                    has_log_of(target, replica);
                                         });
                  });
    std::sort(state_.replicas.begin(), state_.replicas.end());
    number_in_force_ = synchronous_replicas;
    auto& lowest = state_.synchronous_replicas;
    if (synchronous_replicas == 0 || lowest == 0)
        lowest = synchronous_replicas;
    lowest = std::min(lowest, synchronous_replicas);
}

void commit_quorum::begin_term(const std::string& primary,
                               const counted_replica& former_primary)
{
    state_.synchronous_replicas = number_in_force_;
    std::erase_if(state_.replicas, [&](const counted_replica& replica)
                  { return replica.id == primary; });
    if (former_primary.id.empty() || former_primary.id == primary)
        return;
    state_.replicas.push_back(former_primary);
    std::sort(state_.replicas.begin(), state_.replicas.end());
}

std::vector<std::string> commit_quorum::missing(
    const std::vector<target_record>& registered,
    const std::function<bool(const std::string&)>& has_read) const
{
    if (!is_synchronous())
        return {};
    std::vector<std::string> unread;
    for (const auto& replica : state_.replicas)
        if (std::none_of(registered.begin(), registered.end(),
                         [&](const target_record& target) {
                             return has_log_of(target, replica) &&
                                    has_read(target.id);
                         }))
            unread.push_back(replica.id);
    // One of n - k + 1 logs is enough, so k - 1 may be missing.
    const auto read_count = state_.replicas.size() - unread.size();
    if (read_count > 0 && unread.size() < state_.synchronous_replicas)
        return {};
    return unread;
}

std::vector<counted_replica>
commit_quorum::departed(const std::vector<target_record>& registered) const
{
    std::vector<counted_replica> gone;
    std::copy_if(state_.replicas.begin(), state_.replicas.end(),
                 std::back_inserter(gone),
                 [&](const counted_replica& replica)
                 {
                     return std::none_of(registered.begin(), registered.end(),
                                         [&](const target_record& target) {
                                             return has_log_of(target, replica);
                                         });
                 });
    return gone;
}

void commit_quorum::remove(const counted_replica& replica)
{
    std::erase(state_.replicas, replica);
}

} // namespace oleandergrade
