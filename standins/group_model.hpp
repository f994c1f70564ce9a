/// A replicated database of the platform without its connections: terms, log
/// positions, lag, promotion.
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

/// One committed write.
struct model_commit
{
    oleandergrade::log_position position;
    std::string item;
    std::string data;
    oleandergrade::time_point at;
};

/// One server of the group.
struct model_server
{
    std::string id;
    bool is_running = true;
    bool is_primary = false;
    /// A replica that does not is deaf: commits pass it by.
    bool receives = true;
    std::uint64_t term = 1;
    /// Number of the last commit before the term began.
    std::uint64_t term_begins = 0;
    std::vector<model_commit> log;
    /// Commits that were not acknowledged by a promoted server.
    std::uint64_t rolled_back = 0;
    /// A promotion takes effect at this time.
    std::optional<oleandergrade::time_point> leads_at;
};

/// Replicas receive a commit at once unless they are deaf, and apply it after
/// the lag. Promotion takes effect after a time; the old primary goes on until
/// it is demoted.
class group_model
{
public:
    group_model(std::string name, const std::vector<std::string>& servers,
                oleandergrade::milliseconds lag,
                oleandergrade::milliseconds promotion_time);

    const std::string& name() const { return name_; }
    std::map<std::string, model_server>& servers() { return servers_; }
    const std::map<std::string, model_server>& servers() const
    {
        return servers_;
    }
    model_server* find(const std::string& id);

    /// Position of a server's log as far as it is applied.
    oleandergrade::log_position applied(const model_server& server,
                                        oleandergrade::time_point now) const;
    /// The newest data of an item, or "none".
    std::string read(const model_server& server, const std::string& item,
                     oleandergrade::time_point now) const;
    /// Commits writes at a primary; false if the server does not lead.
    bool commit(model_server& server,
                const std::vector<std::pair<std::string, std::string>>& writes,
                oleandergrade::time_point now);
    /// Commits reach the replica again, those that it missed included.
    void resume(model_server& replica);
    void set_lag(oleandergrade::milliseconds lag) { lag_ = lag; }
    /// False if the server does not run.
    bool promote(const std::string& id, oleandergrade::time_point now);
    void demote(model_server& server, std::uint64_t term);
    /// Carries out promotions whose time has come.
    void advance(oleandergrade::time_point now);
    std::uint64_t promotions() const { return promotions_; }

private:
    static void follow(model_server& replica, const model_server& primary);

    std::string name_;
    std::map<std::string, model_server> servers_;
    oleandergrade::milliseconds lag_;
    oleandergrade::milliseconds promotion_time_;
    std::uint64_t promotions_ = 0;
};

} // namespace standins
