#include <oleandergrade/process/trace_store.hpp>

#include <boost/json.hpp>

#include <functional>

namespace oleandergrade
{

trace_store::trace_store() : started_(clock::now()) {}

void trace_store::record(const std::string& request_number, std::string text)
{
    const auto age = clock::now() - started_;
    const auto at = std::chrono::duration_cast<microseconds>(age).count();
    auto& home = shard_of(request_number);
    const std::lock_guard lock(home.mutex);
    const auto [entry, is_new] = home.requests.try_emplace(request_number);
    entry->second.push_back({at, std::move(text)});
    if (!is_new)
        return;
    home.order.push_back(request_number);
    if (home.order.size() <= requests_per_shard)
        return;
    home.requests.erase(home.order.front());
    home.order.pop_front();
}

std::vector<trace_event>
trace_store::find(const std::string& request_number) const
{
    const auto& home = shard_of(request_number);
    const std::lock_guard lock(home.mutex);
    const auto found = home.requests.find(request_number);
    if (found == home.requests.end())
        return {};
    return found->second;
}

std::string trace_store::find_json(const std::string& request_number) const
{
    boost::json::array events;
    for (const auto& event : find(request_number))
        events.push_back(
            boost::json::object{{"at_us", event.at_us}, {"event", event.text}});
    return boost::json::serialize(events);
}

trace_store::shard& trace_store::shard_of(const std::string& request_number)
{
    return shards_[std::hash<std::string>()(request_number) % shard_count];
}

const trace_store::shard&
trace_store::shard_of(const std::string& request_number) const
{
    return shards_[std::hash<std::string>()(request_number) % shard_count];
}

} // namespace oleandergrade
