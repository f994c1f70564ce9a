/// Tests of the platform's encodings: session protocol, configuration, server
/// records, settings and base64.
#include "../platform/base64.hpp"
#include "../platform/configuration_decoder.hpp"
#include "../platform/line_codec.hpp"
#include "../platform/server_record_decoder.hpp"
#include "../platform/settings_file.hpp"
#include "fakes/random_statement_texts.hpp"
#include "fakes/rewritten_statement.hpp"

#include <oleandergrade/connection/http_statement.hpp>
#include <oleandergrade/connection/json_fields.hpp>
#include <oleandergrade/connection/peer_message.hpp>

#include <criterion/criterion.h>

#include <random>

using namespace oleandergrade;

namespace
{

const platform::line_codec codec;

/// Parses a line and fails the test if it is not a statement.
session_statement statement_of(const std::string& line)
{
    const auto parsed = codec.parse_caller_message(line);
    cr_assert(succeeded(parsed), "%s", line.c_str());
    const auto* call = std::get_if<session_statement>(&value_of(parsed));
    cr_assert(call != nullptr, "%s", line.c_str());
    return *call;
}

/// Parses an HTTP request with these fields of a statement.
result<http_statement> parse_http(session_verb verb, boost::json::object fields)
{
    const boost::json::object body{{"database", "d"},
                                   {"statement", std::move(fields)}};
    return parse_http_statement(verb, boost::json::serialize(body), codec);
}

/// Returns whether the request is refused with a message that names the field.
bool is_refused_for(session_verb verb, boost::json::object fields,
                    const char* field)
{
    const auto parsed = parse_http(verb, std::move(fields));
    return !succeeded(parsed) &&
           error_of(parsed).message.find(field) != std::string::npos;
}

const std::string settings_text = R"(
NodeName = "edge-a-1"
Role = "entry"
Ip = "127.0.0.1"
Zone = "a"
InternalPorts = [7560, 7575]
Seeds = ["127.0.0.1:8462"]
Bootstrap = true
NewField = [1, 2]
[Listen]
Front = "127.0.0.1:8465"
Ready = "127.0.0.1:8460"
Control = "127.0.0.1:8462"
[Bounds]
ConfigApplyMs = 3000
DrainMs = 7000
GraceS = 6
QuotaWindowS = 5
QuotaOvershoot = 0.1
QuotaSlack = 20
[platform]
Address = "127.0.0.1:8466"
TtlMinMs = 1000
[CloudApi]
Address = "127.0.0.1:8467"
)";

} // namespace

Test(platform_codec, reads_statements_of_callers)
{
    cr_assert(statement_of("QUERY 7 BEGIN").verb == session_verb::begin);
    cr_assert(statement_of("QUERY 7 BEGIN READ").verb ==
              session_verb::begin_read_only);
    const auto write = statement_of("QUERY 7f WRITE 1a4 some data with blanks");
    cr_assert(write.verb == session_verb::write);
    cr_assert(write.id == "7f");
    cr_assert(write.item_or_shape == "1a4");
    cr_assert(write.data == "some data with blanks");
    cr_assert(write.text == "WRITE 1a4 some data with blanks");
    const auto prepared = statement_of("QUERY 7 PREPARE s1 WRITE q2c");
    cr_assert(prepared.verb == session_verb::prepare);
    cr_assert(prepared.name == "s1" && prepared.prepares_write);
    cr_assert(prepared.item_or_shape == "q2c");
    const auto executed = statement_of("QUERY 7 EXECUTE s1 1a4 data");
    cr_assert(executed.name == "s1" && executed.item_or_shape == "1a4 data");
    cr_assert(executed.data.empty());
    cr_assert(executed.text == "EXECUTE s1 1a4 data");
    const auto set = statement_of("QUERY 7 SET zone negombo");
    cr_assert(set.name == "zone" && set.data == "negombo");
}

