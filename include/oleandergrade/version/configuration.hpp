/// One version of what operators declare: accounts, keys, databases, targets.
#pragma once

#include <oleandergrade/error.hpp>
#include <oleandergrade/version/ini_document.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleandergrade
{

/// A client account with its limits over the whole fleet.
struct client_account
{
    std::string name;
    /// Requests per second.
    std::uint64_t rate = 0;
    /// Requests that may come at once.
    std::uint64_t burst = 0;
    /// Share of a contended target, relative to the other accounts.
    std::uint64_t weight = 1;
    /// Databases it may use; empty means all.
    std::vector<std::string> databases;

    bool operator==(const client_account&) const = default;
    bool may_use(const std::string& database) const;
};

/// One database server.
struct target
{
    std::string name;
    std::string database;
    std::string address;
    std::string failure_domain;
    /// Statements it runs at the same time.
    std::uint64_t slots = 3;
    /// Connections it accepts at the same time.
    std::uint64_t connections = 20;
    /// A leaving target gets no new work.
    bool leaving = false;

    bool operator==(const target&) const = default;
};

/// A replicated database: a group of targets.
struct database_group
{
    std::string name;
    /// Reads are open to callers without a key.
    bool open_reads = false;
    std::vector<std::string> targets;

    bool operator==(const database_group&) const = default;
    std::size_t majority() const { return targets.size() / 2 + 1; }
};

/// A key, of which only a salted hash is kept.
struct key_record
{
    std::string id;
    std::string account;
    /// Hexadecimal.
    std::string salt;
    std::string hash;
    bool withdrawn = false;

    bool operator==(const key_record&) const = default;
};

/// The account that requests without a key run for on open routes.
inline constexpr const char* open_account = "open";

/// A whole, checked configuration. Immutable once in force.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<std::string> failure_domains;
    std::map<std::string, client_account> accounts;
    std::map<std::string, database_group> databases;
    std::map<std::string, target> targets;
    std::map<std::string, key_record> keys;
    /// Signs session tokens.
    std::string session_secret;
    /// The operators' INI text that it was made from.
    std::string text;

    bool operator==(const configuration&) const = default;

    const client_account* find_account(const std::string& name) const;
    const database_group* find_database(const std::string& name) const;
    const target* find_target(const std::string& name) const;
};

/// Parses the operators' file. All problems are collected; the result is
/// meaningful only if there are none.
configuration parse_configuration(const std::string& file,
                                  const std::string& text,
                                  std::vector<ini_problem>& problems);

/// The JSON value under which a configuration is kept in the platform.
std::string serialize_configuration(const configuration& value);
/// Errors: step "parse configuration".
result<configuration> parse_configuration_record(const std::string& value);

/// Lines such as "+ account lagoon: rate=10 burst=5", for operators.
std::vector<std::string> describe_changes(const configuration& before,
                                          const configuration& after);

} // namespace oleandergrade
