/// Admits callers' requests within their accounts' limits.
#pragma once

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/process/bank_service.hpp>
#include <oleandergrade/process/peer_directory.hpp>
#include <oleandergrade/process/process_context.hpp>
#include <oleandergrade/process/token_borrower.hpp>

#include <boost/asio/awaitable.hpp>

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace oleandergrade
{

/// Token borrowers in shards by account, each under its own lock.
class admission_service
{
public:
    /// `peers` and the calls to banks belong to `executor`.
    admission_service(process_context& context, bank_service& bank,
                      boost::asio::any_io_executor executor,
                      peer_directory& peers);

    void use_configuration(const configuration& value);

    /// Waits for a token of the account; returns the refusal if there is
    /// none in time.
    boost::asio::awaitable<std::optional<answer>> admit(std::string account,
                                                        time_point deadline);

    /// Makes due calls to banks and ends due waits.
    void tick(time_point now);

private:
    static constexpr std::size_t shard_count = 8;

    struct waiting_caller
    {
        boost::asio::any_io_executor executor;
        std::shared_ptr<async_event> event;
        admission_result result;
    };
    struct shard
    {
        std::mutex mutex;
        std::unique_ptr<token_borrower> borrower;
        std::map<std::uint64_t, std::shared_ptr<waiting_caller>> callers;
        std::uint64_t next_ticket = 1;
    };

    std::size_t shard_index(const std::string& account) const;
    void pump(std::size_t index, const std::string& account, time_point now);
    static std::vector<std::shared_ptr<waiting_caller>> take_ended(shard& part);
    void finish(std::size_t index, std::vector<borrow_call> calls,
                const std::vector<std::shared_ptr<waiting_caller>>& ended);
    void make_call(std::size_t index, borrow_call call);
    boost::asio::awaitable<void> call_bank(std::size_t index, borrow_call call);

    process_context& context_;
    bank_service& bank_;
    boost::asio::any_io_executor executor_;
    peer_directory& peers_;
    std::array<shard, shard_count> shards_;
};

} // namespace oleandergrade
