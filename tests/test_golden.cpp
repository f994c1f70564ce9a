/// Compares whole sessions with golden files. OLEANDER_UPDATE_GOLDEN=1 writes
/// the files anew.
#include "database_world.hpp"

#include <oleandergrade/request/caller_request.hpp>

#include <criterion/criterion.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace fakes;

namespace
{

const std::string golden_folder = OLEANDER_GOLDEN_FOLDER;

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void compare(const std::string& name, const std::string& text)
{
    const auto path = golden_folder + "/" + name;
    if (std::getenv("OLEANDER_UPDATE_GOLDEN") != nullptr)
        std::ofstream(path) << text;
    const auto expected = read_file(path);
    if (expected != text)
        std::cerr << name << " differs; the run gave:\n" << text;
    cr_assert(!expected.empty());
    cr_assert(expected == text);
}

/// What one session and the coordinators did in a run.
std::string session_log(std::uint64_t seed, const world_faults& faults)
{
    database_world world(seed, faults);
    const auto outcome = world.run(seconds(6), true);
    cr_assert(outcome.violations.empty());
    std::string text;
    for (const auto& line : outcome.log)
    {
        const bool is_other_session =
            line.find(" s") != std::string::npos &&
            line.find(" ms s") != std::string::npos &&
            line.find(" ms s0 ") == std::string::npos &&
            line.find(" ms server") == std::string::npos;
        if (!is_other_session)
            text += line + "\n";
    }
    return text;
}

} // namespace

Test(golden, session_while_a_primary_is_down)
{
    compare("primary_down.txt",
            session_log(4, {false, true, false, false, false, false}));
}

Test(golden, session_through_cuts_and_a_platform_outage)
{
    compare("cuts_and_outage.txt",
            session_log(7, {false, false, false, true, true, false}));
}

Test(golden, answers_to_callers)
{
    std::string text;
    const auto add = [&](const char* body)
    {
        const auto parsed = parse_caller_request(statement_kind::write, body);
        text += std::string("> ") + body + "\n";
        if (const auto* refusal = std::get_if<answer>(&parsed))
        {
            const auto response = to_http_response(*refusal, "vm-1", "");
            text += "< " + std::to_string(response.status) + " " +
                    response.body + "\n";
        }
        else
        {
            text += "accepted\n";
        }
    };
    add("");
    add("{");
    add(R"({"database":"d","statement":{"key":"k","value":"v"}})");
    add(R"({"database":"d","statement":"text"})");
    add(R"({"database":"d","statement":{},"deadline_ms":-1})");
    add(R"({"database":"d","statement":{},"max_age_ms":"old"})");
    add(R"({"database":"d","statement":{},"request_id":7})");
    for (std::size_t i = 1; i < refusal_code_count; ++i)
    {
        const auto code = static_cast<refusal_code>(i);
        const auto response = to_http_response(
            refuse(code, "step", "peer", "message", milliseconds(50)), "vm-1",
            "");
        text += std::string(to_string(code)) + " " +
                std::to_string(response.status) + " " + response.body + "\n";
    }
    compare("answers_to_callers.txt", text);
}
