/// The servers of a platform_emulator; private to its sources.
#pragma once

#include "platform_emulator.hpp"

#include <map>
#include <utility>

namespace standins
{

inline boost::asio::ip::tcp::endpoint loopback(unsigned short port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

struct platform_emulator::server_session
{
    explicit server_session(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    boost::asio::ip::tcp::socket socket;
    std::string account;
    oleandergrade::transaction_state state =
        oleandergrade::transaction_state::none;
    bool read_only = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::map<std::string, std::string> values;
    /// Shape and whether it writes, by name.
    std::map<std::string, bool> prepared;
};

struct platform_emulator::server_state
{
    server_state(boost::asio::io_context& context, group_model& owner,
                 std::string server, unsigned short server_port)
        : acceptor(context), group(owner), id(std::move(server)),
          port(server_port)
    {
    }

    boost::asio::ip::tcp::acceptor acceptor;
    group_model& group;
    std::string id;
    unsigned short port;
    bool is_draining = false;
    bool is_silent = false;
    /// The role that the store shows.
    bool registered_primary = false;
    unsigned busy = 0;
    unsigned waiting = 0;
    std::set<std::shared_ptr<server_session>> sessions;
};

} // namespace standins
