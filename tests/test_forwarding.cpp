/// Tests of the logic that decides which VM runs a statement. They guard
/// against holders that change without need, roles of VMs that are gone,
/// standbys that are lost together with their holder, tables of former leaders
/// that stay in force, and statements that go to a VM that does not answer.
#include <oleandergrade/process/forwarding/holder_assigner.hpp>
#include <oleandergrade/process/forwarding/holder_selector.hpp>
#include <oleandergrade/process/serving/connection_share.hpp>

#include <criterion/criterion.h>

#include <set>

using namespace oleandergrade;

namespace
{

constexpr time_point start{seconds(1000)};

/// A fleet like that of deployment A: `strong` VMs with half of a core, the
/// others with 0.12, in three failure domains, and groups with 66 connections
/// per target.
struct test_fleet
{
    explicit test_fleet(unsigned vms = 90, unsigned strong = 6,
                        unsigned groups = 8)
    {
        for (unsigned i = 0; i < vms; ++i)
        {
            const auto name = name_of(i);
            members.put({name, address_of(i), 1,
                         std::string(1, static_cast<char>('a' + i % 3)),
                         i < strong ? 500U : 120U});
            available.insert(name);
        }
        for (unsigned i = 0; i < groups; ++i)
            connections["g" + std::to_string(i)] = 66;
    }

    static std::string name_of(unsigned index)
    {
        return (index < 10 ? "vm-0" : "vm-") + std::to_string(index);
    }
    static std::string address_of(unsigned index)
    {
        return "10.0.0." + std::to_string(index) + ":1";
    }

    bool update()
    {
        assignment_input input;
        input.connections_per_target = connections;
        input.members = &members;
        input.is_available = [this](const std::string& vm)
        { return available.contains(vm); };
        input.leader = leader;
        input.token = token;
        return assigner.update(input);
    }

    const fleet_member& member_at(const std::string& address) const
    {
        for (const auto& [name, member] : members.all())
            if (member.address == address)
                return member;
        cr_assert_fail("no VM has the address '%s'", address.c_str());
        abort();
    }

    /// Returns the number of slices that each VM holds, by address.
    std::map<std::string, unsigned> held_slices() const
    {
        std::map<std::string, unsigned> held;
        for (const auto& [group, slices] : assigner.table().groups)
            for (const auto& slice : slices)
                ++held[slice.holder];
        return held;
    }

    member_list members;
    std::set<std::string> available;
    std::map<std::string, std::uint32_t> connections;
    std::string leader = name_of(80);
    std::uint64_t token = 7;
    holder_assigner assigner{sharing_policy{}};
};

holder_table table_of(std::uint64_t version, slice_holder first,
                      slice_holder second)
{
    holder_table table;
    table.version = version;
    table.groups["g"] = {std::move(first), std::move(second)};
    return table;
}

/// Returns an account of the slice with this index among two.
std::string account_in(std::size_t slice)
{
    for (unsigned i = 0;; ++i)
        if (const auto account = "account" + std::to_string(i);
            slice_of(account, 2) == slice)
            return account;
}

} // namespace

Test(forwarding, nothing_is_shared_where_the_policy_does_not_apply)
{
    test_fleet small(4);
    cr_assert(!small.update());
    cr_assert(small.assigner.table() == holder_table{});
    // 66 connections are enough for 16 VMs with four each.
    test_fleet sufficient(16);
    cr_assert(!sufficient.update());
    test_fleet scarce(17);
    cr_assert(scarce.update());
    cr_assert(scarce.assigner.table().groups.size() == 8);
    // A group that gets enough connections is not listed any more.
    scarce.connections["g3"] = 300;
    cr_assert(scarce.update());
    cr_assert(!scarce.assigner.table().groups.contains("g3"));
    cr_assert(scarce.assigner.table().groups.size() == 7);
}

Test(forwarding, slices_go_to_strong_vms_and_standbys_to_other_domains)
{
    test_fleet fleet;
    cr_assert(fleet.update());
    for (const auto& [group, slices] : fleet.assigner.table().groups)
    {
        cr_assert(slices.size() == 2);
        cr_assert(slices[0].holder != slices[1].holder);
        for (const auto& slice : slices)
        {
            cr_assert(fleet.member_at(slice.holder).processor_millicores ==
                      500);
            cr_assert(fleet.member_at(slice.holder).failure_domain !=
                      fleet.member_at(slice.standby).failure_domain);
        }
    }
    for (const auto& [address, count] : fleet.held_slices())
        cr_assert(count <= 3, "%s holds %u", address.c_str(), count);
}

// Guards against a new fleet whose VMs fill the targets before they know the
// holders: the connections of the lost fleet still count there.
Test(forwarding, a_vm_without_a_holder_table_opens_one_connection)
{
    cr_assert(unassigned_connection_share().max_connections == 1);
    cr_assert(unassigned_connection_share().idle_timeout.has_value());
}

