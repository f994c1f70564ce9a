/// Chooses, at the leader, the VMs that lend operations. Pure logic.
#pragma once

#include <oleandergrade/clock.hpp>
#include <oleandergrade/connection/lender_table.hpp>
#include <oleandergrade/error.hpp>
#include <oleandergrade/process/membership/member_list.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace oleandergrade
{

/// Returns the JSON text that is stored as the lender table. The version is not
/// part of it; `predecessor` is the version that it replaces.
std::string serialize_lender_table(const lender_table& table,
                                   std::uint64_t predecessor = 0);
/// Parses a stored lender table. Its version is the number of the revision, or
/// higher if the store was restored; see `rising_number`. Fails with step
/// "parse lender table" if it is not a JSON object or names a lender without
/// its address.
result<lender_table> parse_lender_table(const std::string& value,
                                        std::uint64_t revision);

/// Returns the lenders of a fleet whose VMs derive them from the members, as
/// builds of level 0 do: the strongest VMs of each failure domain but the
/// first, whether they are running or not. None in a fleet below
/// `lending_fleet_size`.
lender_table derive_lenders(const member_list& members);

/// What the choice of the lenders depends on.
struct lender_input
{
    const member_list* members = nullptr;
    /// Name of the leader, which lends from its reserve and is not chosen.
    std::string leader;
    /// Whether the VM has reported recently and does not stop.
    std::function<bool(const std::string& vm)> is_present;
    /// The lowest level of the protocol among the members.
    std::uint32_t level = 0;
};

/// Keeps the lenders that are present, and replaces the others. A lender that
/// is silent only for a moment is kept: its share can be given to another VM
/// only after it has expired.
class lender_assigner
{
public:
    /// Fewest lenders of an account, so that the loss of one leaves most of
    /// its limits.
    static constexpr std::size_t min_lenders = 3;
    /// In larger failure domains there is one lender for this many VMs, because
    /// each lender answers requests of all of them.
    static constexpr std::size_t vms_per_lender = 60;
    /// A lender that has not been present for this long is replaced.
    static constexpr milliseconds max_absence{2000};
    /// How long a former lender may hold a lender's share. A lender that has
    /// not been present since the election is kept for this long.
    static constexpr milliseconds former_lender_time{14'000};

    /// `listed_per_domain`: how many VMs of each failure domain share the work
    /// and the limits of all accounts; 1 or more.
    explicit lender_assigner(std::size_t listed_per_domain = 1)
        : listed_per_domain_(listed_per_domain)
    {
    }

    /// This VM was elected leader.
    void on_elected(time_point now);
    /// Returns the table that is to replace `current`, if there is one.
    std::optional<lender_table> update(const lender_table& current,
                                       const lender_input& input,
                                       time_point now);

private:
    void observe_presence(const lender_table& current,
                          const lender_input& input, time_point now);
    /// Whether a listed lender stays one.
    bool is_retained(const lender& listed, const lender_input& input,
                     time_point now) const;
    lender_table choose_present(const lender_table& current,
                                const lender_input& input, time_point now);
    /// Lists the lenders of `current` that `next` lacks as former ones, for as
    /// long as they may hold a share.
    void keep_former(lender_table& next, const lender_table& current,
                     time_point now);

    std::size_t listed_per_domain_;
    /// When each lender was last present since the election.
    std::map<std::string, time_point> present_at_;
    /// When former lenders were replaced; those of an earlier leader when this
    /// VM was elected.
    std::map<std::string, time_point> replaced_at_;
    time_point elected_at_;
};

} // namespace oleandergrade
