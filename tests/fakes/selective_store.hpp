/// A metadata store that fails calls for some prefixes and serves all others.
#pragma once

#include <oleandergrade/connection/async_event.hpp>
#include <oleandergrade/process/metadata_store.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace fakes
{

/// Forwards the calls of one VM to another store, except for the failures that
/// a test asks for. All members must be called on one executor.
class selective_store : public oleandergrade::metadata_store
{
public:
    selective_store(boost::asio::any_io_executor executor,
                    std::unique_ptr<oleandergrade::metadata_store> store);

    /// Ends the watches of the prefix that are waiting, as if their connections
    /// were closed.
    void cut_watches(const std::string& prefix);
    /// The next `count` reads and watches of the prefix are refused.
    void refuse_calls(const std::string& prefix, unsigned count)
    {
        refusals_left_[prefix] = count;
    }

    boost::asio::awaitable<oleandergrade::result<oleandergrade::stored_item>>
    read(std::string key) override;
    boost::asio::awaitable<oleandergrade::result<oleandergrade::stored_range>>
    read_all(std::string prefix) override;
    boost::asio::awaitable<oleandergrade::result<oleandergrade::stored_changes>>
    watch(std::string prefix, std::uint64_t after_revision,
          oleandergrade::milliseconds timeout) override;
    boost::asio::awaitable<oleandergrade::result<std::uint64_t>>
    write(oleandergrade::conditional_write change) override;
    boost::asio::awaitable<oleandergrade::result<oleandergrade::store_lease>>
    create_lease(oleandergrade::milliseconds lifetime) override;
    boost::asio::awaitable<oleandergrade::result<bool>>
    renew_lease(std::uint64_t id) override;
    boost::asio::awaitable<oleandergrade::result<bool>>
    end_lease(std::uint64_t id) override;

private:
    /// Counts a call for this prefix and returns whether it is refused.
    bool is_refused(const std::string& prefix);

    boost::asio::any_io_executor executor_;
    std::unique_ptr<oleandergrade::metadata_store> store_;
    /// How many more calls are refused, by prefix.
    std::map<std::string, unsigned> refusals_left_;
    /// Signalled to end the watches that are waiting, by prefix.
    std::map<std::string, std::set<std::shared_ptr<oleandergrade::async_event>>>
        cuts_;
};

} // namespace fakes