Test(forwarding, the_leader_holds_less_than_the_others)
{
    test_fleet fleet;
    fleet.leader = test_fleet::name_of(0);
    cr_assert(fleet.update());
    const auto held = fleet.held_slices();
    const auto found = held.find(test_fleet::address_of(0));
    cr_assert(found == held.end() || found->second <= 1);
}

Test(forwarding, a_table_stays_as_it_is_while_its_vms_are_available)
{
    test_fleet fleet;
    fleet.update();
    const auto first = fleet.assigner.table();
    cr_assert(!fleet.update());
    // Neither another leader nor a VM that comes back moves a slice.
    fleet.leader = test_fleet::name_of(0);
    fleet.available.erase(test_fleet::name_of(50));
    cr_assert(!fleet.update());
    fleet.available.insert(test_fleet::name_of(50));
    cr_assert(!fleet.update());
    cr_assert(fleet.assigner.table() == first);
}

Test(forwarding, only_the_roles_of_a_lost_vm_move)
{
    test_fleet fleet;
    fleet.update();
    const auto before = fleet.assigner.table();
    const auto lost = before.groups.begin()->second[0].holder;
    fleet.available.erase(fleet.member_at(lost).name);
    cr_assert(fleet.update());
    const auto after = fleet.assigner.table();
    cr_assert(after.version > before.version);
    for (const auto& [group, slices] : before.groups)
        for (std::size_t i = 0; i < slices.size(); ++i)
        {
            const auto& now = after.groups.at(group)[i];
            cr_assert(now.holder != lost && now.standby != lost);
            // The standby already receives the statements of a lost holder.
            cr_assert(now.holder == (slices[i].holder == lost
                                         ? slices[i].standby
                                         : slices[i].holder));
            if (slices[i].holder != lost && slices[i].standby != lost)
                cr_assert(now == slices[i]);
        }
    // The holder keeps its roles when the lost VM returns.
    fleet.available.insert(fleet.member_at(lost).name);
    cr_assert(!fleet.update());
}

Test(forwarding, a_lost_domain_leaves_no_slice_without_a_holder)
{
    test_fleet fleet;
    fleet.update();
    for (const auto& [name, member] : fleet.members.all())
        if (member.failure_domain == "a")
            fleet.available.erase(name);
    cr_assert(fleet.update());
    for (const auto& [group, slices] : fleet.assigner.table().groups)
        for (const auto& slice : slices)
        {
            cr_assert(fleet.member_at(slice.holder).failure_domain != "a");
            cr_assert(fleet.member_at(slice.standby).failure_domain != "a");
            cr_assert(fleet.member_at(slice.holder).failure_domain !=
                      fleet.member_at(slice.standby).failure_domain);
        }
    // With a single VM left there is no standby.
    const auto last = test_fleet::name_of(40);
    fleet.available = {last};
    cr_assert(fleet.update());
    for (const auto& [group, slices] : fleet.assigner.table().groups)
        for (const auto& slice : slices)
            cr_assert(slice == (slice_holder{test_fleet::address_of(40), ""}));
    fleet.available.clear();
    cr_assert(fleet.update());
    for (const auto& [group, slices] : fleet.assigner.table().groups)
        for (const auto& slice : slices)
            cr_assert(slice == slice_holder{});
}

Test(forwarding, versions_grow_over_changes_and_leaders)
{
    test_fleet fleet;
    fleet.update();
    const auto first = fleet.assigner.table();
    cr_assert(first.version >> 24 == 7);
    test_fleet successor;
    successor.token = 9;
    successor.assigner.adopt(first);
    cr_assert(!successor.update());
    cr_assert(successor.assigner.table() == first);
    // A VM has a newer table of the former leader, which this one has never
    // received. Both must not stay in force.
    successor.assigner.on_version_reported(first.version + 1);
    cr_assert(successor.update());
    cr_assert(successor.assigner.table().groups == first.groups);
    cr_assert(successor.assigner.table().version > first.version + 1);
    cr_assert(successor.assigner.table().version >> 24 == 9);
    cr_assert(!successor.update());
    // The table of a later leader is not superseded by a former one.
    successor.assigner.on_version_reported(std::uint64_t(10) << 24);
    cr_assert(!successor.update());
}

Test(forwarding, a_fleet_of_the_maximum_size_is_assigned_in_several_updates)
{
    test_fleet fleet(1000, 0, 2200);
    unsigned updates = 0;
    while (fleet.update())
        cr_assert(++updates < 100);
    for (const auto& [group, slices] : fleet.assigner.table().groups)
        for (const auto& slice : slices)
            cr_assert(!slice.holder.empty() && !slice.standby.empty());
    unsigned most = 0;
    for (const auto& [address, count] : fleet.held_slices())
        most = std::max(most, count);
    // 4,400 slices at 1,000 VMs.
    cr_assert(most <= 6, "one VM holds %u slices", most);
}

