#include <oleandergrade/version/ini_document.hpp>

#include <oleandergrade/connection/endpoint.hpp>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/json.hpp>
#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

namespace oleandergrade
{

namespace
{

/// The section titles of an INI text and the line numbers of its sections and
/// entries. The INI parser of Boost.PropertyTree keeps no line numbers and
/// drops empty sections.
class line_index
{
public:
    explicit line_index(const std::string& text)
    {
        std::istringstream lines(text);
        std::string section;
        std::string line;
        for (unsigned number = 1; std::getline(lines, line); ++number)
        {
            boost::algorithm::trim(line);
            if (line.empty() || line.front() == ';' || line.front() == '#')
                continue;
            if (line.front() == '[')
            {
                section = line.substr(1, line.find(']') - 1);
                lines_[section + "]"] = number;
                titles_.push_back(section);
                continue;
            }
            auto key = line.substr(0, line.find('='));
            boost::algorithm::trim(key);
            lines_[section + "]" + key] = number;
        }
    }

    /// Section titles without brackets, in the order of the text.
    const std::vector<std::string>& titles() const { return titles_; }

    /// Returns the line of a section's title, or 0 if there is none.
    unsigned line_of_section(const std::string& section) const
    {
        return line_of(section + "]");
    }

    /// Returns the line of a section's entry, or 0 if there is none.
    unsigned line_of_entry(const std::string& section,
                           const std::string& key) const
    {
        return line_of(section + "]" + key);
    }

private:
    unsigned line_of(const std::string& name) const
    {
        const auto found = lines_.find(name);
        return found == lines_.end() ? 0 : found->second;
    }

