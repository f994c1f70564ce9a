#include <oleandergrade/process/configuration/store_mirror.hpp>

#include <oleandergrade/process/event_log.hpp>

#include <algorithm>
#include <set>

namespace oleandergrade
{
namespace asio = boost::asio;

namespace
{

/// A third of a deadline is for the watch, a third for noticing that its answer
/// was lost, and a third for the repetition and for notifying the other VMs.
constexpr int intervals_per_deadline = 3;
constexpr auto min_confirmation_interval = milliseconds(250);
constexpr auto max_confirmation_interval = milliseconds(1000);
/// How many of the longest delays between failed calls fit into a deadline.
constexpr int retry_delays_per_deadline = 4;

milliseconds shortest_deadline(const vm_settings& settings)
{
    return std::min(settings.configuration_apply_timeout,
                    settings.drain_timeout);
}

} // namespace

store_mirror::store_mirror(const asio::any_io_executor& executor,
                           fleet_state& state)
    : state_(state),
      configuration_follower_(
          executor, state.store, state.platform.layout.configuration_prefix,
          confirmation_interval(state.settings),
          {[this](const stored_range& range) { apply_operator_range(range); },
           [this](const stored_change& change) { apply_operator_key(change); },
           [this] { report_call_ended(); }}),
      target_follower_(
          executor, state.store, state.platform.layout.targets_prefix,
          confirmation_interval(state.settings),
          {[this](const stored_range& range) { apply_target_range(range); },
           [this](const stored_change& change)
           {
               apply_target(change.key, change.value);
               on_targets_changed();
           },
           [this] { report_call_ended(); }})
{
}

void store_mirror::start()
{
    configuration_follower_.start();
    target_follower_.start();
}

void store_mirror::report_call_ended()
{
    if (on_call_ended)
        on_call_ended();
}

milliseconds store_mirror::confirmation_interval(const vm_settings& settings)
{
    return std::clamp(shortest_deadline(settings) / intervals_per_deadline,
                      min_confirmation_interval, max_confirmation_interval);
}

milliseconds store_mirror::max_retry_delay(const vm_settings& settings)
{
    return std::max(shortest_deadline(settings) / retry_delays_per_deadline,
                    store_follower::max_retry_delay);
}

void store_mirror::set_follow_mode(follow_mode mode)
{
    // The interval follows settings that were reloaded.
    const auto interval = confirmation_interval(state_.settings);
    configuration_follower_.set_confirmation_interval(interval);
    target_follower_.set_confirmation_interval(interval);
    // Every VM receives the configuration from the store: copies of a large one
    // would fill the link of a VM that provides them to many.
    configuration_follower_.set_mode(mode == follow_mode::confirming
                                         ? follow_mode::confirming
                                         : follow_mode::assisted);
    target_follower_.set_mode(mode == follow_mode::confirming
                                  ? follow_mode::confirming
                                  : follow_mode::paused);
}

void store_mirror::discard_lapsed_targets(time_point now)
{
    if (state_.view.registry.discard_lapsed(now))
        on_targets_changed();
}

void store_mirror::apply_operator_range(const stored_range& range)
{
    const auto& layout = state_.platform.layout;
    std::set<std::string> domains;
    for (const auto& item : range.items)
        if (item.key == layout.configuration_key)
            apply_configuration(item.value, "store");
        else if (item.key.starts_with(layout.evacuation_prefix))
            domains.insert(item.key.substr(layout.evacuation_prefix.size()));
    if (state_.view.evacuations.set_stored(domains, current_time()))
        on_evacuations_changed();
}

void store_mirror::apply_operator_key(const stored_change& change)
{
    const auto& layout = state_.platform.layout;
    if (change.key == layout.configuration_key && change.value)
        apply_configuration(*change.value, "store");
    if (change.key.starts_with(layout.evacuation_prefix) &&
        state_.view.evacuations.set_stored(
            change.key.substr(layout.evacuation_prefix.size()),
            change.value.has_value(), current_time()))
        on_evacuations_changed();
}

void store_mirror::on_evacuations_changed()
{
    std::string domains;
    for (const auto& domain : state_.view.evacuations.names())
        domains += (domains.empty() ? "" : ",") + domain;
    log_event(event_level::warning, "targets", "evacuated domains changed",
              {{"domains", domains.empty() ? "none" : domains}});
    on_targets_changed();
}

void store_mirror::apply_configuration(const std::string& record,
                                       const char* source)
{
    auto decoded = state_.platform.layout.decode_configuration(record);
    if (!succeeded(decoded))
        return log_event(event_level::error, "configuration",
                         "invalid record ignored",
                         {{"error", to_string(error_of(decoded))},
                          {"in_force", state_.configuration.version()}});
    const auto previous_version = state_.configuration.version();
    if (!state_.configuration.apply(value_of(decoded)))
        return;
    log_event(event_level::info, "configuration", "in force",
              {{"version", state_.configuration.version()},
               {"before", previous_version},
               {"source", source},
               {"bytes", record.size()}});
}

void store_mirror::apply_target_range(const stored_range& range)
{
    std::map<std::string, std::string> records;
    for (const auto& item : range.items)
        records[item.key] = item.value;
    apply_targets(records);
}

// Targets without a record count as removed.
void store_mirror::apply_targets(
    const std::map<std::string, std::string>& records)
{
    std::vector<std::string> removed_keys;
    for (const auto& current : state_.target_records)
        if (!records.contains(current.first))
            removed_keys.push_back(current.first);
    for (const auto& key : removed_keys)
        apply_target(key, std::nullopt);
    for (const auto& [key, value] : records)
        apply_target(key, value);
    has_target_list_ = true;
    on_targets_changed();
}

void store_mirror::apply_target(const std::string& key,
                                const std::optional<std::string>& value)
{
    const auto id = key.substr(state_.platform.layout.targets_prefix.size());
    const auto now = current_time();
    if (!value)
    {
        state_.target_records.erase(key);
        state_.view.registry.remove(id, now);
        return log_event(event_level::info, "targets", "gone",
                         {{"target", id}});
    }
    state_.target_records[key] = *value;
    auto decoded = state_.platform.layout.decode_target(id, *value);
    if (!succeeded(decoded))
    {
        state_.view.registry.remove(id, now);
        return log_event(
            event_level::warning, "targets", "invalid record, target removed",
            {{"target", id}, {"error", to_string(error_of(decoded))}});
    }
    const auto& target = value_of(decoded);
    const auto* current = state_.view.registry.find(id);
    if (current == nullptr || !(*current == target))
        log_event(event_level::info, "targets", "registered",
                  {{"target", id},
                   {"group", target.group},
                   {"address", target.address},
                   {"draining", target.is_draining ? "yes" : "no"},
                   {"primary", target.claims_primary ? "yes" : "no"}});
    state_.view.registry.put(target);
}

void store_mirror::on_targets_changed()
{
    state_.pool.close_idle_at_unusable_targets();
    state_.pool.serve_all_waiting();
}

void store_mirror::apply_snapshot(const fleet_snapshot& snapshot)
{
    if (snapshot.configuration_version > state_.configuration.version())
        apply_configuration(snapshot.configuration, "peer");
    // Changes from the store are newer than another VM's copy.
    if (receives_targets())
        return;
    std::map<std::string, std::string> records;
    for (const auto& item : snapshot.targets)
        records[item.key] = item.value;
    apply_targets(records);
}

fleet_snapshot store_mirror::make_snapshot(std::uint64_t known_version) const
{
    fleet_snapshot snapshot;
    const auto& table = state_.configuration.current();
    if (table != nullptr && table->version > known_version)
    {
        snapshot.configuration_version = table->version;
        snapshot.configuration = table->source_record;
    }
    for (const auto& [key, value] : state_.target_records)
        snapshot.targets.push_back({key, value});
    for (const auto& [name, member] : state_.members.all())
        snapshot.members.push_back({name, serialize_fleet_member(member)});
    return snapshot;
}

} // namespace oleandergrade