Test(forwarding, statements_go_to_the_holder_then_to_the_standby_then_run_here)
{
    holder_selector selector("own:1");
    const auto account = account_in(0);
    cr_assert(selector.choose("g", account, start) == statement_destination{});
    cr_assert(selector.set_table(table_of(5, {"h:1", "s:1"}, {"x:1", ""})));
    cr_assert(selector.choose("other", account, start) ==
              statement_destination{});
    const statement_destination holder{"h:1", false};
    const statement_destination standby{"s:1", false};
    cr_assert(selector.choose("g", account, start) == holder);
    cr_assert(selector.choose("g", account_in(1), start) ==
              (statement_destination{"x:1", false}));
    selector.record_failure("h:1", start);
    cr_assert(selector.choose("g", account, start) == standby);
    selector.record_failure("s:1", start);
    cr_assert(selector.choose("g", account, start) == statement_destination{});
    cr_assert(selector.choose("g", account, start + milliseconds(150)) ==
              holder);
    selector.record_failure("h:1", start);
    selector.record_success("h:1");
    cr_assert(selector.choose("g", account, start) == holder);
}

Test(forwarding, a_holder_and_a_standby_run_statements_themselves)
{
    holder_selector selector("own:1");
    selector.set_table(table_of(5, {"own:1", "s:1"}, {"h:1", "own:1"}));
    cr_assert(selector.choose("g", account_in(0), start) ==
              (statement_destination{"", true}));
    cr_assert(selector.choose("g", account_in(1), start) ==
              (statement_destination{"h:1", false}));
    selector.record_failure("h:1", start);
    cr_assert(selector.choose("g", account_in(1), start) ==
              (statement_destination{"", true}));
}

Test(forwarding, the_avoidance_of_a_failing_vm_doubles_up_to_its_maximum)
{
    holder_selector selector("own:1");
    auto now = start;
    for (const auto expected : {150, 300, 600, 1200, 1200})
    {
        selector.record_failure("h:1", now);
        // Statements that fail together count once.
        selector.record_failure("h:1", now + milliseconds(1));
        const auto end = now + milliseconds(expected);
        cr_assert(selector.is_avoided("h:1", end - milliseconds(1)));
        cr_assert(!selector.is_avoided("h:1", end));
        now = end;
    }
    selector.record_success("h:1");
    selector.record_failure("h:1", now);
    cr_assert(!selector.is_avoided("h:1", now + milliseconds(150)));
}

Test(forwarding, only_a_newer_table_replaces_the_present_one)
{
    holder_selector selector("own:1");
    cr_assert(!selector.set_table({}));
    cr_assert(selector.set_table(table_of(5, {"h:1", ""}, {"h:1", ""})));
    cr_assert(!selector.set_table(table_of(5, {"i:1", ""}, {"i:1", ""})));
    cr_assert(!selector.set_table(table_of(4, {"i:1", ""}, {"i:1", ""})));
    cr_assert(selector.choose("g", "a", start).address == "h:1");
    cr_assert(selector.set_table(table_of(6, {"i:1", ""}, {"i:1", ""})));
    cr_assert(selector.choose("g", "a", start).address == "i:1");
}

// The shares of all VMs together must leave room at the target: the holders'
// idle sessions may not fill it. After a power failure of the whole fleet the
// target counts them for some seconds, and the fleet starts with what is left.
Test(forwarding, holders_leave_a_part_of_the_connections_to_their_standbys)
{
    const auto holder = compute_shared_connection_share(66, {2, 1, 90, false});
    cr_assert(holder == (connection_share{32, std::nullopt, 16}));
    const auto both = compute_shared_connection_share(66, {2, 2, 90, false});
    cr_assert(both == (connection_share{64, std::nullopt, 32}));
    const auto small_fleet =
        compute_shared_connection_share(16, {1, 1, 6, false});
    cr_assert(small_fleet == (connection_share{15, std::nullopt, 9}));
    const auto standby = compute_shared_connection_share(66, {2, 0, 90, true});
    cr_assert(standby.max_connections == 8);
    cr_assert(standby.idle_timeout == milliseconds(300));
    const auto other = compute_shared_connection_share(66, {2, 0, 90, false});
    cr_assert(other.max_connections == 3);
    cr_assert(other.idle_timeout == milliseconds(300));
    // Targets that accept fewer connections than there are slices.
    cr_assert(
        compute_shared_connection_share(1, {4, 1, 90, false}).max_connections ==
        1);
    cr_assert(
        compute_shared_connection_share(2, {4, 0, 90, false}).max_connections ==
        1);
}
