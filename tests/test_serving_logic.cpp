/// Tests of the logic that selects targets for statements (registrations, log
/// positions, target health, connection shares) and of the state of callers'
/// sessions and the messages between VMs.
#include <oleandergrade/connection/caller_session.hpp>
#include <oleandergrade/connection/fleet_message.hpp>
#include <oleandergrade/connection/peer_message.hpp>
#include <oleandergrade/connection/session_codec.hpp>
#include <oleandergrade/process/configuration/watch_backoff.hpp>
#include <oleandergrade/process/membership/member_list.hpp>
#include <oleandergrade/process/serving/connection_share.hpp>
#include <oleandergrade/process/serving/placement_deadline.hpp>
#include <oleandergrade/process/serving/prepared_name.hpp>
#include <oleandergrade/process/serving/statement_text_trace.hpp>
#include <oleandergrade/process/serving/target_chooser.hpp>
#include <oleandergrade/process/stop_schedule.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace oleandergrade;

namespace
{

constexpr time_point start{seconds(1000)};

/// A view of the group "g" with the primary "p" in term 1, two replicas and a
/// valid grant.
serving_view view_of_group()
{
    serving_view view;
    for (const std::string id : {"p", "r1", "r2"})
    {
        target_record record;
        record.id = id;
        record.group = "g";
        record.address = "127.0.0.1:1";
        record.slots = 3;
        view.registry.put(record);
    }
    primary_record record;
    record.group = "g";
    record.term = 1;
    record.target = "p";
    record.is_open = true;
    record.revision = 10;
    view.authority.on_record(record);
    view.authority.on_grant(1, start, seconds(60));
    return view;
}

placement_request read_request(read_consistency consistency)
{
    placement_request request;
    request.group = "g";
    request.account = "a";
    request.consistency = consistency;
    request.max_age = milliseconds(1500);
    return request;
}

std::vector<std::string> names(const std::vector<placement_candidate>& found)
{
    std::vector<std::string> ids;
    for (const auto& candidate : found)
        ids.push_back(candidate.target->id);
    return ids;
}

session_statement statement_of(session_verb verb, const char* name,
                               const char* data = "")
{
    session_statement call;
    call.verb = verb;
    call.name = name;
    call.item_or_shape = data;
    call.data = data;
    return call;
}

} // namespace

