/// Has other VMs run statements of this VM's callers.
#pragma once

#include <oleandergrade/connection/forwarded_statement.hpp>
#include <oleandergrade/connection/peer_link.hpp>
#include <oleandergrade/process/forwarding/holder_selector.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// What became of a statement that was sent to another VM.
enum class forwarding_result : std::uint8_t
{
    /// The other VM accepted the statement and answered.
    answered,
    /// The statement was not sent, or the other VM did not accept it. It has
    /// not run.
    not_run,
    /// The statement was sent and there is no answer. It may have run.
    lost
};

struct forwarding_outcome
{
    forwarding_result result = forwarding_result::not_run;
    /// Set if the statement was answered.
    forwarded_answer answer;
    /// Why there is no answer.
    std::string reason;
};

/// Number of statements that were forwarded to one VM, by result.
struct forwarding_counts
{
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t lost = 0;
};

/// Forwards statements over links of its own, one for each holder. A call that
/// times out does not close its link, because other statements use it. A link
/// on which nothing arrives while statements are under way is probed; while the
/// holder does not answer the probes, it gets no new statements.
///
/// All members must be called on the executor given to the constructor.
class statement_forwarder
{
public:
    /// Time without any message after which a link with statements under way
    /// is probed.
    static constexpr milliseconds max_silence{100};
    static constexpr milliseconds probe_timeout{150};
    static constexpr milliseconds connect_timeout{150};
    /// Part of a statement's time that is reserved for the way back of the
    /// holder's answer, so that an answer that the holder gives at its deadline
    /// arrives before this VM gives up.
    static constexpr milliseconds hop_allowance{10};

    /// `vm` and `incarnation` identify this VM's process. `selector` must
    /// outlive the object.
    statement_forwarder(boost::asio::any_io_executor executor,
                        holder_selector& selector, std::string vm,
                        std::uint64_t incarnation);
    ~statement_forwarder();

    /// Returns where a statement of the account is run.
    statement_destination choose(const std::string& group,
                                 const std::string& account);
    /// Returns an identifier that has not been used before.
    forwarded_session_id make_session_id();

    /// Has the VM at `address` run the statement, and waits for the answer
    /// until `deadline`. A read outside a transaction is given up as lost when
    /// the VM does not answer a probe.
    boost::asio::awaitable<forwarding_outcome>
    forward(std::string address, forwarded_statement statement,
            time_point deadline);
    /// Has the VM at `address` roll back a transaction. Returns when it has
    /// answered, or after `timeout`.
    boost::asio::awaitable<void> end(std::string address,
                                     forwarded_session_id session,
                                     milliseconds timeout);
    /// Does the same in the background.
    void end_in_background(const std::string& address,
                           const forwarded_session_id& session);

    /// Returns the counters of each VM by its address.
    const std::map<std::string, forwarding_counts>& counts() const
    {
        return counts_;
    }
    /// Returns the number of statements under way at other VMs.
    std::size_t pending_count() const;

private:
    struct pending_statement;
    struct holder_link;

    std::shared_ptr<holder_link> find_link(const std::string& address);
    boost::asio::awaitable<void>
    run_call(std::shared_ptr<holder_link> link,
             std::shared_ptr<pending_statement> pending, peer_body body,
             duration timeout);
    /// Probes the link while statements are under way or the holder does not
    /// answer.
    boost::asio::awaitable<void> watch(std::shared_ptr<holder_link> link);
    /// Sends one probe. Returns false if nothing arrived from the holder.
    boost::asio::awaitable<bool> probe(std::shared_ptr<holder_link> link);
    void on_probe_failed(holder_link& link);
    bool is_in_table(const std::string& address) const;

    boost::asio::any_io_executor executor_;
    holder_selector& selector_;
    std::string vm_;
    std::uint64_t incarnation_;
    std::uint64_t last_session_ = 0;
    std::uint64_t last_probe_ = 0;
    std::map<std::string, std::shared_ptr<holder_link>> links_;
    std::map<std::string, forwarding_counts> counts_;
};

} // namespace oleandergrade
