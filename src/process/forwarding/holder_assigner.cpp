#include <oleandergrade/process/forwarding/holder_assigner.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace oleandergrade
{

namespace
{

/// The fencing token is in the bits above this one.
constexpr unsigned token_shift = 24;
/// The leader counts as if it held this many slices already.
constexpr double leader_load = 2;
/// Load of a standby, compared with that of a holder.
constexpr double standby_load = 0.25;
/// Load that is added to a VM that holds a slice of the same group, so that the
/// loss of one VM concerns as few accounts of a group as possible.
constexpr double same_group_load = 1;
/// Limits the time of one update, as each choice considers all VMs. The slices
/// that are left are served by every VM on its own until the next update.
constexpr std::size_t max_choices_per_update = 256;
/// Processor time that is assumed for VMs that do not report it.
constexpr unsigned assumed_millicores = 100;

/// Chooses VMs for the slices and keeps account of what each has.
class slice_distribution
{
public:
    explicit slice_distribution(const assignment_input& input)
    {
        for (const auto& [name, member] : input.members->all())
        {
            if (!input.is_available(name) || member.address.empty())
                continue;
            auto& candidate = candidates_[member.address];
            candidate.member = &member;
            candidate.load = name == input.leader ? leader_load : 0;
        }
    }

    bool is_available(const std::string& address) const
    {
        return candidates_.contains(address);
    }

    const std::string& domain_of(const std::string& address) const
    {
        static const std::string unknown;
        const auto found = candidates_.find(address);
        return found == candidates_.end()
                   ? unknown
                   : found->second.member->failure_domain;
    }

    void add_load(const std::string& address, double load)
    {
        const auto found = candidates_.find(address);
        if (found == candidates_.end())
            return;
        found->second.load += load;
        domain_loads_[found->second.member->failure_domain] += load;
    }

    void add_holder(const std::string& address) { add_load(address, 1); }
    void add_standby(const std::string& address)
    {
        add_load(address, standby_load);
    }

    /// Returns the address of the VM with the least load for its share of a
    /// core; empty if there is none.
    std::string choose_holder(const std::vector<slice_holder>& slices) const
    {
        return choose(slices, "");
    }

    /// Returns the address of a VM in another failure domain than the holder,
    /// or of another VM if there is none; empty if there is none either.
    std::string choose_standby(const std::vector<slice_holder>& slices,
                               const std::string& holder) const
    {
        return choose(slices, holder);
    }

    /// Whether there is a VM in another failure domain than this one.
    bool has_other_domain(const std::string& domain) const
    {
        return std::any_of(
            candidates_.begin(), candidates_.end(),
            [&](const auto& entry)
            { return entry.second.member->failure_domain != domain; });
    }

private:
    struct candidate
    {
        const fleet_member* member = nullptr;
        double load = 0;
    };

    std::string choose(const std::vector<slice_holder>& slices,
                       const std::string& holder) const
    {
        const auto& holder_domain = domain_of(holder);
        std::string best;
        std::tuple<bool, double, double> best_rank;
        for (const auto& entry : candidates_)
        {
            const auto& address = entry.first;
            const auto& vm = entry.second;
            if (address == holder)
                continue;
            const auto& domain = vm.member->failure_domain;
            const bool is_in_holder_domain =
                !holder.empty() && domain == holder_domain;
            const bool holds_slice_of_group =
                std::any_of(slices.begin(), slices.end(),
                            [&](const slice_holder& slice)
                            { return slice.holder == address; });
            const auto millicores = vm.member->processor_millicores > 0
                                        ? vm.member->processor_millicores
                                        : assumed_millicores;
            const auto relative_load =
                (vm.load + 1 + (holds_slice_of_group ? same_group_load : 0)) /
                millicores;
            const auto domain_load = domain_loads_.find(domain);
            // Members are in the order of their addresses, which decides
            // between equals.
            const std::tuple rank(
                is_in_holder_domain, relative_load,
                domain_load == domain_loads_.end() ? 0 : domain_load->second);
            if (!best.empty() && rank >= best_rank)
                continue;
            best = address;
            best_rank = rank;
        }
        return best;
    }

    /// Available VMs by address.
    std::map<std::string, candidate> candidates_;
    std::map<std::string, double> domain_loads_;
};

/// Keeps the slices of a group whose VMs are available, and moves a slice to
/// its standby if the holder is not.
std::vector<slice_holder> retain_available(std::vector<slice_holder> slices,
                                           std::size_t slice_count,
                                           const slice_distribution& vms)
{
    // With another number of slices, accounts belong to other slices.
    if (slices.size() != slice_count)
        slices.assign(slice_count, {});
    for (auto& slice : slices)
    {
        if (!vms.is_available(slice.standby) || slice.standby == slice.holder)
            slice.standby.clear();
        if (!vms.is_available(slice.holder))
            slice.holder = std::exchange(slice.standby, {});
        const auto& domain = vms.domain_of(slice.holder);
        if (!slice.standby.empty() && !slice.holder.empty() &&
            vms.domain_of(slice.standby) == domain &&
            vms.has_other_domain(domain))
            slice.standby.clear();
    }
    return slices;
}

} // namespace

bool holder_assigner::update(const assignment_input& input)
{
    slice_distribution vms(input);
    std::map<std::string, std::vector<slice_holder>> groups;
    for (const auto& [group, connections] : input.connections_per_target)
    {
        if (!policy_.applies(connections, input.members->size()))
            continue;
        const auto found = table_.groups.find(group);
        groups[group] = retain_available(found == table_.groups.end()
                                             ? std::vector<slice_holder>()
                                             : found->second,
                                         policy_.slices, vms);
    }
    for (const auto& [group, slices] : groups)
        for (const auto& slice : slices)
        {
            vms.add_holder(slice.holder);
            vms.add_standby(slice.standby);
        }
    std::size_t choices_left = max_choices_per_update;
    for (auto& [group, slices] : groups)
        for (auto& slice : slices)
        {
            if (!slice.holder.empty() || choices_left == 0)
                continue;
            slice.holder = vms.choose_holder(slices);
            vms.add_holder(slice.holder);
            --choices_left;
        }
    for (auto& [group, slices] : groups)
        for (auto& slice : slices)
        {
            if (!slice.standby.empty() || slice.holder.empty() ||
                choices_left == 0)
                continue;
            slice.standby = vms.choose_standby(slices, slice.holder);
            vms.add_standby(slice.standby);
            --choices_left;
        }
    // A table of a later leader cannot be superseded.
    const bool is_superseded = reported_version_ > table_.version &&
                               reported_version_ >> token_shift <= input.token;
    if (groups == table_.groups && !is_superseded)
        return false;
    table_.groups = std::move(groups);
    table_.version = std::max({table_.version, input.token << token_shift,
                               is_superseded ? reported_version_ : 0}) +
                     1;
    return true;
}

} // namespace oleandergrade
