#include "group_model.hpp"

#include <algorithm>

namespace standins
{
using oleandergrade::log_position;
using oleandergrade::milliseconds;
using oleandergrade::time_point;

group_model::group_model(std::string name,
                         const std::vector<std::string>& server_ids,
                         milliseconds replication_lag,
                         milliseconds promotion_delay)
    : name_(std::move(name)), replication_lag_(replication_lag),
      promotion_delay_(promotion_delay)
{
    for (const auto& id : server_ids)
    {
        group_server server;
        server.id = id;
        server.is_primary = servers_.empty();
        servers_[id] = server;
    }
}

group_server* group_model::find_server(const std::string& id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

log_position group_model::applied_position(const group_server& server,
                                           time_point now) const
{
    log_position position{1, 0};
    for (const auto& commit : server.log)
        if (server.is_primary || commit.committed_at + replication_lag_ <= now)
            position = commit.position;
    // A replica that has not yet applied all commits before the term still
    // reports the term of the last commit that it has applied.
    if (position.index >= server.last_position_before_term)
        position.term = server.term;
    return position;
}

std::string group_model::read(const group_server& server,
                              const std::string& item, time_point now) const
{
    for (auto it = server.log.rbegin(); it != server.log.rend(); ++it)
        if (it->item == item &&
            (server.is_primary || it->committed_at + replication_lag_ <= now))
            return it->data;
    return "none";
}

bool group_model::commit(
    group_server& server,
    const std::vector<std::pair<std::string, std::string>>& writes,
    time_point now)
{
    if (!server.is_primary)
        return false;
    const auto position =
        server.log.empty() ? 1 : server.log.back().position.index + 1;
    for (const auto& [item, data] : writes)
    {
        const committed_write commit{{server.term, position}, item, data, now};
        server.log.push_back(commit);
        for (auto& [id, replica] : servers_)
        {
            if (id == server.id || !replica.is_running ||
                !replica.receives_commits || replica.term != server.term ||
                replica.is_primary)
                continue;
            // A replica that has missed commits receives these first.
            if (replica.log.size() + 1 == server.log.size())
                replica.log.push_back(commit);
            else
                replica.log = server.log;
        }
    }
    return true;
}

void group_model::resume_replication(group_server& replica)
{
    replica.receives_commits = true;
    if (replica.is_primary)
        return;
    for (const auto& [id, other] : servers_)
        if (other.is_running && other.is_primary && other.term >= replica.term)
        {
            copy_term_and_log(replica, other);
        }
}

bool group_model::promote(const std::string& id, time_point now)
{
    auto* server = find_server(id);
    if (server == nullptr || !server->is_running)
        return false;
    if (!server->is_primary && !server->promotion_due_at)
        server->promotion_due_at = now + promotion_delay_;
    return true;
}

void group_model::copy_term_and_log(group_server& replica,
                                    const group_server& primary)
{
    replica.term = primary.term;
    replica.last_position_before_term = primary.last_position_before_term;
    replica.log = primary.log;
}

void group_model::demote(group_server& server, std::uint64_t term)
{
    if (!server.is_primary || server.term >= term)
        return;
    server.is_primary = false;
    server.term = term;
    for (const auto& [id, other] : servers_)
        if (other.is_primary && other.term == term)
            copy_term_and_log(server, other);
}

void group_model::complete_due_promotions(time_point now)
{
    for (auto& [id, server] : servers_)
    {
        if (!server.promotion_due_at || now < *server.promotion_due_at)
            continue;
        server.promotion_due_at.reset();
        std::uint64_t term = 0;
        for (const auto& [other_id, other] : servers_)
            term = std::max(term, other.term);
        server.term = term + 1;
        server.last_position_before_term =
            server.log.empty() ? 0 : server.log.back().position.index;
        server.is_primary = true;
        ++completed_promotions_;
        for (auto& [other_id, other] : servers_)
        {
            if (other_id == id || other.is_primary || !other.is_running ||
                !other.receives_commits)
                continue;
            other.discarded_writes += other.log.size() > server.log.size()
                                          ? other.log.size() - server.log.size()
                                          : 0;
            copy_term_and_log(other, server);
        }
    }
}

} // namespace standins
