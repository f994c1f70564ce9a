/// A store client that counts calls to a store and measures their duration.
#pragma once

#include <oleandergrade/process/metadata_store.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace oleandergrade
{

/// Forwards all calls to another store and records their number, outcome and
/// duration. The duration of watches is left out because they wait on purpose.
class metered_store : public metadata_store
{
public:
    explicit metered_store(metadata_store& store) : store_(store) {}

    std::uint64_t generation() const override { return store_.generation(); }
    boost::asio::awaitable<result<stored_item>> read(std::string key) override;
    boost::asio::awaitable<result<stored_range>>
    read_all(std::string prefix) override;
    boost::asio::awaitable<result<stored_changes>>
    watch(std::string prefix, std::uint64_t after_revision,
          milliseconds timeout) override;
    boost::asio::awaitable<result<std::uint64_t>>
    write(conditional_write change) override;
    boost::asio::awaitable<result<store_lease>>
    create_lease(milliseconds lifetime) override;
    boost::asio::awaitable<result<bool>> renew_lease(std::uint64_t id) override;
    boost::asio::awaitable<result<bool>> end_lease(std::uint64_t id) override;

    /// Returns the metrics in the Prometheus text format.
    std::string to_text() const;

private:
    enum class call_kind : std::uint8_t
    {
        read,
        watch,
        write,
        lease
    };
    struct call_statistics
    {
        std::uint64_t succeeded = 0;
        std::uint64_t failed = 0;
        /// Total duration of the calls.
        duration total_duration{0};
    };

    void record_call(call_kind kind, bool succeeded, time_point started_at);

    metadata_store& store_;
    std::array<call_statistics, 4> statistics_;
};

} // namespace oleandergrade