// Guards against legal statements that are refused, each time that their caller
// repeats them, because of blanks in the last field or because it is empty.
Test(platform_codec, last_fields_extend_to_the_end_of_the_line)
{
    const std::vector<std::pair<std::string, session_verb>> texts{
        {"READ ", session_verb::read},
        {"READ  item", session_verb::read},
        {"READ an  item ", session_verb::read},
        {"WRITE item ", session_verb::write},
        {"WRITE item  data", session_verb::write},
        {"WRITE item some  data", session_verb::write},
        {"SET zone ", session_verb::set_value},
        {"SET zone  negombo", session_verb::set_value},
        {"PREPARE s1 READ ", session_verb::prepare},
        {"PREPARE s1 WRITE  two  blanks ", session_verb::prepare},
        {"EXECUTE s1 ", session_verb::execute},
        {"EXECUTE s1  item", session_verb::execute},
        {"EXECUTE s1 item ", session_verb::execute},
        {"EXECUTE s1 item some  data", session_verb::execute}};
    for (const auto& [text, verb] : texts)
    {
        const auto statement = statement_of("QUERY 7 " + text);
        cr_assert(statement.verb == verb, "'%s'", text.c_str());
        cr_assert(statement.text == text, "'%s'", text.c_str());
    }
    fakes::random_statement_texts random(3);
    for (int iteration = 0; iteration < 20'000; ++iteration)
    {
        const auto drawn = random.draw(true);
        for (const auto& text : {drawn.preparation, drawn.text})
            cr_assert(text.empty() || statement_of("QUERY 7 " + text).verb !=
                                          session_verb::unknown,
                      "'%s'", text.c_str());
    }
}

// Guards against bytes of a statement that are lost or added between the
// caller's line and the target's, other than the name of a prepared statement.
Test(platform_codec, statements_leave_as_they_came_but_for_the_name)
{
    fakes::random_statement_texts random(5);
    for (int iteration = 0; iteration < 20'000; ++iteration)
    {
        const auto drawn = random.draw(true);
        const std::vector<std::string> texts{
            drawn.text, drawn.preparation,
            "SET " + random.draw_word() + " " + random.draw_last_field(),
            "DEALLOC " + random.draw_last_field()};
        for (const auto& text : texts)
        {
            if (text.empty())
                continue;
            const auto line = "QUERY " + random.draw_word() + " " + text;
            cr_assert(statement_of(line).verb != session_verb::unknown, "'%s'",
                      line.c_str());
            const auto change = fakes::find_changed_statement(codec, line);
            cr_assert(change.empty(), "%s", change.c_str());
        }
    }
}

// Guards against bytes of a statement, a session value or a name that are lost
// between VMs, such as those from a NUL byte on.
Test(platform_codec, forwarded_statements_keep_all_bytes)
{
    fakes::random_statement_texts random(6);
    for (int iteration = 0; iteration < 5'000; ++iteration)
    {
        forwarded_statement sent;
        sent.session = {"vm-1", 2, 3};
        auto& call = sent.statement;
        call.verb = session_verb::execute;
        for (auto* field :
             {&call.id, &call.name, &call.item_or_shape, &call.data, &call.text,
              &sent.account, &sent.matched_route.database,
              &sent.matched_route.group})
            *field = random.draw_last_field();
        sent.prepared = {iteration % 2 == 0, random.draw_last_field()};
        for (int value = 0; value < 3; ++value)
            sent.session_values[random.draw_word()] = random.draw_last_field();
        const auto received =
            decode_peer_message(encode_peer_message({7, sent}));
        cr_assert(succeeded(received));
        cr_assert(value_of(received) == (peer_message{7, sent}),
                  "iteration %d: text '%s'", iteration, call.text.c_str());
    }
}

// Guards against HTTP requests that are refused, each time that they are
// repeated, though the session protocol allows their texts.
Test(platform_codec, last_fields_of_http_requests_may_be_empty_or_have_blanks)
{
    for (const std::string field :
         {"", " ", "a b", " two  blanks ", "tab\t", "AFTER 3.17", "b\xc3\xa9"})
    {
        const auto read = parse_http(session_verb::read, {{"key", field}});
        cr_assert(succeeded(read), "'%s'", field.c_str());
        cr_assert(value_of(read).call.text == "READ " + field);
        const auto write =
            parse_http(session_verb::write, {{"key", "k"}, {"value", field}});
        cr_assert(succeeded(write), "'%s'", field.c_str());
        const auto& text = value_of(write).call.text;
        cr_assert(text == "WRITE k " + field);
        cr_assert(statement_of("QUERY 7 " + text).data == field);
    }
}

// Guards against HTTP requests that send further lines to a target, and against
// absent fields that are taken for empty ones.
Test(platform_codec, http_requests_that_make_no_line_are_refused)
{
    constexpr auto read = session_verb::read;
    constexpr auto write = session_verb::write;
    for (const auto* field : {"a\r\nQUERY 1 COMMIT", "a\r", "\na"})
    {
        cr_assert(is_refused_for(read, {{"key", field}}, "statement.key"));
        cr_assert(is_refused_for(write, {{"key", "k"}, {"value", field}},
                                 "statement.value"));
        cr_assert(is_refused_for(write, {{"key", field}, {"value", "v"}},
                                 "statement.key"));
    }
    cr_assert(is_refused_for(read, {}, "statement.key"));
    cr_assert(is_refused_for(write, {{"key", "k"}}, "statement.value"));
    cr_assert(is_refused_for(write, {{"value", "v"}}, "statement.key"));
    cr_assert(
        is_refused_for(write, {{"key", "k"}, {"value", 7}}, "statement.value"));
    for (const auto* key : {"", "a b"})
        cr_assert(is_refused_for(write, {{"key", key}, {"value", "v"}},
                                 "statement.key"));
}

Test(platform_codec, statements_that_lack_words_are_unknown)
{
    for (const auto* line :
         {"QUERY 7 READ", "QUERY 7 WRITE 1a4", "QUERY 7 SET zone",
          "QUERY 7 PREPARE s1 q2c", "QUERY 7 PREPARE s1 DELETE q2c",
          "QUERY 7 COMMIT now", "QUERY 7 BEGIN WRITE", "QUERY 7 DROP it",
          "QUERY 7 ", "QUERY 7 read 1a4"})
        cr_assert(statement_of(line).verb == session_verb::unknown, "%s", line);
    cr_assert(!succeeded(codec.parse_caller_message("")));
    cr_assert(!succeeded(codec.parse_caller_message("QUERY")));
    cr_assert(!succeeded(codec.parse_caller_message("GET / HTTP/1.1")));
}

Test(platform_codec, reads_the_opening_of_a_session)
{
    const auto with_key = codec.parse_caller_message("CONNECT lepu270 u3f1");
    const session_opening expected{"lepu270", "u3f1"};
    cr_assert(std::get<session_opening>(value_of(with_key)) == expected);
    const auto open = codec.parse_caller_message("CONNECT lepu270");
    cr_assert(std::get<session_opening>(value_of(open)).account_key.empty());
    cr_assert(!succeeded(codec.parse_caller_message("CONNECT")));
}

Test(platform_codec, reads_answers_of_targets)
{
    const auto ready = codec.parse_target_message("READY T 3.1209");
    const auto& state = std::get<target_readiness>(value_of(ready));
    cr_assert(state.transaction == transaction_state::open);
    cr_assert(*state.position == (log_position{3, 1209}));
    const auto none = codec.parse_target_message("READY I -");
    cr_assert(!std::get<target_readiness>(value_of(none)).position);
    const auto failure =
        codec.parse_target_message("ERROR READONLY i-7f3a91c2");
    cr_assert(std::get<target_failure>(value_of(failure)).code ==
              session_error::read_only);
    const auto unknown_code = codec.parse_target_message("ERROR NEWCODE x");
    cr_assert(std::get<target_failure>(value_of(unknown_code)).code ==
              session_error::other);
    cr_assert(!succeeded(codec.parse_target_message("READY X -")));
    cr_assert(!succeeded(codec.parse_target_message("HELLO")));
}

Test(platform_codec, reads_the_report_of_a_target)
{
    const auto report =
        codec.parse_target_report("ROW replica 3 3.1209 0 12 2 17");
    cr_assert(succeeded(report));
    cr_assert(value_of(report) == (target_report{false, 3, {3, 1209}, 2, 17}));
    cr_assert(
        !succeeded(codec.parse_target_report("ROW replica 3 - 0 12 2 1")));
    cr_assert(!succeeded(codec.parse_target_report("ROW replica")));
}

Test(platform_codec, writes_what_targets_and_callers_read)
{
    std::string out;
    codec.append_opening(out, "huvo11a", "tenant", "i-7f3a91c2");
    codec.append_statement(out, "5c0e", "READ 1a4", log_position{3, 1207});
    codec.append_completion(out, "7.1f3.c");
    codec.append_proxy_completion(out);
    codec.append_failure(out, session_error::busy, "come back");
    codec.append_readiness(out, transaction_state::failed);
    cr_assert(out == "CONNECT huvo11a tenant i-7f3a91c2\r\n"
                     "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"
                     "COMPLETE 7.1f3.c\r\n"
                     "COMPLETE -\r\n"
                     "ERROR BUSY come back\r\n"
                     "READY E -\r\n");
}

Test(platform_codec, random_lines_are_read_or_refused)
{
    std::mt19937 random(7);
    const std::string alphabet = "QUERYCONETBDAW 123.-\\\t";
    for (int iteration = 0; iteration < 20000; ++iteration)
    {
        std::string line(random() % 40, ' ');
        for (auto& c : line)
            c = alphabet[random() % alphabet.size()];
        if (iteration % 2 == 0)
            line = "QUERY 1 " + line;
        (void)codec.parse_caller_message(line);
        (void)codec.parse_target_message(line);
        (void)codec.parse_target_report(line);
    }
}

Test(platform_codec, decodes_a_configuration)
{
    const std::string record =
        R"({"Version":7,"Routes":[{"Name":"r","Database":"db1",)"
        R"("RouteType":"bounded_staleness","TimeoutMs":2000,)"
        R"("TargetLatencyMs":600,"Priority":2,"Service":"g1",)"
        R"("MaxStalenessMs":1500,"Public":false},)"
        R"({"Database":"db2","RouteType":"something new","Service":"g2",)"
        R"("TimeoutMs":1000,"Public":true}],)"
        R"("Services":[{"Name":"g1","MaxConns":39,"SyncReplicas":1}],)"
        R"("Limits":{"TxIdleMs":3000},"Tenants":[{"Name":"acc",)"
        R"("ApiKeys":["k1","k2"],"Priority":1,"RatePerS":121,"Burst":60.5}]})";
    const auto decoded = platform::decode_configuration(record);
    cr_assert(succeeded(decoded));
    const auto& table = *value_of(decoded);
    cr_assert(table.version == 7);
    cr_assert(table.find_route("db1")->consistency ==
              read_consistency::bounded_age);
    cr_assert(table.find_route("db1")->max_age == milliseconds(1500));
    cr_assert(table.find_route("db2")->consistency ==
              read_consistency::current);
    cr_assert(table.find_route("db2")->is_public);
    cr_assert(table.find_route("db3") == nullptr);
    cr_assert(table.find_group("g1")->max_connections_per_target == 39);
    cr_assert(table.find_group("g1")->synchronous_replicas == 1);
    cr_assert(table.find_account_by_key("k2")->name == "acc");
    cr_assert(table.find_account_by_key("k2")->burst == 60.5);
    cr_assert(table.find_account_by_key("k3") == nullptr);
    cr_assert(!succeeded(platform::decode_configuration("{}")));
    cr_assert(!succeeded(platform::decode_configuration("not JSON")));
}

Test(platform_codec, invalid_server_records_are_refused)
{
    const std::string valid_record =
        R"({"Service":"g","Address":"127.0.0.1:80","Zone":"a","Version":"v1",)"
        R"("Slots":3,"State":"ready","WarmupLeftMs":0,"DbRole":"replica",)"
        R"("Seq":4,"born":1700000000000})";
    const auto decoded = platform::decode_server_record("i-1", valid_record);
    cr_assert(succeeded(decoded));
    cr_assert(value_of(decoded) ==
              (target_record{"i-1", "g", "127.0.0.1:80", "a", 3, false, false,
                             1700000000000}));
    const std::vector<std::string> records{
        "",
        "[]",
        "\xff\xfe",
        R"({"Service":"g"})",
        R"({"Service":"g","Address":"127.0.0.1:80","Zone":"a","Slots":"3",)"
        R"("State":"ready","DbRole":"replica"})",
        R"({"Service":"g","Address":"127.0.0.1:80","Zone":"a","Slots":3,)"
        R"("State":"resting","DbRole":"replica"})",
        R"({"Service":"g","Address":"nowhere","Zone":"a","Slots":3,)"
        R"("State":"ready","DbRole":"replica"})"};
    for (const auto& invalid_record : records)
        cr_assert(
            !succeeded(platform::decode_server_record("i-2", invalid_record)),
            "%s", invalid_record.c_str());
}

Test(platform_codec, reads_settings_and_lists_problems)
{
    const auto parsed =
        platform::parse_settings_file("settings.toml", settings_text);
    cr_assert(succeeded(parsed));
    const auto& settings = value_of(parsed);
    cr_assert(settings.name == "edge-a-1");
    cr_assert(settings.peer_address == "127.0.0.1:8462");
    cr_assert(settings.metrics_address == "127.0.0.1:7560");
    cr_assert(settings.stop_timeout == milliseconds(6000));
    cr_assert(settings.limit_slack_operations == 20);
    cr_assert(settings.is_first_start);

    auto broken = settings_text;
    broken.replace(broken.find("3000"), 4, "\"x\"");
    const auto refused = platform::parse_settings_file("settings.toml", broken);
    cr_assert(!succeeded(refused));
    const auto& message = error_of(refused).message;
    cr_assert(message.find("settings.toml:15") != std::string::npos, "%s",
              message.c_str());
    cr_assert(message.find("Bounds.ConfigApplyMs") != std::string::npos);
    cr_assert(!succeeded(platform::parse_settings_file("s", "a = = 1")));
    cr_assert(!succeeded(platform::parse_settings_file("s", "")));
}

Test(platform_codec, base64_round_trip)
{
    const std::vector<std::string> samples{"", "n", "no", "node-1",
                                           std::string("\0\xff\x10", 3)};
    for (const auto& bytes : samples)
        cr_assert(*platform::decode_base64(platform::encode_base64(bytes)) ==
                  bytes);
    cr_assert(platform::encode_base64("node-1") == "bm9kZS0x");
    cr_assert(!platform::decode_base64("abc"));
    cr_assert(!platform::decode_base64("a!b?"));
}

// Guards against undefined behaviour in the character tables of the TOML
// library, which the fuzz target triggered with non-ASCII letters in bare keys.
Test(platform_codec, non_ascii_settings_outside_quotes_are_refused)
{
    const auto refused = platform::parse_settings_file(
        "f.toml", "NodeName = \"vm\"\n\xd1\x98 = 1\n");
    cr_assert(!succeeded(refused));
    cr_assert(error_of(refused).message.starts_with("f.toml:2:"), "%s",
              error_of(refused).message.c_str());
    // Non-ASCII characters in quoted strings and comments are accepted.
    const auto quoted = platform::parse_settings_file(
        "f.toml", "NodeName = \"Cartágo\" # plánta\n");
    cr_assert(error_of(quoted).message.find("non-ASCII") == std::string::npos);
}

// Guards against callers without a key who count as the account that has the
// empty key, and against a key "-" that is in force and not accepted.
Test(platform_codec, an_absent_key_is_no_key)
{
    const auto decoded = platform::decode_configuration(
        R"({"Version":1,"Tenants":[{"Name":"empty","ApiKeys":[""]},)"
        R"({"Name":"dash","ApiKeys":["-"]}]})");
    cr_assert(succeeded(decoded));
    const auto account_of = [&](const std::string& line)
    {
        const auto message = codec.parse_caller_message(line);
        const auto& opening = std::get<session_opening>(value_of(message));
        return value_of(decoded)->find_account_by_key(opening.account_key);
    };
    cr_assert(account_of("CONNECT db") == nullptr);
    cr_assert(account_of("CONNECT db ") == nullptr);
    cr_assert(account_of("CONNECT db -") != nullptr);
    cr_assert(account_of("CONNECT db -")->name == "dash");
}
