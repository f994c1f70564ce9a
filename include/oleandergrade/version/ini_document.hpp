/// An INI text with the line of each entry, and the checks shared by all
/// INI files of the project.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// One problem in an INI file. Line 0 stands for the file as a whole.
struct ini_problem
{
    std::string file;
    unsigned line = 0;
    std::string key;
    /// What is wrong and what is allowed.
    std::string message;

    bool operator==(const ini_problem&) const = default;
};

/// "file:line: key: message".
std::string to_string(const ini_problem& problem);

struct ini_entry
{
    std::string key;
    std::string value;
    unsigned line = 0;
};

/// A section "[kind name]"; the name may be absent.
struct ini_section
{
    std::string kind;
    std::string name;
    unsigned line = 0;
    std::vector<ini_entry> entries;

    const ini_entry* find(const std::string& key) const;
};

struct ini_document
{
    std::string file;
    std::vector<ini_section> sections;
};

/// Splits an INI text into sections. Syntax errors and repeated sections or
/// keys are added to `problems`.
ini_document parse_ini(const std::string& file, const std::string& text,
                       std::vector<ini_problem>& problems);

/// Reads the values of one section and collects every problem found.
class ini_reader
{
public:
    ini_reader(const ini_document& document, const ini_section& section,
               std::vector<ini_problem>& problems);

    std::string text(const std::string& key, const std::string& fallback);
    std::string required_text(const std::string& key);
    /// An IP number and port, such as 127.0.0.1:7000.
    std::string address(const std::string& key);
    std::uint64_t number(const std::string& key, std::uint64_t fallback,
                         std::uint64_t lowest, std::uint64_t highest);
    /// Reports the key if it is absent; returns 0 for whatever is wrong.
    std::uint64_t required_number(const std::string& key, std::uint64_t lowest,
                                  std::uint64_t highest);
    bool flag(const std::string& key, bool fallback);
    /// A list separated by commas.
    std::vector<std::string> list(const std::string& key);
    /// Reports entries that no other member has asked for.
    void reject_unknown_keys();
    void report(const std::string& key, const std::string& message);

private:
    const ini_entry* use(const std::string& key);

    const ini_document& document_;
    const ini_section& section_;
    std::vector<ini_problem>& problems_;
    std::vector<std::string> used_;
};

/// Splits a list separated by commas and trims each item.
std::vector<std::string> split_list(const std::string& text);

} // namespace oleandergrade
