#include <oleandergrade/process/fleet_view.hpp>

#include <functional>

namespace oleandergrade
{

namespace
{

std::size_t shard_index(const std::string& database, std::size_t count)
{
    return std::hash<std::string>()(database) % count;
}

/// The part of a configuration that one shard routes by.
configuration select_databases(const configuration& whole, std::size_t index,
                               std::size_t count)
{
    configuration part;
    for (const auto& [name, database] : whole.databases)
        if (shard_index(name, count) == index)
            part.databases[name] = database;
    for (const auto& [name, declared] : whole.targets)
        if (part.databases.contains(declared.database))
            part.targets[name] = declared;
    return part;
}

} // namespace

fleet_view::fleet_view(const std::string& own_domain)
    : configuration_(std::make_shared<configuration>()),
      vms_(std::make_shared<vm_list>())
{
    for (std::size_t i = 0; i < shard_count; ++i)
        shards_.push_back(std::make_unique<shard>(own_domain));
}

std::shared_ptr<const configuration> fleet_view::current_configuration() const
{
    const std::lock_guard lock(mutex_);
    return configuration_;
}

std::shared_ptr<const vm_list> fleet_view::vms() const
{
    const std::lock_guard lock(mutex_);
    return vms_;
}

freshness_state fleet_view::freshness() const
{
    const std::lock_guard lock(mutex_);
    return freshness_;
}

std::string fleet_view::lead_of(const std::string& failure_domain) const
{
    const std::lock_guard lock(mutex_);
    const auto found = leads_.find(failure_domain);
    return found == leads_.end() ? "" : found->second;
}

bool fleet_view::use_configuration(
    const std::shared_ptr<const configuration>& value)
{
    {
        const std::lock_guard lock(mutex_);
        if (value->version <= configuration_->version)
            return false;
        configuration_ = value;
    }
    for (std::size_t i = 0; i < shard_count; ++i)
    {
        const auto part = select_databases(*value, i, shard_count);
        const std::lock_guard lock(shards_[i]->mutex);
        shards_[i]->routes.use_configuration(part);
    }
    return true;
}

void fleet_view::use_vms(std::shared_ptr<const vm_list> value)
{
    const std::lock_guard lock(mutex_);
    vms_ = std::move(value);
}

void fleet_view::use_freshness(const freshness_state& value)
{
    const std::lock_guard lock(mutex_);
    freshness_ = value;
}

void fleet_view::use_lead(const std::string& failure_domain,
                          const std::string& vm)
{
    const std::lock_guard lock(mutex_);
    leads_[failure_domain] = vm;
}

bool fleet_view::learn_group(const group_record& record)
{
    auto& home = shard_of(record.database);
    const std::lock_guard lock(home.mutex);
    return home.routes.learn_group(record);
}

group_record fleet_view::group(const std::string& database) const
{
    auto& home = shard_of(database);
    const std::lock_guard lock(home.mutex);
    const auto* known = home.routes.find_group(database);
    return known == nullptr ? group_record{database, 0, "", false, ""} : *known;
}

std::vector<group_record> fleet_view::groups() const
{
    std::vector<group_record> all;
    for (const auto& home : shards_)
    {
        const std::lock_guard lock(home->mutex);
        const auto part = home->routes.groups();
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

void fleet_view::learn_position(const std::string& database,
                                const std::string& target,
                                const log_position& position)
{
    auto& home = shard_of(database);
    const std::lock_guard lock(home.mutex);
    home.routes.learn_position(target, position, clock::now());
}

void fleet_view::learn_behind(const std::string& database,
                              const std::string& target)
{
    auto& home = shard_of(database);
    const std::lock_guard lock(home.mutex);
    home.routes.learn_behind(target, clock::now());
}

void fleet_view::learn_unreachable(const std::string& database,
                                   const std::string& target)
{
    auto& home = shard_of(database);
    const std::lock_guard lock(home.mutex);
    home.routes.learn_unreachable(target, clock::now());
}

route_decision fleet_view::decide(const route_request& request)
{
    auto& home = shard_of(request.database);
    const std::lock_guard lock(home.mutex);
    return home.routes.decide(request, clock::now());
}

fleet_view::shard& fleet_view::shard_of(const std::string& database) const
{
    return *shards_[shard_index(database, shard_count)];
}

} // namespace oleandergrade
