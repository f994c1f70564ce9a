/// Issues keys and checks the keys that callers present.
#pragma once

#include <oleandergrade/request/statement.hpp>
#include <oleandergrade/version/configuration.hpp>

#include <string>

namespace oleandergrade
{

/// A new key: the text for the caller and the record to keep.
struct issued_key
{
    /// Shown once and never kept.
    std::string clear_text;
    key_record record;
};

/// Makes a key of the form "IDENTIFIER.SECRET".
issued_key issue_key(const std::string& account);

/// Who a key belongs to, or why it admits nobody.
struct key_decision
{
    refusal_code refusal = refusal_code::none;
    std::string account;
    std::string key_id;
};

/// Checks a presented key against a configuration.
key_decision check_key(const configuration& configuration,
                       const std::string& presented);

/// Whether an admitted key has been withdrawn since. A key that is not known
/// has not: it may have been issued in a version later than this one.
bool is_key_withdrawn(const configuration& configuration,
                      const std::string& key_id);

} // namespace oleandergrade
