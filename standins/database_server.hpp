/// Stand-in for one server of a replicated database group, without I/O.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins
{

using oleandergrade::duration;
using oleandergrade::time_point;

/// One change of a table cell. An append adds to the text that is there.
struct cell_change
{
    std::string key;
    std::string value;
    bool append = false;
};

/// One committed transaction in the replicated log. Positions start at 1.
struct log_entry
{
    std::uint64_t term = 0;
    std::vector<cell_change> changes;
    std::string request_id;
};

/// What a server keeps beside its log when its process ends.
struct saved_role
{
    std::uint64_t term = 0;
    bool primary = false;
    std::string following;
    std::string coordinator;
    std::uint64_t first_of_term = 0;

    bool operator==(const saved_role&) const = default;
};

enum class statement_status
{
    done,
    wrong_term,
    not_primary,
    behind
};

/// The answer to a read or a write.
struct statement_reply
{
    statement_status status = statement_status::done;
    std::uint64_t term = 0;
    std::uint64_t position = 0;
    std::string value;
    /// The request identifier had been recorded before; nothing was run.
    bool repeated = false;
};

/// What a server says of itself.
struct server_status
{
    std::uint64_t term = 0;
    bool primary = false;
    std::string following;
    std::uint64_t position = 0;
    std::uint64_t last_log_term = 0;
    std::uint64_t applied = 0;
    std::uint64_t confirmed = 0;
    /// Time since the primary was last heard from; none if never.
    std::optional<duration> primary_contact_age;
};

/// A replica's request for log entries, which also confirms what it holds.
struct pull_request
{
    std::string replica;
    std::uint64_t term = 0;
    std::uint64_t after = 0;
    std::uint64_t after_term = 0;
};

struct pull_reply
{
    bool accepted = false;
    std::uint64_t term = 0;
    /// The replica's log differs from the primary's at `after`.
    bool mismatch = false;
    std::uint64_t first_position = 0;
    /// Last position of the primary's log.
    std::uint64_t primary_position = 0;
    std::vector<log_entry> entries;
};

/// State machine of one database server with asynchronous replication. The
/// log survives a restart of the process that talks to it only if the
/// caller keeps the object.
class database_server
{
public:
    database_server(std::string name, std::size_t group_size);

    /// Makes the server the first primary or a replica of it, in term 1.
    void bootstrap(bool primary, const std::string& primary_address);

    saved_role role() const;
    /// Continues with what an earlier process has kept.
    void restore(const saved_role& role, std::vector<log_entry> log);

    /// Refuses as behind if the data is older than `max_age`; zero accepts
    /// any age.
    statement_reply read(std::uint64_t term, const std::string& key,
                         std::uint64_t min_position, duration max_age,
                         time_point now) const;
    /// How old the data is that reads see; zero on a primary, none if the
    /// server never heard from a primary.
    std::optional<duration> data_age(time_point now) const;
    statement_reply write(std::uint64_t term, std::vector<cell_change> changes,
                          const std::string& request_id);

    /// Raises the term if it is higher, or if the same coordinator repeats
    /// itself. Returns whether the coordinator holds the term now.
    bool fence(std::uint64_t term, const std::string& coordinator);
    /// Becomes primary in a term fenced by the same coordinator.
    bool promote(std::uint64_t term, const std::string& coordinator);
    /// Replicates from another server in a term at least as high.
    bool follow(std::uint64_t term, const std::string& primary);

    std::optional<pull_request> make_pull() const;
    pull_reply serve_pull(const pull_request& request);
    /// Takes in the reply to a pull that was sent at `sent_at`.
    void accept_pull(const pull_reply& reply, time_point sent_at,
                     time_point now);

    /// Makes received entries visible to reads up to a position.
    void apply_up_to(std::uint64_t position);

    server_status status(time_point now) const;
    const std::vector<log_entry>& log() const { return log_; }
    const std::string& name() const { return name_; }
    std::uint64_t position() const { return log_.size(); }

private:
    /// The log up to a position was all there was at that time.
    struct complete_point
    {
        std::uint64_t position = 0;
        time_point at;
    };

    void append(log_entry entry);
    void truncate_last();
    void drop_old_points();
    void rebuild_table();
    std::uint64_t term_at(std::uint64_t position) const;
    void update_confirmed();

    std::string name_;
    std::size_t group_size_;
    std::uint64_t term_ = 0;
    bool primary_ = false;
    std::string following_;
    std::string coordinator_;
    std::vector<log_entry> log_;
    std::uint64_t applied_ = 0;
    std::deque<complete_point> complete_points_;
    std::uint64_t confirmed_ = 0;
    std::uint64_t first_of_term_ = 0;
    std::map<std::string, std::string> table_;
    std::map<std::string, std::uint64_t> requests_;
    std::map<std::string, std::uint64_t> replica_positions_;
    std::optional<time_point> primary_contact_;
    /// The log was found to agree with the primary's in this term.
    bool in_step_ = true;
};

} // namespace standins