    /// Line numbers by "SECTION]" for titles and "SECTION]KEY" for entries.
    std::map<std::string, unsigned> lines_;
    std::vector<std::string> titles_;
};

/// Returns whether the text is valid UTF-8. Values of the file may be stored as
/// JSON strings, so the check is whether the text can be parsed again from
/// JSON.
bool is_utf8(const std::string& text)
{
    boost::system::error_code failure;
    (void)boost::json::parse(boost::json::serialize(boost::json::value(text)),
                             failure);
    return !failure;
}

/// Splits a title into the section's kind and name.
ini_section parse_title(const std::string& title, unsigned line)
{
    ini_section section;
    section.line = line;
    const auto space = title.find(' ');
    section.kind = title.substr(0, space);
    if (space != std::string::npos)
        section.name = title.substr(space + 1);
    boost::algorithm::trim(section.name);
    return section;
}

} // namespace

std::string to_string(const ini_problem& problem)
{
    std::string line = problem.file + ":" + std::to_string(problem.line);
    if (!problem.key.empty())
        line += ": " + problem.key;
    return line + ": " + problem.message;
}

const ini_entry* ini_section::find(const std::string& key) const
{
    const auto found =
        std::find_if(entries.begin(), entries.end(),
                     [&](const ini_entry& entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

ini_document parse_ini(const std::string& file_name, const std::string& text,
                       std::vector<ini_problem>& problems)
{
    ini_document document;
    document.file = file_name;
    if (!is_utf8(text))
    {
        problems.push_back({file_name, 0, "", "the file must be valid UTF-8"});
        return document;
    }
    boost::property_tree::ptree tree;
    try
    {
        std::istringstream input(text);
        boost::property_tree::ini_parser::read_ini(input, tree);
    }
    catch (const boost::property_tree::ini_parser_error& failure)
    {
        problems.push_back({file_name, static_cast<unsigned>(failure.line()),
                            "", failure.message()});
        return document;
    }
    const line_index lines(text);
    for (const auto& [title, content] : tree)
        if (content.empty() && !content.data().empty())
            problems.push_back({file_name, lines.line_of_entry("", title),
                                title, "entry outside of any section"});
    for (const auto& title : lines.titles())
    {
        auto section = parse_title(title, lines.line_of_section(title));
        const auto content = tree.find(title);
        if (content != tree.not_found())
            for (const auto& [key, value] : content->second)
                section.entries.push_back(
                    {key, value.data(), lines.line_of_entry(title, key)});
        document.sections.push_back(std::move(section));
    }
    return document;
}

ini_section_reader::ini_section_reader(const ini_document& document,
                                       const ini_section& section,
                                       std::vector<ini_problem>& problems)
    : document_(document), section_(section), problems_(problems)
{
}

std::string ini_section_reader::text(const std::string& key,
                                     const std::string& fallback)
{
    const auto* entry = find_and_mark_known(key);
    return entry == nullptr ? fallback : entry->value;
}

std::string ini_section_reader::required_text(const std::string& key)
{
    const auto* entry = find_and_mark_known(key);
    if (entry != nullptr && !entry->value.empty())
        return entry->value;
    add_problem(key, "is missing");
    return "";
}

std::string ini_section_reader::address(const std::string& key)
{
    auto value = required_text(key);
    if (!value.empty() && !succeeded(parse_endpoint(value)))
        add_problem(key,
                    "'" + value + "' is not an IP address and port (IP:PORT)");
    return value;
}

std::uint64_t ini_section_reader::number(const std::string& key,
                                         std::uint64_t fallback,
                                         std::uint64_t minimum,
                                         std::uint64_t maximum)
{
    const auto* entry = find_and_mark_known(key);
    if (entry == nullptr)
        return fallback;
    std::uint64_t value = 0;
    const auto* begin = entry->value.data();
    const auto* end = begin + entry->value.size();
    const auto parsed = std::from_chars(begin, end, value);
    if (parsed.ec == std::errc() && parsed.ptr == end && value >= minimum &&
        value <= maximum)
        return value;
    add_problem(key, "'" + entry->value + "' is not a whole number from " +
                         std::to_string(minimum) + " to " +
                         std::to_string(maximum));
    return fallback;
}

std::uint64_t ini_section_reader::required_number(const std::string& key,
                                                  std::uint64_t minimum,
                                                  std::uint64_t maximum)
{
    if (section_.find(key) == nullptr)
        add_problem(key, "is missing");
    return number(key, 0, minimum, maximum);
}

bool ini_section_reader::flag(const std::string& key, bool fallback)
{
    const auto* entry = find_and_mark_known(key);
    if (entry == nullptr)
        return fallback;
    if (entry->value == "yes" || entry->value == "no")
        return entry->value == "yes";
    add_problem(key, "'" + entry->value + "' is neither 'yes' nor 'no'");
    return fallback;
}

std::vector<std::string> ini_section_reader::list(const std::string& key)
{
    const auto* entry = find_and_mark_known(key);
    return entry == nullptr ? std::vector<std::string>{}
                            : split_at_commas(entry->value);
}

void ini_section_reader::report_unknown_keys()
{
    for (const auto& entry : section_.entries)
    {
        if (std::find(known_keys_.begin(), known_keys_.end(), entry.key) !=
            known_keys_.end())
            continue;
        std::string allowed;
        for (const auto& key : known_keys_)
            allowed += (allowed.empty() ? "" : ", ") + key;
        add_problem(entry.key, "unknown key; expected one of: " + allowed);
    }
}

void ini_section_reader::add_problem(const std::string& key,
                                     const std::string& message)
{
    const auto* entry = section_.find(key);
    const auto line = entry == nullptr ? section_.line : entry->line;
    auto location = "[" + section_.kind;
    if (!section_.name.empty())
        location += " " + section_.name;
    problems_.push_back({document_.file, line, location + "] " + key, message});
}

const ini_entry* ini_section_reader::find_and_mark_known(const std::string& key)
{
    known_keys_.push_back(key);
    return section_.find(key);
}

std::vector<std::string> split_at_commas(const std::string& text)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, boost::algorithm::is_any_of(","));
    std::vector<std::string> items;
    for (auto& part : parts)
    {
        boost::algorithm::trim(part);
        if (!part.empty())
            items.push_back(part);
    }
    return items;
}

} // namespace oleandergrade
