#include <oleandergrade/process/membership/holder_contact.hpp>

#include <utility>

namespace oleandergrade
{

std::string
holder_contact::next_address(const std::string& stored_address,
                             const std::vector<std::string>& other_addresses)
{
    if (failures_ < patience && !address(stored_address).empty())
        return address(stored_address);
    hinted_.clear();
    if (other_addresses.empty())
        return stored_address;
    const auto index = next_other_++ % (other_addresses.size() + 1);
    return index < other_addresses.size() || stored_address.empty()
               ? other_addresses[index % other_addresses.size()]
               : stored_address;
}

const std::string&
holder_contact::address(const std::string& stored_address) const
{
    return hinted_.empty() ? stored_address : hinted_;
}

void holder_contact::turn_to(const std::string& address)
{
    hinted_ = address;
    failures_ = 0;
}

bool holder_contact::on_silence()
{
    return ++failures_ == patience;
}

void holder_contact::on_declined(const std::string& leader_address)
{
    if (leader_address.empty())
        ++failures_;
    else
        turn_to(leader_address);
}

void holder_contact::on_grant(std::uint64_t token, std::uint64_t stamp,
                              time_point now)
{
    failures_ = 0;
    stamp_ = stamp;
    if (std::exchange(token_, token) != token)
        other_granted_at_ = granted_at_;
    granted_at_ = now;
}

milliseconds holder_contact::other_grant_age(std::uint64_t token,
                                             time_point now) const
{
    const auto last = token_ == token ? other_granted_at_ : granted_at_;
    return std::chrono::duration_cast<milliseconds>(now - last);
}

std::uint64_t holder_contact::echo(std::uint64_t token) const
{
    return token_ == token ? stamp_ : 0;
}

} // namespace oleandergrade
