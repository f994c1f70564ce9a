#include <oleandergrade/version/configuration.hpp>

#include <oleandergrade/connection/json_fields.hpp>

#include <algorithm>

namespace oleandergrade
{
namespace json = boost::json;

namespace
{

constexpr std::uint64_t max_rate = 10'000'000;
constexpr std::uint64_t max_weight = 1000;
constexpr std::uint64_t max_slots = 10'000;
constexpr std::uint64_t max_connections = 100'000;

template <typename T>
const T* find_in(const std::map<std::string, T>& map, const std::string& name)
{
    const auto found = map.find(name);
    return found == map.end() ? nullptr : &found->second;
}

void parse_fleet(configuration& value, ini_reader& reader)
{
    value.failure_domains = reader.list("failure_domains");
    if (value.failure_domains.empty())
        reader.report("failure_domains", "must name at least one domain");
}

void parse_account(configuration& value, const std::string& name,
                   ini_reader& reader)
{
    client_account account;
    account.name = name;
    account.rate = reader.required_number("rate", 1, max_rate);
    account.burst = reader.number("burst", account.rate, 1, max_rate);
    account.weight = reader.number("weight", 1, 1, max_weight);
    account.databases = reader.list("databases");
    value.accounts[name] = std::move(account);
}

void parse_database(configuration& value, const std::string& name,
                    ini_reader& reader)
{
    auto& group = value.databases[name];
    group.name = name;
    group.open_reads = reader.flag("open_reads", false);
}

void parse_target(configuration& value, const std::string& name,
                  ini_reader& reader)
{
    target entry;
    entry.name = name;
    entry.database = reader.required_text("database");
    entry.address = reader.address("address");
    entry.failure_domain = reader.required_text("failure_domain");
    entry.slots = reader.number("slots", 3, 1, max_slots);
    entry.connections = reader.number("connections", 20, 4, max_connections);
    entry.leaving = reader.flag("leaving", false);
    value.targets[name] = std::move(entry);
}

struct section_parser
{
    const char* kind;
    void (*parse)(configuration&, const std::string&, ini_reader&);
};

constexpr section_parser named_sections[] = {{"account", parse_account},
                                             {"database", parse_database},
                                             {"target", parse_target}};

void parse_section(configuration& value, const ini_document& document,
                   const ini_section& section,
                   std::vector<ini_problem>& problems)
{
    ini_reader reader(document, section, problems);
    if (section.kind == "fleet")
    {
        parse_fleet(value, reader);
        reader.reject_unknown_keys();
        return;
    }
    for (const auto& known : named_sections)
    {
        if (section.kind != known.kind)
            continue;
        if (section.name.empty())
            reader.report("",
                          "needs a name, such as [" + section.kind + " NAME]");
        known.parse(value, section.name, reader);
        reader.reject_unknown_keys();
        return;
    }
    reader.report("", "unknown section; allowed are: fleet, account NAME, "
                      "database NAME, target NAME");
}

void link_targets(configuration& value, const ini_document& document,
                  std::vector<ini_problem>& problems)
{
    for (const auto& section : document.sections)
    {
        const auto* entry = value.find_target(section.name);
        if (section.kind != "target" || entry == nullptr)
            continue;
        ini_reader reader(document, section, problems);
        const auto group = value.databases.find(entry->database);
        if (group == value.databases.end())
            reader.report("database", "'" + entry->database +
                                          "' has no [database] section");
        else
            group->second.targets.push_back(entry->name);
        const auto& domains = value.failure_domains;
        if (std::find(domains.begin(), domains.end(), entry->failure_domain) ==
            domains.end())
            reader.report("failure_domain",
                          "'" + entry->failure_domain +
                              "' is not in [fleet] failure_domains");
    }
}

void check_groups(const configuration& value, const ini_document& document,
                  std::vector<ini_problem>& problems)
{
    for (const auto& section : document.sections)
    {
        ini_reader reader(document, section, problems);
        const auto* group = value.find_database(section.name);
        if (section.kind == "database" && group != nullptr &&
            group->targets.empty())
            reader.report("", "has no [target]");
        const auto* account = value.find_account(section.name);
        if (section.kind != "account" || account == nullptr)
            continue;
        for (const auto& database : account->databases)
            if (value.find_database(database) == nullptr)
                reader.report("databases",
                              "'" + database + "' has no [database] section");
    }
}

json::object to_json(const key_record& key)
{
    return {{"id", key.id},
            {"account", key.account},
            {"salt", key.salt},
            {"hash", key.hash},
            {"withdrawn", key.withdrawn}};
}

std::string describe(const client_account& account)
{
    return "account " + account.name +
           ": rate=" + std::to_string(account.rate) +
           " burst=" + std::to_string(account.burst) +
           " weight=" + std::to_string(account.weight);
}

std::string describe(const target& entry)
{
    return "target " + entry.name + ": " + entry.address + " in " +
           entry.failure_domain + (entry.leaving ? " (leaving)" : "");
}

std::string describe(const database_group& group)
{
    return "database " + group.name + ": " +
           std::to_string(group.targets.size()) + " targets" +
           (group.open_reads ? ", open reads" : "");
}

std::string describe(const key_record& key)
{
    return "key " + key.id + " of " + key.account +
           (key.withdrawn ? " (withdrawn)" : "");
}

template <typename T>
void compare(const std::map<std::string, T>& before,
             const std::map<std::string, T>& after,
             std::vector<std::string>& lines)
{
    for (const auto& [name, value] : before)
    {
        const auto* kept = find_in(after, name);
        if (kept == nullptr || !(*kept == value))
            lines.push_back("- " + describe(value));
    }
    for (const auto& [name, value] : after)
    {
        const auto* earlier = find_in(before, name);
        if (earlier == nullptr || !(*earlier == value))
            lines.push_back("+ " + describe(value));
    }
}

} // namespace

bool client_account::may_use(const std::string& database) const
{
    return databases.empty() || std::find(databases.begin(), databases.end(),
                                          database) != databases.end();
}

const client_account* configuration::find_account(const std::string& name) const
{
    return find_in(accounts, name);
}

const database_group*
configuration::find_database(const std::string& name) const
{
    return find_in(databases, name);
}

const target* configuration::find_target(const std::string& name) const
{
    return find_in(targets, name);
}

configuration parse_configuration(const std::string& file,
                                  const std::string& text,
                                  std::vector<ini_problem>& problems)
{
    configuration value;
    value.text = text;
    const auto document = parse_ini(file, text, problems);
    for (const auto& section : document.sections)
        parse_section(value, document, section, problems);
    link_targets(value, document, problems);
    check_groups(value, document, problems);
    if (value.failure_domains.empty() && problems.empty())
        problems.push_back({file, 0, "[fleet]", "the section is missing"});
    return value;
}

std::string serialize_configuration(const configuration& value)
{
    json::array keys;
    for (const auto& [id, key] : value.keys)
        keys.push_back(to_json(key));
    return json::serialize(
        json::object{{"version", value.version},
                     {"text", value.text},
                     {"session_secret", value.session_secret},
                     {"keys", std::move(keys)}});
}

result<configuration> parse_configuration_record(const std::string& value)
{
    const auto parsed = parse_json_object(value);
    if (!succeeded(parsed))
        return error_of(parsed);
    const auto& object = value_of(parsed);
    std::vector<ini_problem> problems;
    auto record = parse_configuration("configuration",
                                      text_field(object, "text"), problems);
    if (!problems.empty())
        return error{error_kind::invalid, "parse configuration", "",
                     to_string(problems.front())};
    record.version = number_field(object, "version");
    record.session_secret = text_field(object, "session_secret");
    const auto* keys = object.if_contains("keys");
    if (keys == nullptr || !keys->is_array())
        return record;
    for (const auto& item : keys->get_array())
    {
        if (!item.is_object())
            continue;
        const auto& fields = item.get_object();
        key_record key{text_field(fields, "id"), text_field(fields, "account"),
                       text_field(fields, "salt"), text_field(fields, "hash"),
                       flag_field(fields, "withdrawn")};
        record.keys[key.id] = key;
    }
    return record;
}

std::vector<std::string> describe_changes(const configuration& before,
                                          const configuration& after)
{
    std::vector<std::string> lines;
    compare(before.accounts, after.accounts, lines);
    compare(before.databases, after.databases, lines);
    compare(before.targets, after.targets, lines);
    compare(before.keys, after.keys, lines);
    return lines;
}

} // namespace oleandergrade
