/// The leader's authority for one order that it sends over the network.
#pragma once

#include <functional>

namespace oleandergrade
{

/// Tells whoever sends an order whether it may still be sent, and ends the call
/// as soon as it may not. Opening a connection can take longer than the lease
/// lasts, so the authority must be checked when the order is written, and not
/// only before. All members must be called on one executor.
class order_authority
{
public:
    /// `may_act` returns whether the VM is the leader now.
    explicit order_authority(std::function<bool()> may_act);

    /// Whether the order may be written now.
    bool is_valid() const { return !has_ended_ && may_act_(); }
    /// Ends the authority, and the call if it is under way.
    void end();
    /// Sets the function that ends the call. Null if there is none any more.
    void on_end(std::function<void()> handler);

    /// To be called when the order is about to be written.
    void mark_sent() { is_sent_ = true; }
    /// Whether the order may have reached its receiver.
    bool is_sent() const { return is_sent_; }

private:
    std::function<bool()> may_act_;
    std::function<void()> on_end_;
    bool has_ended_ = false;
    bool is_sent_ = false;
};

} // namespace oleandergrade
