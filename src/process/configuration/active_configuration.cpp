#include <oleandergrade/process/configuration/active_configuration.hpp>

namespace oleandergrade
{

bool active_configuration::apply(route_table_ptr table)
{
    if (table == nullptr || table->version <= version())
        return false;
    current_ = std::move(table);
    for (const auto& observer : observers_)
        observer(*current_);
    return true;
}

void active_configuration::subscribe(
    std::function<void(const route_table&)> observer)
{
    observers_.push_back(std::move(observer));
}

} // namespace oleandergrade
