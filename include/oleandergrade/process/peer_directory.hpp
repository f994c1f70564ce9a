/// The outgoing peer links of one worker.
#pragma once

#include <oleandergrade/connection/peer_link.hpp>
#include <oleandergrade/version/vm_list.hpp>

#include <map>
#include <memory>
#include <string>

namespace oleandergrade
{

/// Opens one link per peer when it is first needed. All members run on the
/// executor given to the constructor.
class peer_directory
{
public:
    explicit peer_directory(boost::asio::any_io_executor executor);

    boost::asio::awaitable<result<peer_body>>
    call(const vm& peer, peer_body body, duration timeout);

    /// Whether the last call to a peer failed a short time ago.
    bool is_suspect(const std::string& vm_id) const;

private:
    struct entry
    {
        std::string address;
        std::shared_ptr<peer_link> link;
        time_point suspect_until;
    };

    boost::asio::any_io_executor executor_;
    std::map<std::string, entry> entries_;
};

} // namespace oleandergrade
