/// Parses INI files with the line number of each entry, and checks the values
/// of their sections.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleandergrade
{

/// One problem in an INI file. Line 0 refers to the file as a whole.
struct ini_problem
{
    std::string file;
    unsigned line = 0;
    std::string key;
    /// Describes the problem and lists the allowed values.
    std::string message;

    bool operator==(const ini_problem&) const = default;
};

/// Returns the problem as "file:line: key: message", without the key if it is
/// empty.
std::string to_string(const ini_problem& problem);

/// One line "key = value".
struct ini_entry
{
    std::string key;
    std::string value;
    unsigned line = 0;
};

/// A section with the title "[kind name]"; the name is empty if absent.
struct ini_section
{
    std::string kind;
    std::string name;
    unsigned line = 0;
    std::vector<ini_entry> entries;

    /// Returns the entry with this key, or null if there is none.
    const ini_entry* find(const std::string& key) const;
};

/// The sections of an INI file in the order of the file.
struct ini_document
{
    std::string file;
    std::vector<ini_section> sections;
};

/// Splits an INI text into sections. Text that is not UTF-8, syntax errors,
/// repeated sections or keys, and entries outside of any section are added to
/// `problems`. `file_name` is the name used in problems.
ini_document parse_ini(const std::string& file_name, const std::string& text,
                       std::vector<ini_problem>& problems);

/// Reads the values of one section and adds every invalid value to a list of
/// problems. An absent or invalid value yields the fallback, or an empty or
/// zero value if there is no fallback.
class ini_section_reader
{
public:
    ini_section_reader(const ini_document& document, const ini_section& section,
                       std::vector<ini_problem>& problems);

    std::string text(const std::string& key, const std::string& fallback);
    /// Adds a problem if the value is absent or empty.
    std::string required_text(const std::string& key);
    /// Returns an IP address and port, such as 127.0.0.1:7000. Adds a problem
    /// if the value is absent or has another form.
    std::string address(const std::string& key);
    /// Returns a whole number. Adds a problem and returns `fallback` if the
    /// value is not a number from `minimum` to `maximum`.
    std::uint64_t number(const std::string& key, std::uint64_t fallback,
                         std::uint64_t minimum, std::uint64_t maximum);
    /// Like `number`, but also adds a problem if the key is absent. Returns 0
    /// for an absent or invalid value.
    std::uint64_t required_number(const std::string& key, std::uint64_t minimum,
                                  std::uint64_t maximum);
    /// Reads "yes" or "no"; adds a problem for any other value.
    bool flag(const std::string& key, bool fallback);
    /// Returns the items of a list separated by commas; empty if absent.
    std::vector<std::string> list(const std::string& key);
    /// Adds a problem for each entry whose key was not passed to any other
    /// member function before.
    void report_unknown_keys();
    /// Adds a problem for a key, with the line of its entry, or of the section
    /// if the entry is absent.
    void add_problem(const std::string& key, const std::string& message);

private:
    /// Marks a key as known and returns its entry, or null if it is absent.
    const ini_entry* find_and_mark_known(const std::string& key);

    const ini_document& document_;
    const ini_section& section_;
    std::vector<ini_problem>& problems_;
    std::vector<std::string> known_keys_;
};

/// Splits a list at its commas, trims each item and drops empty items.
std::vector<std::string> split_at_commas(const std::string& text);

} // namespace oleandergrade
