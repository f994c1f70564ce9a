#include <oleandergrade/process/membership/leader_tracker.hpp>

#include <utility>

namespace oleandergrade
{

std::string leader_tracker::next_report_address(
    const std::string& stored_address,
    const std::vector<std::string>& other_addresses)
{
    if (failed_reports_ < max_failed_reports &&
        !current_leader_address(stored_address).empty())
        return current_leader_address(stored_address);
    named_address_.clear();
    if (other_addresses.empty())
        return stored_address;
    const auto index = next_other_index_++ % (other_addresses.size() + 1);
    return index < other_addresses.size() || stored_address.empty()
               ? other_addresses[index % other_addresses.size()]
               : stored_address;
}

const std::string&
leader_tracker::current_leader_address(const std::string& stored_address) const
{
    return named_address_.empty() ? stored_address : named_address_;
}

void leader_tracker::set_leader_address(const std::string& address)
{
    named_address_ = address;
    failed_reports_ = 0;
}

bool leader_tracker::on_report_unanswered()
{
    return ++failed_reports_ == max_failed_reports;
}

void leader_tracker::on_report_declined(const std::string& leader_address)
{
    if (leader_address.empty())
        ++failed_reports_;
    else
        set_leader_address(leader_address);
}

void leader_tracker::on_grant(std::uint64_t token, std::uint64_t stamp,
                              time_point now)
{
    failed_reports_ = 0;
    last_grant_stamp_ = stamp;
    if (std::exchange(last_grant_token_, token) != token)
        other_leader_granted_at_ = last_granted_at_;
    last_granted_at_ = now;
}

milliseconds leader_tracker::other_leader_grant_age(std::uint64_t token,
                                                    time_point now) const
{
    const auto granted_at = last_grant_token_ == token
                                ? other_leader_granted_at_
                                : last_granted_at_;
    return std::chrono::duration_cast<milliseconds>(now - granted_at);
}

std::uint64_t leader_tracker::last_grant_stamp(std::uint64_t token) const
{
    return last_grant_token_ == token ? last_grant_stamp_ : 0;
}

} // namespace oleandergrade
