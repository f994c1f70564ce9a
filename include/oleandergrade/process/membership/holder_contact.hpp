/// Where a VM finds the duty's holder, and how old its grants are. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace oleandergrade
{

/// Follows the holder that the store shows, or that other VMs name, and asks
/// any VM once that one does not answer.
class holder_contact
{
public:
    /// After this many lost reports another VM is asked who holds the duty.
    static constexpr unsigned patience{2};
    /// A VM without a grant for this long finds out whether it is cut off.
    static constexpr milliseconds longest_silence{700};

    /// Where the next report goes. `known` is the holder's address as the
    /// store shows it, or empty; `others` are the addresses of all VMs that
    /// may know. Empty if there is nobody to ask.
    std::string next_address(const std::string& known,
                             const std::vector<std::string>& others);
    /// Where the holder is taken to be: as other VMs name it, else `known`.
    const std::string& address(const std::string& known) const;

    /// Another VM holds the duty; empty if only the store knows which.
    void turn_to(const std::string& address);
    /// A report got no answer. Returns whether patience has just ended.
    bool on_silence();
    /// A VM that does not hold the duty named the holder; empty if it knows
    /// none.
    void on_declined(const std::string& holder);
    /// A grant arrived; a VM that holds the duty grants to itself.
    void on_grant(std::uint64_t token, std::uint64_t stamp, time_point now);

    /// Time since a grant of another holder than the one with this token.
    milliseconds other_grant_age(std::uint64_t token, time_point now) const;
    /// Stamp of the last grant of the holder with this token, or 0.
    std::uint64_t echo(std::uint64_t token) const;
    time_point granted_at() const { return granted_at_; }
    bool is_silent(time_point now) const
    {
        return now - granted_at_ > longest_silence;
    }

private:
    std::string hinted_;
    unsigned failures_ = 0;
    std::size_t next_other_ = 0;
    /// Stamp of the last grant, and the token of the holder that sent it.
    std::uint64_t stamp_ = 0;
    std::uint64_t token_ = 0;
    time_point granted_at_;
    /// The last grant of the holder before the present one.
    time_point other_granted_at_;
};

} // namespace oleandergrade
