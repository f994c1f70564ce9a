#include "caller_texts.hpp"

#include <utility>

namespace soak
{
using oleandergrade::caller_statement;

namespace
{

constexpr std::uint64_t max_transaction_statements = 5;

} // namespace

caller_texts::caller_texts(std::uint64_t seed, bool ordinary_fields)
    : ordinary_fields_(ordinary_fields), random_(seed),
      fields_(seed), names_{"s1", "s2", draw_word()}
{
}

std::string caller_texts::draw_word()
{
    return ordinary_fields_ ? "w" + std::to_string(random_below(100))
                            : fields_.draw_word();
}

std::string caller_texts::draw_last_field()
{
    return ordinary_fields_ ? draw_word() : fields_.draw_last_field();
}

std::vector<caller_statement> caller_texts::draw(std::uint64_t session)
{
    statements_.clear();
    if (session != session_)
        prepared_.clear();
    session_ = session;
    const auto& name = names_[random_below(names_.size())];
    if (random_below(4) == 0)
        add_vm_statement("SET " + name + " " + draw_last_field());
    if (random_below(8) == 0 && prepared_.erase(name) > 0)
        add_vm_statement("DEALLOC " + name);
    const bool may_write = random_below(3) != 0;
    if (random_below(2) == 0)
    {
        add_statement(may_write);
        return std::move(statements_);
    }
    add_vm_statement(may_write ? "BEGIN" : "BEGIN READ");
    const auto count = 1 + random_below(max_transaction_statements);
    for (std::uint64_t i = 0; i < count; ++i)
        add_statement(may_write);
    if (random_below(4) == 0)
        add_vm_statement("ROLLBACK");
    else
        add_target_statement("COMMIT", "COMMIT");
    return std::move(statements_);
}

void caller_texts::add_statement(bool may_write)
{
    const bool writes = may_write && random_below(2) == 0;
    if (random_below(2) == 0)
        return add_execute(writes);
    const auto text = (writes ? "WRITE " : "READ ") + draw_operands(writes);
    add_target_statement(text, text);
}

void caller_texts::add_execute(bool writes)
{
    const std::string kind = writes ? "WRITE " : "READ ";
    const auto& name = names_[random_below(names_.size())];
    auto& prepared = prepared_[name];
    if (!prepared.starts_with(kind) || random_below(4) == 0)
    {
        prepared = kind + draw_last_field();
        add_vm_statement("PREPARE " + name + " " + prepared);
    }
    const auto operands = draw_operands(writes);
    add_target_statement("EXECUTE " + name + " " + operands,
                         "EXECUTE (" + prepared + ") " + operands);
}

void caller_texts::add_vm_statement(std::string text)
{
    statements_.push_back({std::move(text), std::nullopt, ""});
}

void caller_texts::add_target_statement(std::string text,
                                        std::string text_at_target)
{
    caller_statement statement{std::move(text), std::move(text_at_target), ""};
    // An identifier is a word of any bytes.
    if (random_below(4) == 0)
        statement.id_suffix = "-" + draw_word();
    statements_.push_back(std::move(statement));
}

std::string caller_texts::draw_operands(bool writes)
{
    auto operands = writes ? draw_word() + " " : std::string();
    return operands + draw_last_field();
}

} // namespace soak
