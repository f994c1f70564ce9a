/// Chooses the target that serves a statement. Pure decision logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/session_token.hpp>
#include <oleandergrade/request/statement.hpp>
#include <oleandergrade/version/configuration.hpp>
#include <oleandergrade/version/group_record.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oleandergrade
{

/// What a route is asked for.
struct route_request
{
    statement_kind kind = statement_kind::read;
    std::string database;
    std::optional<session_token> session;
    milliseconds max_age{0};
    /// Targets that refused this statement already.
    std::vector<std::string> excluded;
};

/// Where to send a statement.
struct route
{
    std::string target;
    std::string failure_domain;
    std::uint64_t term = 0;
    std::uint64_t min_position = 0;
    bool is_primary = false;

    bool operator==(const route&) const = default;
};

/// There is no target at the moment; the statement may wait for one.
struct no_route
{
    refusal_code code = refusal_code::no_primary;
    std::string message;

    bool operator==(const no_route&) const = default;
};

using route_decision = std::variant<route, no_route>;

/// Knows the leadership of the database groups and what the targets' answers
/// have shown of their positions. Not synchronized.
class router
{
public:
    explicit router(std::string own_domain);

    /// Replaces the configuration; what is known of kept targets stays.
    void use_configuration(const configuration& value);

    /// Takes in a group record; false if an equal or newer one is known.
    bool learn_group(const group_record& record);
    const group_record* find_group(const std::string& database) const;
    std::vector<group_record> groups() const;

    /// Takes in what an answer shows of a target.
    void learn_position(const std::string& target, const log_position& position,
                        time_point now);
    /// Takes in that a replica was behind a wanted position.
    void learn_behind(const std::string& target, time_point now);
    /// Avoids a target for a short time.
    void learn_unreachable(const std::string& target, time_point now);

    route_decision decide(const route_request& request, time_point now);

private:
    struct target_state
    {
        target declared;
        log_position seen;
        time_point avoid_until;
        time_point behind_until;
    };

    route to_primary(const group_record& group, std::uint64_t min_position);
    target_state* choose_replica(const database_group& database,
                                 const group_record& group,
                                 const route_request& request,
                                 std::uint64_t min_position, time_point now);

    std::string own_domain_;
    std::map<std::string, database_group> databases_;
    std::map<std::string, target_state> targets_;
    std::map<std::string, group_record> groups_;
    std::uint64_t next_choice_ = 0;
};

} // namespace oleandergrade
