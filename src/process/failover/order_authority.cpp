#include <oleandergrade/process/failover/order_authority.hpp>

#include <utility>

namespace oleandergrade
{

order_authority::order_authority(std::function<bool()> may_act)
    : may_act_(std::move(may_act))
{
}

void order_authority::end()
{
    has_ended_ = true;
    if (const auto handler = std::exchange(on_end_, nullptr))
        handler();
}

void order_authority::on_end(std::function<void()> handler)
{
    on_end_ = std::move(handler);
}

} // namespace oleandergrade
