/// State of the database servers of a platform_emulator and of their sessions;
/// private to the sources in this folder.
#pragma once

#include "platform_emulator.hpp"

#include <map>
#include <utility>

namespace standins
{

inline boost::asio::ip::tcp::endpoint loopback_endpoint(unsigned short port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

/// A session that a client has opened at a database server.
struct platform_emulator::server_session
{
    explicit server_session(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    boost::asio::ip::tcp::socket socket;
    /// Account name from the CONNECT message; empty before it was accepted.
    std::string account;
    oleandergrade::transaction_state transaction =
        oleandergrade::transaction_state::none;
    bool read_only = false;
    /// Items and data written in the open transaction, not yet committed.
    std::vector<std::pair<std::string, std::string>> pending_writes;
    /// Session values by name, from SET. Statements don't use them.
    std::map<std::string, std::string> session_values;
    /// What was prepared, from READ or WRITE on, by its name.
    std::map<std::string, std::string> prepared_statements;
};

/// A database server: its listening socket, its load and its sessions. The data
/// is in the group model.
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
    std::string domain;
    bool is_draining = false;
    /// Whether answers are withheld.
    bool is_unresponsive = false;
    /// Whether the server's record in the store has the role of primary.
    bool is_registered_primary = false;
    /// Number of statements that run now.
    unsigned running_statements = 0;
    /// Number of statements that took a slot.
    std::uint64_t statements = 0;
    /// Number of statements that wait until another one has ended.
    unsigned waiting_statements = 0;
    /// Open connections, including those that have not sent CONNECT yet.
    std::set<std::shared_ptr<server_session>> sessions;
};

} // namespace standins
