/// Model of one group of replicated database servers, without network
/// connections: terms, log positions, replication lag and promotions.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/session_message.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins
{

/// One committed write. The writes of one transaction share a log position.
struct committed_write
{
    oleandergrade::log_position position;
    std::string item;
    std::string data;
    /// Time of the commit at the primary.
    oleandergrade::time_point committed_at;
};

/// State of one database server of the group.
struct group_server
{
    std::string id;
    bool is_running = true;
    bool is_primary = false;
    /// Whether commits of the primary reach this replica. While they don't, the
    /// replica misses them.
    bool receives_commits = true;
    /// Term of the primary that this server is or follows.
    std::uint64_t term = 1;
    /// Position of the last commit before the term began; 0 if there is none.
    std::uint64_t last_position_before_term = 0;
    /// Received commits, oldest first.
    std::vector<committed_write> log;
    /// Number of writes by which this replica's log was longer than the log of
    /// a promoted server that replaced it; the sum over all promotions.
    std::uint64_t discarded_writes = 0;
    /// Time at which an ordered promotion takes effect; no value if none is
    /// under way.
    std::optional<oleandergrade::time_point> promotion_due_at;
};

/// A group of one primary and its replicas. A replica whose replication is not
/// stopped receives each commit at once and applies it after the replication
/// lag. A promotion takes effect after a fixed delay. The old primary keeps its
/// role and accepts commits until it is demoted, so a group may have two
/// primaries with different terms. The caller passes in the current time.
class group_model
{
public:
    /// The first server becomes the primary.
    group_model(std::string name, const std::vector<std::string>& server_ids,
                oleandergrade::milliseconds replication_lag,
                oleandergrade::milliseconds promotion_delay);

    const std::string& name() const { return name_; }
    std::map<std::string, group_server>& servers() { return servers_; }
    const std::map<std::string, group_server>& servers() const
    {
        return servers_;
    }
    /// Returns null if the group has no such server.
    group_server* find_server(const std::string& id);

    /// Returns the position up to which a server has applied its log. A primary
    /// applies each commit at once.
    oleandergrade::log_position
    applied_position(const group_server& server,
                     oleandergrade::time_point now) const;
    /// Returns the newest data of an item that the server has applied, or
    /// "none".
    std::string read(const group_server& server, const std::string& item,
                     oleandergrade::time_point now) const;
    /// Commits writes at a primary under one log position. Returns false,
    /// without effect, if the server is not a primary.
    bool commit(group_server& server,
                const std::vector<std::pair<std::string, std::string>>& writes,
                oleandergrade::time_point now);
    /// Resumes replication to a server. A replica receives at once the commits
    /// that it missed.
    void resume_replication(group_server& replica);
    void set_replication_lag(oleandergrade::milliseconds replication_lag)
    {
        replication_lag_ = replication_lag;
    }
    /// Orders a promotion, which takes effect after the promotion delay.
    /// Returns false if the server is unknown or does not run. Succeeds without
    /// effect if the server is a primary or its promotion is under way.
    bool promote(const std::string& id, oleandergrade::time_point now);
    /// Makes a primary with a term below `term` a replica. It takes over the
    /// log of the primary of that term, if there is one.
    void demote(group_server& server, std::uint64_t term);
    /// Completes the promotions that are due. Each begins a new term, and
    /// running replicas whose replication is not stopped take over the new
    /// primary's log.
    void complete_due_promotions(oleandergrade::time_point now);
    /// Number of completed promotions.
    std::uint64_t completed_promotions() const { return completed_promotions_; }

private:
    /// Replaces the term and the log of a replica by those of the primary.
    static void copy_term_and_log(group_server& replica,
                                  const group_server& primary);

    std::string name_;
    std::map<std::string, group_server> servers_;
    oleandergrade::milliseconds replication_lag_;
    oleandergrade::milliseconds promotion_delay_;
    std::uint64_t completed_promotions_ = 0;
};

} // namespace standins
