/// Tests of log lines, request explanations, load reports and the checks of
/// answers in load tools.
#include "../platform/platform_parts.hpp"
#include "received_statements.hpp"

#include <oleandergrade/operations/load_report.hpp>
#include <oleandergrade/operations/request_explanation.hpp>
#include <oleandergrade/operations/text_check.hpp>
#include <oleandergrade/operations/verifying_caller.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <criterion/criterion.h>

using namespace oleandergrade;

namespace
{

/// Parses a line that must be valid.
log_line line_of(const char* text)
{
    const auto line = parse_log_line(text);
    cr_assert(line.has_value(), "%s", text);
    return *line;
}

} // namespace

Test(operations, log_lines_are_parsed_with_quotes)
{
    const auto line =
        line_of("level=warning at_ms=1700 vm=vm-0 part=statement event=failed "
                "reason=\"a \\\"busy\\\" target\" took=12ms");
    cr_assert(line.value_of_field("reason") == "a \"busy\" target");
    cr_assert(line.time_ms() == 1700);
    cr_assert(line.value_of_field("target").empty());
    cr_assert(!parse_log_line("cannot start: Address already in use"));
    cr_assert(!parse_log_line(""));
}

Test(operations, a_request_is_explained_by_the_state_of_its_vm)
{
    const std::vector<log_line> lines{
        line_of("at_ms=900 vm=vm-1 part=grant event=lost token=7"),
        line_of("at_ms=1000 vm=vm-0 part=grant event=lost token=7"),
        line_of("at_ms=1100 vm=vm-2 part=failover event=step group=g"),
        line_of("at_ms=1200 vm=vm-0 part=statement event=failed request=r1 "
                "reason=\"the primary is being replaced\""),
        line_of("at_ms=1250 vm=vm-0 part=statement event=failed request=r2 "
                "reason=\"over the account's rate\""),
        line_of("at_ms=9000 vm=vm-0 part=grant event=regained token=7")};
    const auto found = explain_request(lines, "r1", 500);
    cr_assert(found.request_lines.size() == 1);
    cr_assert(found.context_lines.size() == 2);
    cr_assert(found.context_lines[0].value_of_field("part") == "grant");
    cr_assert(found.context_lines[1].value_of_field("vm") == "vm-2");
    cr_assert(advice_for(found.request_lines[0]).find("no primary") !=
              std::string::npos);
    cr_assert(explain_request(lines, "r3", 500).request_lines.empty());
}

Test(operations, a_report_counts_outcomes_and_latencies)
{
    load_sample sample;
    for (int i = 1; i <= 100; ++i)
        sample.add(milliseconds(i * 10), milliseconds(i), session_error::none);
    sample.add(milliseconds(1500), milliseconds(1), session_error::busy);
    cr_assert(sample.total() == 101);
    cr_assert(sample.count(session_error::busy) == 1);
    cr_assert(sample.latency_quantile_ms(0.5) == 51);
    cr_assert(sample.latency_quantile_ms_in_second(0, 0.99) == 99);
    cr_assert(sample.failures_in_second(1) == 1);
    load_report report;
    report.duration_s = 2;
    report.fleets.push_back({"fleet", {{"intake", sample}}, {"a violation"}});
    report.faults.push_back({0.5, "crash i-0-0"});
    cr_assert(report.to_text().find("VIOLATION fleet a violation") !=
              std::string::npos);
    const auto parsed = boost::json::parse(report.to_json()).as_object();
    cr_assert(parsed.at("fleets").as_array().size() == 1);
    const auto svg = report.to_svg();
    cr_assert(svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
    cr_assert(svg.find("crash i-0-0") != std::string::npos);
}

Test(operations, a_write_that_the_log_contains_twice_is_a_violation)
{
    boost::asio::io_context context;
    const auto codec = platform::make_session_codec();
    route database_route;
    database_route.database = "intake";
    verifying_caller caller(context.get_executor(), *codec, database_route,
                            "key", "item");
    cr_assert(
        find_log_violations(caller, "item 1\nother 1\nother 1\n").empty());
    cr_assert(find_log_violations(caller, "item 1\nitem 2\nitem 1\n").size() ==
              1);
}

namespace
{

/// Returns a check of an EXECUTE that ends with a blank, which was answered.
text_check check_of_execute(session_error failure)
{
    text_check check;
    check.add_sent("c-1", {"EXECUTE s1 a17 ", "EXECUTE (READ q) a17 ", ""});
    check.add_answer("c-1", failure);
    return check;
}

/// Returns the only violation after these statements were received.
std::string violation_after(const std::string& page, session_error failure)
{
    auto check = check_of_execute(failure);
    check.add_received(page);
    const auto violations = check.violations();
    cr_assert(violations.size() == 1, "%zu violations", violations.size());
    return violations.front();
}

} // namespace

// Guards against a check that passes over a text that lost its last blank, over
// an identifier that nobody used, a statement that never ran or was refused, or
// a record with gaps.
Test(operations, texts_that_arrive_changed_are_violations)
{
    const std::string equal = "0 c-1 i-0-0 EXECUTE%20(READ%20q)%20a17%20\n";
    const auto none = session_error::none;
    auto check = check_of_execute(none);
    cr_assert(check.add_received(equal) == 1);
    cr_assert(check.violations().empty());
    cr_assert(violation_after("0 c-1 i-0-0 EXECUTE%20(READ%20q)%20a17\n", none)
                  .ends_with("received \"EXECUTE%20(READ%20q)%20a17\""));
    cr_assert(
        violation_after("0 c-1 i-0-0 EXECUTE%20(READ%20r)%20a17%20\n", none)
            .starts_with("c-1: sent"));
    cr_assert(violation_after(equal + "1 c- i-0-0 READ%20a\n", none)
                  .ends_with("which no caller sent"));
    cr_assert(violation_after("", none).ends_with("no server received it"));
    cr_assert(violation_after("", session_error::malformed)
                  .ends_with("was refused: malformed"));
    cr_assert(violation_after("2" + equal.substr(1), none)
                  .find("has lost 2 statements") != std::string::npos);
}

// Guards against received statements that a reader loses unnoticed, after a
// lost answer or because of the limit.
Test(operations, received_statements_are_read_in_pages)
{
    standins::received_statements received;
    for (const auto* text : {"READ a", "READ ", ""})
        received.add({"c\n", "i-0-0", text});
    const std::string first = "0 c%0a i-0-0 READ%20a\n";
    cr_assert(received.to_text(0, 0) == first);
    cr_assert(received.to_text(0, 100) ==
              first + "1 c%0a i-0-0 READ%20\n2 c%0a i-0-0 %\n");
    received.discard_before(1);
    cr_assert(received.to_text(0, 0) == "1 c%0a i-0-0 READ%20\n");
    received.discard_before(10);
    cr_assert(received.to_text(0, 100).empty());
    received.add({"c", "i-0-0", "COMMIT"});
    cr_assert(received.to_text(0, 0) == "3 c i-0-0 COMMIT\n");
}