namespace
{

using naming = std::function<std::string(const prepared_statement&)>;

std::string hexadecimal(const std::string& bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes)
    {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

/// The naming of earlier versions, in which a literal name and a hexadecimal
/// one can be the same.
std::string ambiguous_name(const prepared_statement& statement)
{
    const std::string kind = statement.writes ? "w" : "r";
    const auto& shape = statement.shape;
    const bool is_literal =
        shape.size() <= 64 &&
        std::all_of(shape.begin(), shape.end(),
                    [](unsigned char c) { return std::isalnum(c) != 0; });
    return is_literal ? kind + shape : kind + "x" + hexadecimal(shape);
}

/// Returns how many pairs of different statements share a name, among shapes of
/// arbitrary bytes, and shapes and names that a caller derives from them.
std::size_t count_shared_names(const naming& name_of)
{
    std::minstd_rand random(7);
    std::set<std::string> shapes{"", "x612d", "a-"};
    for (int i = 0; i < 2000; ++i)
    {
        std::string shape;
        const auto length = random() % (i % 10 == 0 ? 200 : 12);
        for (std::size_t j = 0; j < length; ++j)
            shape += static_cast<char>(i % 3 == 0 ? "ax-6"[random() % 4]
                                                  : random() % 256);
        shapes.insert(shape);
        shapes.insert("x" + hexadecimal(shape));
        shapes.insert("d" + hexadecimal(shape));
        for (const bool writes : {false, true})
        {
            const auto name = name_of({writes, shape});
            shapes.insert(name);
            shapes.insert(name.substr(1));
            shapes.insert(name.substr(std::min<std::size_t>(2, name.size())));
        }
    }
    std::map<std::string, prepared_statement> named;
    std::size_t shared = 0;
    for (const auto& shape : shapes)
        for (const bool writes : {false, true})
        {
            const prepared_statement statement{writes, shape};
            const auto [found, is_new] =
                named.emplace(name_of(statement), statement);
            if (!is_new && !(found->second == statement))
                ++shared;
        }
    return shared;
}

} // namespace

// Guards against two prepared statements with one name at a target, where a
// caller's EXECUTE ran the shape of another caller.
Test(serving_logic, prepared_names_determine_the_statement)
{
    cr_assert(count_shared_names(prepared_name_at_target) == 0);
    cr_assert(count_shared_names(ambiguous_name) > 0,
              "the check does not find names that are shared");
    const auto long_name =
        prepared_name_at_target({false, std::string(1 << 20, '-')});
    cr_assert(long_name.size() == 66);
    cr_assert(prepared_name_at_target({true, "q2c"}) ==
              prepared_name_at_target({true, "q2c"}));
}

Test(serving_logic, strict_reads_and_writes_go_to_the_primary)
{
    auto view = view_of_group();
    view.positions["g"].observe({1, 5}, start);
    const std::vector<std::string> primary{"p"};
    cr_assert(
        names(choose_candidates(view, read_request(read_consistency::current),
                                start)) == primary);
    auto write = read_request(read_consistency::own_writes);
    write.needs_primary = true;
    cr_assert(names(choose_candidates(view, write, start)) == primary);
}

Test(serving_logic, replicas_serve_while_positions_are_recent)
{
    auto view = view_of_group();
    const auto request = read_request(read_consistency::bounded_age);
    cr_assert(choose_candidates(view, request, start).size() == 1);
    view.positions["g"].observe({1, 5}, start);
    const auto soon = start + milliseconds(1000);
    const auto candidates = choose_candidates(view, request, soon);
    cr_assert(candidates.size() == 3);
    for (const auto& candidate : candidates)
        if (!candidate.is_primary)
            cr_assert(*candidate.minimum_position == (log_position{1, 5}));
    // A position that was requested earlier may lack a commit that the read
    // must see.
    const auto late = start + milliseconds(1400);
    cr_assert(choose_candidates(view, request, late).size() == 1);
}

Test(serving_logic, sessions_read_their_own_writes_at_replicas)
{
    auto view = view_of_group();
    view.positions["g"].observe({1, 5}, start);
    auto request = read_request(read_consistency::own_writes);
    request.session_position = log_position{1, 9};
    for (const auto& candidate : choose_candidates(view, request, start))
        if (!candidate.is_primary)
            cr_assert(*candidate.minimum_position == (log_position{1, 9}));
    // After a promotion, the log of the new term contains all commits that were
    // kept.
    view.positions["g"].observe({2, 7}, start + milliseconds(100));
    for (const auto& candidate :
         choose_candidates(view, request, start + milliseconds(1400)))
        if (!candidate.is_primary)
            cr_assert(*candidate.minimum_position == (log_position{2, 7}));
}

Test(serving_logic, nothing_goes_to_a_closed_primary_or_without_a_grant)
{
    auto view = view_of_group();
    auto record = *view.authority.find("g");
    record.is_open = false;
    record.revision = 11;
    view.authority.on_record(record);
    view.positions["g"].observe({1, 5}, start);
    const auto bounded = read_request(read_consistency::bounded_age);
    const std::vector<std::string> replicas{"r1", "r2"};
    cr_assert(names(choose_candidates(view, bounded, start)) == replicas);
    const auto strict = read_request(read_consistency::current);
    cr_assert(choose_candidates(view, strict, start).empty());

    auto without_grant = view_of_group();
    cr_assert(
        choose_candidates(without_grant, strict, start + seconds(61)).empty());
}

Test(serving_logic, draining_lagging_and_failing_targets_are_not_chosen)
{
    auto view = view_of_group();
    view.positions["g"].observe({1, 5}, start);
    auto draining = *view.registry.find("r1");
    draining.is_draining = true;
    view.registry.put(draining);
    view.health.record_lagging("r2", start);
    const auto request = read_request(read_consistency::bounded_age);
    const std::vector<std::string> primary{"p"};
    cr_assert(names(choose_candidates(view, request, start)) == primary);
    view.record_target_result("p", false, start);
    cr_assert(choose_candidates(view, request, start).empty());
    cr_assert(view.wait_estimator.expected_wait("g", start).count() > 0);
    view.record_target_result("p", true, start + milliseconds(10));
    cr_assert(view.wait_estimator.expected_wait("g", start).count() == 0);
}

Test(serving_logic, old_failures_are_not_reported)
{
    target_health health;
    cr_assert(health.record_failure("t", start));
    cr_assert(!health.record_failure("t", start + milliseconds(1)));
    cr_assert(health.is_avoided("t", start + milliseconds(100)));
    cr_assert(!health.is_avoided("t", start + milliseconds(200)));
    cr_assert(health.failing_targets(start + milliseconds(500)).size() == 1);
    cr_assert(health.failing_targets(start + seconds(5)).empty());
}

Test(serving_logic, lapsed_registrations_are_kept_for_a_limited_time)
{
    auto view = view_of_group();
    auto& registry = view.registry;
    registry.remove("r1", start);
    cr_assert(registry.find("r1") != nullptr);
    cr_assert(!registry.discard_lapsed(start + seconds(2)));
    cr_assert(
        registry.discard_lapsed(start + target_registry::lapsed_retention));
    cr_assert(registry.find("r1") == nullptr);
    // A registration that is renewed in time is kept.
    registry.remove("r2", start);
    registry.put(*registry.find("r2"));
    cr_assert(!registry.discard_lapsed(start + seconds(10)));
}

Test(serving_logic, outdated_positions_are_ignored)
{
    position_tracker tracker;
    tracker.observe({1, 9}, start + milliseconds(100));
    tracker.observe({1, 4}, start);
    tracker.observe({1, 4}, start + milliseconds(200));
    cr_assert(*tracker.newest() == (log_position{1, 9}));
    cr_assert(!tracker.minimum_for(milliseconds(1500), start + seconds(30)));
}

Test(serving_logic, sessions_keep_their_values_and_names)
{
    caller_session session;
    cr_assert(session.apply(statement_of(session_verb::set_value, "zone",
                                         "galle")) == session_error::none);
    cr_assert(session.values().at("zone") == "galle");
    cr_assert(session.apply(statement_of(session_verb::prepare, "s1", "q2")) ==
              session_error::none);
    cr_assert(session.find_prepared("s1")->shape == "q2");
    cr_assert(session.apply(statement_of(session_verb::deallocate, "s1")) ==
              session_error::none);
    cr_assert(session.find_prepared("s1") == nullptr);
    cr_assert(session.apply(statement_of(session_verb::deallocate, "s1")) ==
              session_error::unknown_prepared);
    session.begin_transaction(false);
    session.fail_transaction();
    cr_assert(session.apply(statement_of(session_verb::set_value, "a", "b")) ==
              session_error::malformed);
    session.end_transaction();
    session.fail_transaction();
    cr_assert(session.transaction() == transaction_state::none);
}

Test(serving_logic, a_session_holds_a_bounded_number_of_names)
{
    caller_session session;
    for (std::size_t i = 0; i < caller_session::max_names; ++i)
        cr_assert(session.apply(statement_of(session_verb::set_value,
                                             std::to_string(i).c_str(), "v")) ==
                  session_error::none);
    cr_assert(session.apply(statement_of(session_verb::set_value, "more",
                                         "v")) == session_error::malformed);
    cr_assert(session.apply(statement_of(session_verb::set_value, "0", "w")) ==
              session_error::none);
}

// Guards against a caller that fills the memory of a VM with its own session,
// also by texts that are replaced by shorter ones.
Test(serving_logic, a_session_holds_a_bounded_number_of_bytes)
{
    caller_session session;
    const std::string text(max_session_message_bytes - 1024, 'x');
    const auto apply = [&](session_verb verb, const char* name)
    { return session.apply(statement_of(verb, name, text.c_str())); };
    cr_assert(apply(session_verb::set_value, "a") == session_error::none);
    cr_assert(apply(session_verb::set_value, "a") == session_error::none);
    cr_assert(apply(session_verb::prepare, "a") == session_error::none);
    cr_assert(apply(session_verb::prepare, "b") == session_error::none);
    cr_assert(apply(session_verb::prepare, "c") == session_error::none);
    cr_assert(apply(session_verb::prepare, "d") == session_error::malformed);
    cr_assert(apply(session_verb::set_value, "b") == session_error::malformed);
    cr_assert(session.bytes_held() <= caller_session::max_bytes);
    cr_assert(session.values().size() == 1);
    session.apply(statement_of(session_verb::set_value, "a", "short"));
    cr_assert(session.values().at("a").capacity() < 100);
    cr_assert(apply(session_verb::prepare, "d") == session_error::none);
    for (const char* name : {"a", "b", "c", "d"})
        session.apply(statement_of(session_verb::deallocate, name));
    cr_assert(session.bytes_held() < 1000);
}

// Guards against a statement that cannot be forwarded with its session. The
// bytes are those that the packed encoding makes the longest.
Test(serving_logic, a_full_session_fits_into_a_frame)
{
    constexpr std::string_view pattern("xxxxxxxxxxxxxx\0\0", 16);
    const auto fill = [&](std::size_t size)
    {
        std::string text;
        while (text.size() < size)
            text.append(pattern);
        text.resize(size);
        return text;
    };
    forwarded_statement message;
    const auto text = fill(max_session_message_bytes);
    message.statement.text = text;
    message.statement.item_or_shape = text;
    message.prepared = {true, text};
    const auto count = caller_session::max_names;
    for (std::size_t i = 0; i < count; ++i)
        message.session_values[std::to_string(i)] =
            fill((caller_session::max_bytes - text.size()) / count);
    const auto frame = encode_peer_message({1, message});
    cr_assert(frame.size() <= max_peer_frame_bytes, "%zu", frame.size());
}

Test(serving_logic, only_some_errors_promise_that_nothing_is_kept)
{
    for (const auto code :
         {session_error::busy, session_error::aborted, session_error::lagging,
          session_error::read_only, session_error::wrong_target,
          session_error::connection_limit})
        cr_assert(guarantees_not_applied(code));
    for (const auto code : {session_error::failed, session_error::in_doubt,
                            session_error::timeout})
        cr_assert(!guarantees_not_applied(code));
}

Test(serving_logic, fleet_messages_survive_their_encoding)
{
    fleet_report report;
    report.vm = "vm";
    report.incarnation = 7;
    report.is_registered = true;
    report.failing_targets = {{"t", milliseconds(5)}};
    report.demands = {{"a", 1.5, 2.5}};
    report.echoed_stamp = 77;
    fleet_grant grant;
    grant.accepted = true;
    grant.token = 9;
    grant.validity = milliseconds(1750);
    grant.leader_address = "127.0.0.1:1";
    grant.stamp = 78;
    primary_state state;
    state.record.group = "g";
    state.record.term = 3;
    state.record.target = "p";
    state.record.is_planned = true;
    state.record.revision = 12;
    state.has_position = true;
    state.position = 44;
    state.position_age = milliseconds(20);
    grant.primaries = {state};
    grant.shares = {{"a", 3, 4}};
    fleet_snapshot snapshot;
    snapshot.configuration_version = 3;
    snapshot.configuration = std::string("{\0}", 3);
    snapshot.targets = {{"servers/i", "{}"}};
    snapshot.members = {{"vm", "{}"}};
    const primary_notice notice{9, "127.0.0.1:1", {state}};
    const notice_receipt receipt{"vm", 7, 9, true};
    for (const peer_body& body : std::vector<peer_body>{
             report, grant, notice, receipt, snapshot_request{4}, snapshot})
    {
        const peer_message message{5, body};
        const auto decoded = decode_peer_message(encode_peer_message(message));
        cr_assert(succeeded(decoded));
        cr_assert(value_of(decoded) == message);
    }
}

Test(serving_logic, members_are_ranked_by_name)
{
    member_list members;
    members.put({"b", "127.0.0.1:2", 1});
    members.put({"a", "127.0.0.1:1", 1});
    cr_assert(members.rank_of("b") == 1);
    cr_assert(members.rank_of("nobody") == 2);
    const fleet_member member{"a", "127.0.0.1:1", 18446744073709551615ULL};
    const auto parsed = parse_fleet_member(serialize_fleet_member(member));
    cr_assert(succeeded(parsed) && value_of(parsed) == member);
    cr_assert(!succeeded(parse_fleet_member("{}")));
}

// Guards against errors for callers that waited for a primary. When a failure
// domain was lost, the callers of a full second were queued for the primary,
// and once it was usable again, there were too few free sessions to serve all
// of them within their latency objective.
Test(serving_logic, callers_that_waited_for_a_primary_are_served_late)
{
    placement_deadline busy(start + milliseconds(400),
                            start + milliseconds(1800));
    cr_assert(busy.update(false) == start + milliseconds(400));
    placement_deadline without_primary(start + milliseconds(400),
                                       start + milliseconds(1800));
    cr_assert(without_primary.update(true) == start + milliseconds(1800));
    // The primary is usable again, but its sessions are in use for a while.
    cr_assert(without_primary.update(false) == start + milliseconds(1800));
}

// Guards against VMs that get no connection. With 87 VMs and 81 connections per
// target, each VM kept one connection while it was idle. That used up the
// target's limit, and the last VMs could not open a connection.
Test(serving_logic, many_vms_close_scarce_connections_when_idle)
{
    const auto scarce = compute_connection_share(81, 87);
    cr_assert(scarce.max_connections >= 2 && scarce.idle_timeout.has_value());
    // A VM keeps its connections while idle if an equal share is at least two,
    // or if the target accepts too few connections to open them on demand.
    const auto expect_kept =
        [](const connection_share& share, std::uint32_t connections)
    { cr_assert(share.max_connections == connections && !share.idle_timeout); };
    expect_kept(compute_connection_share(39, 9), 4);
    expect_kept(compute_connection_share(21, 6), 3);
    expect_kept(compute_connection_share(258, 66), 3);
    expect_kept(compute_connection_share(1, 5), 1);
}

// Guards against bursts of store calls. When 66 or 87 VMs started together,
// each registration ended the watch of every other VM, which caused more than a
// thousand calls within two seconds.
Test(serving_logic, watches_pause_longer_in_a_burst_of_changes)
{
    watch_backoff backoff;
    cr_assert(backoff.delay_after_changes(seconds(5)) == milliseconds(50));
    cr_assert(backoff.delay_after_changes(milliseconds(2)) ==
              milliseconds(100));
    cr_assert(backoff.delay_after_changes(milliseconds(2)) ==
              milliseconds(200));
    for (int i = 0; i < 5; ++i)
        backoff.delay_after_changes(milliseconds(2));
    cr_assert(backoff.delay_after_changes(milliseconds(2)) ==
              watch_backoff::max_delay);
    // After a time without changes, the delay is short again.
    cr_assert(backoff.delay_after_changes(seconds(2)) ==
              watch_backoff::min_delay);
}

// Everything that is accepted must be answered before the process ends.
Test(serving_logic, a_stop_ends_what_it_accepts_in_order)
{
    const time_point start{seconds(100)};
    const stop_schedule schedule(start, seconds(6));
    cr_assert(schedule.accepts_transactions(start + milliseconds(2999)));
    cr_assert(!schedule.accepts_transactions(start + milliseconds(3000)));
    cr_assert(schedule.accepts_statements(start + milliseconds(4499)));
    cr_assert(!schedule.accepts_statements(start + milliseconds(4500)));
    cr_assert(schedule.statements_end_at() < schedule.answers_due_at());
    cr_assert(schedule.answers_due_at() < schedule.process_ends_at());
    cr_assert(schedule.process_ends_at() < start + seconds(6));
}

namespace
{

/// The primary commits every 20 ms from `start` on; position {1, n} is reached
/// at `start` + n * 20 ms. Replica r1 answers every 10 ms and is this far
/// behind.
void let_replica_answer(serving_view& view, milliseconds lag,
                        milliseconds length)
{
    constexpr auto commit_interval = milliseconds(20);
    auto& primary = view.positions["g"];
    for (auto time = milliseconds(0); time <= length; time += milliseconds(10))
    {
        const auto now = start + time;
        primary.observe({1, static_cast<std::uint64_t>(time / commit_interval)},
                        now);
        const auto applied = std::max(time - lag, milliseconds(0));
        view.replica_lag.record_position(
            "r1", {1, static_cast<std::uint64_t>(applied / commit_interval)},
            primary, now);
        view.replica_lag.record_position(
            "r2", {1, static_cast<std::uint64_t>(time / commit_interval)},
            primary, now);
    }
}

bool contains(const std::vector<placement_candidate>& found,
              const std::string& id)
{
    const auto ids = names(found);
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/// The view of the group "g", with the targets "p", "r1" and "r2" in the
/// domains "a", "b" and "c" and recent positions.
serving_view view_of_three_domains()
{
    auto view = view_of_group();
    for (const auto& [id, domain] :
         {std::pair("p", "a"), std::pair("r1", "b"), std::pair("r2", "c")})
    {
        auto record = *view.registry.find(id);
        record.failure_domain = domain;
        view.registry.put(record);
    }
    view.positions["g"].observe({1, 5}, start);
    return view;
}

} // namespace

// Guards against reads that a lagging replica rejects: sessions that read right
// after their own write were sent to replicas that could not have the commit.
Test(serving_logic, reads_after_a_write_avoid_a_replica_that_lags)
{
    auto view = view_of_group();
    let_replica_answer(view, milliseconds(90), milliseconds(2000));
    auto request = read_request(read_consistency::own_writes);
    request.session_position = log_position{1, 100};
    const auto committed_at = start + milliseconds(2000);
    cr_assert(!contains(choose_candidates(view, request, committed_at), "r1"));
    cr_assert(contains(choose_candidates(view, request, committed_at), "r2"));
    const auto later = committed_at + milliseconds(160);
    cr_assert(contains(choose_candidates(view, request, later), "r1"));
}

// A replica that is 5 s behind serves no read of data that is at most 1.5 s old
// and is not asked in vain more than about once in two seconds.
Test(serving_logic, a_replica_that_is_seconds_behind_is_tried_rarely)
{
    auto view = view_of_group();
    let_replica_answer(view, milliseconds(0), milliseconds(6000));
    const auto request = read_request(read_consistency::bounded_age);
    auto& primary = view.positions["g"];
    unsigned attempts = 0;
    for (auto time = milliseconds(6000); time < milliseconds(12000);
         time += milliseconds(10))
    {
        const auto now = start + time;
        primary.observe({1, static_cast<std::uint64_t>(time.count() / 20)},
                        now);
        for (const auto& candidate : choose_candidates(view, request, now))
        {
            if (candidate.target->id != "r1")
                continue;
            // The replica applies nothing more.
            if (*candidate.minimum_position > log_position{1, 300})
            {
                ++attempts;
                view.replica_lag.record_rejection(
                    "r1", *candidate.minimum_position, primary, now);
            }
        }
    }
    cr_assert(attempts <= 8, "%u", attempts);
}

// A replica that lags is better than no target at all, for instance while the
// primary is being replaced.
Test(serving_logic, a_lagging_replica_is_tried_if_no_other_target_is_left)
{
    auto view = view_of_group();
    let_replica_answer(view, milliseconds(90), milliseconds(2000));
    auto request = read_request(read_consistency::own_writes);
    request.session_position = log_position{1, 100};
    request.excluded_targets = {"p", "r2"};
    const auto found =
        choose_candidates(view, request, start + milliseconds(2000));
    cr_assert(names(found) == std::vector<std::string>{"r1"});
}

// Guards against statements that reach an evacuated failure domain.
Test(serving_logic, nothing_is_read_at_replicas_of_evacuated_domains)
{
    auto view = view_of_three_domains();
    const auto request = read_request(read_consistency::bounded_age);
    cr_assert(choose_candidates(view, request, start).size() == 3);
    cr_assert(view.evacuations.set_stored("b", true, start));
    const std::vector<std::string> others{"p", "r2"};
    cr_assert(names(choose_candidates(view, request, start)) == others);
    cr_assert(view.evacuations.set_stored("b", false, start));
    cr_assert(choose_candidates(view, request, start).size() == 3);
}

// Guards against statements that reach an evacuated primary 5 s after the
// order, and against refusals while it is being replaced.
Test(serving_logic, an_evacuated_primary_is_used_for_a_limited_time)
{
    auto view = view_of_three_domains();
    view.evacuations.set_stored("a", true, start);
    const std::vector<std::string> primary{"p"};
    const std::vector<std::string> replicas{"r1", "r2"};
    const auto current = read_request(read_consistency::current);
    const auto bounded = read_request(read_consistency::bounded_age);
    const auto soon = start + milliseconds(1000);
    cr_assert(names(choose_candidates(view, current, soon)) == primary);
    cr_assert(names(choose_candidates(view, bounded, soon)) == replicas);
    cr_assert(!must_be_left(view, "p", soon));
    const auto late = start + evacuated_domains::hand_over_time;
    cr_assert(choose_candidates(view, current, late).empty());
    cr_assert(must_be_left(view, "p", late) && !must_be_left(view, "r1", late));
    // The new primary serves at once.
    auto record = *view.authority.find("g");
    record.term = 2;
    record.target = "r1";
    record.revision = 12;
    view.authority.on_record(record);
    cr_assert(names(choose_candidates(view, current, late)) ==
              std::vector<std::string>{"r1"});
}

// Guards against waiting for a primary that nothing can replace.
Test(serving_logic, a_group_without_targets_elsewhere_serves_nothing)
{
    auto view = view_of_three_domains();
    cr_assert(!is_evacuated(view, "g"));
    view.evacuations.set_stored(std::set<std::string>{"a", "b", "c"}, start);
    cr_assert(is_evacuated(view, "g"));
    cr_assert(!is_evacuated(view, "unknown group"));
    cr_assert(
        choose_candidates(view, read_request(read_consistency::current), start)
            .empty());
    view.evacuations.set_stored(std::set<std::string>{"a", "b"}, start);
    cr_assert(!is_evacuated(view, "g"));
}

// Guards against an order that is missed because one of its two ways to a
// VM is interrupted, and against one that stays in force after its
// revocation.
Test(serving_logic, an_evacuation_is_known_from_the_store_or_from_grants)
{
    evacuated_domains evacuations;
    const std::vector<std::string> from_leader{"a"};
    cr_assert(evacuations.set_granted(from_leader, start));
    cr_assert(evacuations.contains("a"));
    // The store names it later; its time is not extended.
    const auto later = start + milliseconds(1000);
    cr_assert(!evacuations.set_stored("a", true, later));
    cr_assert(evacuations.must_be_empty(
        "a", start + evacuated_domains::hand_over_time));
    cr_assert(!evacuations.set_granted({}, later));
    cr_assert(evacuations.contains("a"));
    cr_assert(evacuations.set_stored(std::set<std::string>{}, later));
    cr_assert(evacuations.empty());
    // What another VM reports is in force until the next grant.
    cr_assert(evacuations.add_reported({"b"}, later));
    cr_assert(!evacuations.add_reported({}, later));
    cr_assert(evacuations.names() == std::vector<std::string>{"b"});
    cr_assert(evacuations.set_granted({}, later));
    cr_assert(evacuations.empty());
}

// Guards against logs in which two texts look alike, or that tell of so many
// statements that the budget decides which.
Test(statement_text_trace, texts_differ_and_a_share_of_them_is_traced)
{
    cr_assert(text_fingerprint("EXECUTE  a17 ") !=
              text_fingerprint("EXECUTE  a17"));
    cr_assert(text_fingerprint(std::string_view("a\0b", 3)) !=
              text_fingerprint(std::string_view("a\0c", 3)));
    cr_assert(text_fingerprint("secret").starts_with("6-"));
    constexpr int count = 32'000;
    int traced = 0;
    for (int i = 0; i < count; ++i)
        traced += is_text_traced(std::to_string(i)) ? 1 : 0;
    cr_assert(traced > count / 64 && traced < count / 16, "%d", traced);
}
