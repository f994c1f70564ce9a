#include <oleandergrade/process/membership/holder_contact.hpp>

#include <utility>

namespace oleandergrade
{

std::string holder_contact::next_address(const std::string& known,
                                         const std::vector<std::string>& others)
{
    if (failures_ < patience && !address(known).empty())
        return address(known);
    hinted_.clear();
    if (others.empty())
        return known;
    const auto index = next_other_++ % (others.size() + 1);
    return index < others.size() || known.empty()
               ? others[index % others.size()]
               : known;
}

const std::string& holder_contact::address(const std::string& known) const
{
    return hinted_.empty() ? known : hinted_;
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

void holder_contact::on_declined(const std::string& holder)
{
    if (holder.empty())
        ++failures_;
    else
        turn_to(holder);
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
