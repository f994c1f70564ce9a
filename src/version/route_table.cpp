#include <oleandergrade/version/route_table.hpp>

namespace oleandergrade
{

namespace
{

/// Returns the value of a key, or null if the map does not contain it.
template <typename Map>
const typename Map::mapped_type* find_or_null(const Map& map,
                                              const std::string& key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

const route* route_table::find_route(const std::string& database) const
{
    return find_or_null(routes, database);
}

const group_limits* route_table::find_group(const std::string& group) const
{
    return find_or_null(groups, group);
}

const client_account*
route_table::find_account_by_key(const std::string& key) const
{
    if (key.empty())
        return nullptr;
    const auto* name = find_or_null(account_by_key, key);
    return name == nullptr ? nullptr : find_or_null(accounts, *name);
}

} // namespace oleandergrade
