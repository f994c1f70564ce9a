#include "database_server.hpp"

#include <algorithm>

namespace standins
{

namespace
{
constexpr std::size_t pull_batch = 512;
}

database_server::database_server(std::string name, std::size_t group_size)
    : name_(std::move(name)), group_size_(group_size)
{
}

void database_server::bootstrap(bool primary,
                                const std::string& primary_address)
{
    term_ = 1;
    primary_ = primary;
    if (!primary)
        following_ = primary_address;
    log_.clear();
    append({1, {}, ""});
    first_of_term_ = 1;
    apply_up_to(log_.size());
}

saved_role database_server::role() const
{
    return {term_, primary_, following_, coordinator_, first_of_term_};
}

void database_server::restore(const saved_role& role,
                              std::vector<log_entry> log)
{
    term_ = role.term;
    primary_ = role.primary;
    following_ = role.following;
    coordinator_ = role.coordinator;
    first_of_term_ = role.first_of_term;
    in_step_ = primary_;
    for (auto& entry : log)
        append(std::move(entry));
    apply_up_to(log_.size());
}

statement_reply database_server::read(std::uint64_t term,
                                      const std::string& key,
                                      std::uint64_t min_position,
                                      duration max_age, time_point now) const
{
    const auto age = data_age(now);
    const bool is_too_old =
        max_age > duration::zero() && (!age || *age > max_age);
    statement_reply reply;
    reply.term = term_;
    reply.position = applied_;
    if (term != term_)
        reply.status = statement_status::wrong_term;
    else if (is_too_old || applied_ < min_position || (!primary_ && !in_step_))
        reply.status = statement_status::behind;
    else if (const auto cell = table_.find(key); cell != table_.end())
        reply.value = cell->second;
    return reply;
}

statement_reply database_server::write(std::uint64_t term,
                                       std::vector<cell_change> changes,
                                       const std::string& request_id)
{
    statement_reply reply;
    reply.term = term_;
    if (term != term_)
    {
        reply.status = statement_status::wrong_term;
        return reply;
    }
    if (!primary_)
    {
        reply.status = statement_status::not_primary;
        return reply;
    }
    const auto earlier = requests_.find(request_id);
    if (!request_id.empty() && earlier != requests_.end())
    {
        reply.repeated = true;
        reply.position = earlier->second;
        return reply;
    }
    append({term_, std::move(changes), request_id});
    apply_up_to(log_.size());
    update_confirmed();
    reply.position = log_.size();
    return reply;
}

bool database_server::fence(std::uint64_t term, const std::string& coordinator)
{
    if (term == term_ && coordinator == coordinator_)
        return true;
    if (term <= term_)
        return false;
    term_ = term;
    coordinator_ = coordinator;
    primary_ = false;
    in_step_ = false;
    following_.clear();
    replica_positions_.clear();
    return true;
}

bool database_server::promote(std::uint64_t term,
                              const std::string& coordinator)
{
    if (term != term_ || coordinator != coordinator_)
        return false;
    if (primary_)
        return true;
    if (!following_.empty())
        return false;
    primary_ = true;
    append({term_, {}, ""});
    first_of_term_ = log_.size();
    confirmed_ = 0;
    apply_up_to(log_.size());
    update_confirmed();
    return true;
}

bool database_server::follow(std::uint64_t term, const std::string& primary)
{
    if (term < term_ || (term == term_ && primary_))
        return false;
    if (term == term_ && following_ == primary)
        return true;
    if (term > term_)
        coordinator_.clear();
    term_ = term;
    primary_ = false;
    in_step_ = false;
    following_ = primary;
    replica_positions_.clear();
    return true;
}

std::optional<pull_request> database_server::make_pull() const
{
    if (primary_ || following_.empty())
        return std::nullopt;
    return pull_request{name_, term_, log_.size(), term_at(log_.size())};
}

pull_reply database_server::serve_pull(const pull_request& request)
{
    pull_reply reply;
    reply.term = term_;
    if (!primary_ || request.term != term_)
        return reply;
    reply.accepted = true;
    if (request.after > log_.size() ||
        term_at(request.after) != request.after_term)
    {
        reply.mismatch = true;
        return reply;
    }
    auto& known = replica_positions_[request.replica];
    known = std::max(known, request.after);
    update_confirmed();
    reply.first_position = request.after + 1;
    reply.primary_position = log_.size();
    const auto begin =
        log_.begin() + static_cast<std::ptrdiff_t>(request.after);
    const auto count =
        std::min<std::size_t>(pull_batch, log_.size() - request.after);
    reply.entries.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    return reply;
}

void database_server::accept_pull(const pull_reply& reply, time_point sent_at,
                                  time_point now)
{
    if (primary_ || !reply.accepted || reply.term != term_)
        return;
    primary_contact_ = now;
    if (reply.mismatch)
    {
        truncate_last();
        return;
    }
    if (reply.first_position != log_.size() + 1)
        return;
    in_step_ = true;
    for (const auto& entry : reply.entries)
        append(entry);
    if (log_.size() >= reply.primary_position)
        complete_points_.push_back({log_.size(), sent_at});
    drop_old_points();
}

void database_server::apply_up_to(std::uint64_t position)
{
    const auto limit = std::min<std::uint64_t>(position, log_.size());
    for (; applied_ < limit; ++applied_)
    {
        for (const auto& change : log_[applied_].changes)
        {
            auto& cell = table_[change.key];
            cell = change.append ? cell + change.value : change.value;
        }
    }
    drop_old_points();
}

std::optional<duration> database_server::data_age(time_point now) const
{
    if (primary_)
        return duration::zero();
    if (complete_points_.empty() ||
        complete_points_.front().position > applied_)
        return std::nullopt;
    return now - complete_points_.front().at;
}

// Keeps the newest point that reads see completely, and the later ones.
void database_server::drop_old_points()
{
    while (complete_points_.size() > 1 &&
           complete_points_[1].position <= applied_)
        complete_points_.pop_front();
}

server_status database_server::status(time_point now) const
{
    server_status status;
    status.term = term_;
    status.primary = primary_;
    status.following = following_;
    status.position = log_.size();
    status.last_log_term = term_at(log_.size());
    status.applied = applied_;
    status.confirmed = primary_ ? confirmed_ : 0;
    if (primary_contact_)
        status.primary_contact_age = now - *primary_contact_;
    return status;
}

void database_server::append(log_entry entry)
{
    log_.push_back(std::move(entry));
    const auto& id = log_.back().request_id;
    if (!id.empty())
        requests_[id] = log_.size();
}

void database_server::truncate_last()
{
    if (log_.empty())
        return;
    const auto& id = log_.back().request_id;
    if (!id.empty())
        requests_.erase(id);
    log_.pop_back();
    while (!complete_points_.empty() &&
           complete_points_.back().position > log_.size())
        complete_points_.pop_back();
    if (applied_ > log_.size())
        rebuild_table();
}

void database_server::rebuild_table()
{
    const auto visible = log_.size();
    table_.clear();
    applied_ = 0;
    apply_up_to(visible);
}

std::uint64_t database_server::term_at(std::uint64_t position) const
{
    if (position == 0 || position > log_.size())
        return 0;
    return log_[position - 1].term;
}

// A position is confirmed once a majority of the group holds it in the
// current term.
void database_server::update_confirmed()
{
    std::vector<std::uint64_t> held{log_.size()};
    for (const auto& [replica, position] : replica_positions_)
        held.push_back(position);
    held.resize(group_size_, 0);
    std::sort(held.rbegin(), held.rend());
    const auto majority = held[group_size_ / 2];
    if (majority >= first_of_term_)
        confirmed_ = std::max(confirmed_, majority);
}

} // namespace standins
