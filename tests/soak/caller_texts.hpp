/// Draws the statements of a caller whose texts are checked at the servers.
#pragma once

#include "../fakes/random_statement_texts.hpp"

#include <oleandergrade/operations/text_check.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace soak
{

/// Draws operations with random texts: single statements and transactions, with
/// values of the session and prepared statements whose names stand for another
/// statement from time to time. Not thread-safe.
class caller_texts
{
public:
    /// With `ordinary_fields`, all fields are words of letters and digits.
    caller_texts(std::uint64_t seed, bool ordinary_fields);

    /// Returns the statements of an operation, which are valid in the session
    /// with this number if all earlier ones in it have succeeded.
    std::vector<oleandergrade::caller_statement> draw(std::uint64_t session);

private:
    /// Appends a statement that a target runs, after the PREPARE that it needs.
    void add_statement(bool may_write);
    /// Appends an EXECUTE.
    void add_execute(bool writes);
    /// Appends a statement that the VM may answer.
    void add_vm_statement(std::string text);
    void add_target_statement(std::string text, std::string text_at_target);
    std::string draw_word();
    std::string draw_last_field();
    /// Draws the operands of a statement: all that follows its kind or name.
    std::string draw_operands(bool writes);
    std::uint64_t random_below(std::uint64_t limit)
    {
        return random_() % limit;
    }

    bool ordinary_fields_;
    std::mt19937_64 random_;
    fakes::random_statement_texts fields_;
    /// Names of prepared statements and of values. Those of different callers
    /// are the same but for the last one.
    std::array<std::string, 3> names_;
    std::uint64_t session_ = 0;
    /// What is prepared in the session, from READ or WRITE on, by name.
    std::map<std::string, std::string> prepared_;
    std::vector<oleandergrade::caller_statement> statements_;
};

} // namespace soak
