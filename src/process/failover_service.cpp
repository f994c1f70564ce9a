#include <oleandergrade/process/failover_service.hpp>

#include <oleandergrade/process/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

constexpr auto part = "failover";
constexpr auto probe_timeout = milliseconds(250);
constexpr auto command_timeout = milliseconds(500);

/// Coordinators of a group in the order in which they act: the first owners
/// of its targets.
std::vector<std::string> coordinators_of(const database_group& group,
                                         const configuration& configuration,
                                         const vm_list& vms)
{
    std::vector<std::string> nodes;
    for (const auto& name : group.targets)
    {
        const auto& declared = configuration.targets.at(name);
        const auto owners = ranked_owners(vms, name, declared.failure_domain);
        if (owners.empty())
            continue;
        const auto& first = owners.front().id;
        if (std::find(nodes.begin(), nodes.end(), first) == nodes.end())
            nodes.push_back(first);
    }
    return nodes;
}

} // namespace

struct failover_service::coordinated_group
{
    coordinated_group(const std::string& database, const std::string& self)
        : coordinator(database, self)
    {
    }

    failover_coordinator coordinator;
    struct probe_connection
    {
        std::string address;
        std::shared_ptr<target_control> control;
    };

    std::map<std::string, probe_connection> probes;
};

failover_service::failover_service(
    process_context& context, asio::any_io_executor executor,
    std::function<void(const group_record&)> announce)
    : context_(context), executor_(std::move(executor)),
      announce_(std::move(announce)),
      platform_(make_platform_client(executor_, context.own.platform_address,
                                     context.own.failure_domain)),
      self_(context.own.node + "#" + std::to_string(context.incarnation))
{
}

void failover_service::refresh()
{
    const auto configuration = context_.view.current_configuration();
    const auto vms = context_.view.vms();
    std::set<std::string> kept;
    for (const auto& [name, group] : configuration->databases)
    {
        const auto nodes = coordinators_of(group, *configuration, *vms);
        const auto place =
            std::find(nodes.begin(), nodes.end(), context_.own.node);
        if (place == nodes.end())
            continue;
        kept.insert(name);
        auto& handle = groups_[name];
        if (!handle)
        {
            handle = std::make_shared<coordinated_group>(name, self_);
            handle->coordinator.use_announcement(context_.view.group(name),
                                                 clock::now());
        }
        std::vector<target> members;
        for (const auto& target_name : group.targets)
        {
            const auto& declared = configuration->targets.at(target_name);
            members.push_back(declared);
            auto& probe = handle->probes[target_name];
            if (probe.address == declared.address)
                continue;
            probe.address = declared.address;
            probe.control = make_target_control(executor_, declared.address);
        }
        handle->coordinator.use_members(members);
        handle->coordinator.use_rank(
            static_cast<std::size_t>(place - nodes.begin()));
    }
    std::erase_if(groups_, [&](const auto& entry)
                  { return !kept.contains(entry.first); });
}

void failover_service::learn(const group_record& record)
{
    const auto found = groups_.find(record.database);
    if (found != groups_.end())
        found->second->coordinator.use_announcement(record, clock::now());
}

void failover_service::tick(time_point now)
{
    for (const auto& [name, group] : groups_)
        run(group, group->coordinator.tick(now));
}

boost::json::array failover_service::dump() const
{
    boost::json::array items;
    for (const auto& [name, group] : groups_)
    {
        const auto& record = group->coordinator.record();
        items.push_back(
            boost::json::object{{"database", name},
                                {"term", record.term},
                                {"primary", record.primary},
                                {"steady", record.steady},
                                {"phase", group->coordinator.phase_name()}});
    }
    return items;
}

void failover_service::run(const group_handle& group,
                           const std::vector<failover_action>& actions)
{
    struct starter
    {
        failover_service& service;
        const group_handle& group;

        void start(asio::awaitable<void> work) const
        {
            asio::co_spawn(service.executor_, std::move(work), asio::detached);
        }
        void operator()(const probe_action& action) const
        {
            start(service.run_probe(group, action));
        }
        void operator()(const read_record_action& action) const
        {
            start(service.run_read(group, action));
        }
        void operator()(const swap_record_action& action) const
        {
            start(service.run_swap(group, action));
        }
        void operator()(const fence_action& action) const
        {
            start(service.run_fence(group, action));
        }
        void operator()(const promote_action& action) const
        {
            start(service.run_promote(group, action));
        }
        void operator()(const follow_action& action) const
        {
            start(service.run_follow(action));
        }
        void operator()(const announce_action& action) const
        {
            service.announce_(action.record);
        }
    };
    for (const auto& action : actions)
    {
        if (!std::holds_alternative<probe_action>(action) &&
            !std::holds_alternative<read_record_action>(action))
            log(log_level::info, part,
                group->coordinator.record().database + ": " +
                    to_string(action));
        std::visit(starter{*this, group}, action);
    }
}

asio::awaitable<void> failover_service::run_probe(group_handle group,
                                                  probe_action action)
{
    const auto control = group->probes.at(action.target).control;
    const auto outcome = co_await control->status(probe_timeout);
    run(group,
        group->coordinator.on_probe(action.target, outcome, clock::now()));
}

asio::awaitable<void> failover_service::run_read(group_handle group,
                                                 read_record_action action)
{
    auto key = group_key(group->coordinator.record().database);
    const auto outcome = co_await platform_->get(std::move(key));
    run(group,
        group->coordinator.on_record(action.attempt, outcome, clock::now()));
}

asio::awaitable<void> failover_service::run_swap(group_handle group,
                                                 swap_record_action action)
{
    auto key = group_key(action.record.database);
    auto value = serialize_group_record(action.record);
    const auto outcome = co_await platform_->compare_and_swap(
        std::move(key), action.expected_revision, std::move(value),
        milliseconds(0));
    run(group,
        group->coordinator.on_swapped(action.attempt, outcome, clock::now()));
}

asio::awaitable<void> failover_service::run_fence(group_handle group,
                                                  fence_action action)
{
    // A connection of its own: a server that hangs must not hold up a later
    // command on a shared one.
    auto address = address_of(action.target);
    const auto control = make_target_control(executor_, address);
    const auto outcome =
        co_await control->fence(action.term, self_, command_timeout);
    run(group,
        group->coordinator.on_fenced(action.target, outcome, clock::now()));
}

asio::awaitable<void> failover_service::run_promote(group_handle group,
                                                    promote_action action)
{
    auto address = address_of(action.target);
    const auto control = make_target_control(executor_, address);
    const auto outcome =
        co_await control->promote(action.term, self_, command_timeout);
    run(group,
        group->coordinator.on_promoted(action.target, outcome, clock::now()));
}

asio::awaitable<void> failover_service::run_follow(follow_action action)
{
    auto address = address_of(action.target);
    auto primary = address_of(action.primary);
    const auto control = make_target_control(executor_, address);
    const auto outcome =
        co_await control->follow(action.term, primary, command_timeout);
    if (!succeeded(outcome))
        log(log_level::debug, part, to_string(error_of(outcome)));
}

std::string failover_service::address_of(const std::string& name) const
{
    const auto configuration = context_.view.current_configuration();
    const auto* declared = configuration->find_target(name);
    return declared == nullptr ? "" : declared->address;
}

} // namespace oleandergrade
