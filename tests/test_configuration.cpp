/// Tests of settings and configuration files.
#include <oleandergrade/process/settings.hpp>
#include <oleandergrade/version/configuration.hpp>
#include <oleandergrade/version/vm_list.hpp>

#include <criterion/criterion.h>

#include <algorithm>

using namespace oleandergrade;

namespace
{

bool reports(const std::vector<ini_problem>& problems, unsigned line,
             const std::string& key)
{
    return std::any_of(problems.begin(), problems.end(),
                       [&](const ini_problem& problem) {
                           return problem.line == line &&
                                  problem.key.find(key) != std::string::npos;
                       });
}

} // namespace

Test(settings, reports_all_problems_with_their_lines)
{
    std::vector<ini_problem> problems;
    parse_settings("vm.ini",
                   "[node]\n"
                   "id = a\n"
                   "failure_domain = X\n"
                   "listen = localhost:7201\n"
                   "peer_listen = 127.0.0.1:99999\n"
                   "admin_listen = 127.0.0.1:7401\n"
                   "threads = 0\n"
                   "colour = red\n"
                   "[platform]\n",
                   problems);
    cr_assert(reports(problems, 4, "listen"));
    cr_assert(reports(problems, 5, "peer_listen"));
    cr_assert(reports(problems, 7, "threads"));
    cr_assert(reports(problems, 8, "colour"));
    cr_assert(reports(problems, 9, "address"));
    cr_assert(problems.size() == 5);
}

Test(settings, names_missing_sections)
{
    std::vector<ini_problem> problems;
    parse_settings("vm.ini", "", problems);
    cr_assert(problems.size() == 2);
}

Test(configuration, reports_all_problems_with_their_lines)
{
    std::vector<ini_problem> problems;
    parse_configuration("fleet.ini",
                        "[fleet]\n"
                        "failure_domains = X\n"
                        "[account a]\n"
                        "rate = -3\n"
                        "databases = nowhere\n"
                        "[database d]\n"
                        "open_reads = perhaps\n"
                        "[target t]\n"
                        "database = e\n"
                        "address = 127.0.0.1:1\n"
                        "failure_domain = Y\n"
                        "[colour red]\n",
                        problems);
    cr_assert(reports(problems, 4, "rate"));
    cr_assert(reports(problems, 5, "databases"));
    cr_assert(reports(problems, 6, "database d"));
    cr_assert(reports(problems, 7, "open_reads"));
    cr_assert(reports(problems, 9, "database"));
    cr_assert(reports(problems, 11, "failure_domain"));
    cr_assert(reports(problems, 12, "colour"));
}

Test(configuration, refuses_repeated_sections)
{
    std::vector<ini_problem> problems;
    parse_configuration("f", "[account a]\nrate = 1\n[account a]\nrate = 2\n",
                        problems);
    cr_assert(!problems.empty());
}

// Found by scripts/fuzz.sh: such a file was accepted and kept, and no VM could
// read the record again.
Test(configuration, refuses_files_that_are_not_utf8)
{
    std::vector<ini_problem> problems;
    parse_configuration("f", "[fleet]\nfailure_domains = X\xc9\n", problems);
    cr_assert(problems.size() == 1);
    cr_assert(problems.front().message.find("UTF-8") != std::string::npos);
}

Test(configuration, record_survives_serialization)
{
    std::vector<ini_problem> problems;
    auto value = parse_configuration(
        "configuration",
        "[fleet]\nfailure_domains = X\n[account a]\nrate = 1\n", problems);
    cr_assert(problems.empty());
    value.version = 7;
    value.session_secret = "secret";
    value.keys["k"] = {"k", "a", "salt", "hash", true};
    const auto parsed =
        parse_configuration_record(serialize_configuration(value));
    cr_assert(succeeded(parsed));
    cr_assert(value_of(parsed) == value);
    cr_assert(!succeeded(parse_configuration_record("{\"text\":\"[x\"}")));
}

Test(vm_list, moves_few_targets_when_a_vm_goes)
{
    vm_list before;
    for (const char* id : {"a", "b", "c", "d"})
        before.vms.push_back({id, "", "X", false});
    vm_list after = before;
    after.vms.pop_back();
    unsigned moved = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const auto name = std::to_string(i);
        const auto owner = ranked_owners(before, name, "X").front().id;
        const auto next = ranked_owners(after, name, "X").front().id;
        if (owner != next)
        {
            cr_assert(owner == "d");
            ++moved;
        }
    }
    cr_assert(moved > 150 && moved < 350);
}

Test(vm_list, ranks_leaving_vms_last)
{
    vm_list list;
    list.vms = {{"a", "", "X", true}, {"b", "", "X", false}};
    cr_assert(owner_rank(list, "t", "X", "b") == 0);
    cr_assert(owner_rank(list, "t", "X", "a") == 1);
    cr_assert(owner_rank(list, "t", "Y", "a") == owners_per_target);
}
