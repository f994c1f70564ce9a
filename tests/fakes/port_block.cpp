#include "port_block.hpp"

#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <string>

namespace fakes
{
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// Each unit of ports has a lock port; the units follow after the lock ports.
constexpr unsigned first_lock_port = 2000;
constexpr unsigned unit_count_limit = 75;
constexpr unsigned first_unit_port = 2100;
constexpr unsigned ports_per_unit = 400;
/// The kernel assigns ports from here on to connections.
constexpr unsigned first_ephemeral_port = 32768;
static_assert(first_lock_port + unit_count_limit <= first_unit_port);
static_assert(first_unit_port + unit_count_limit * ports_per_unit <=
              first_ephemeral_port);

/// Hands the block on to the processes of the tests.
constexpr const char* first_port_variable = "OLEANDER_TESTS_FIRST_PORT";

/// Binds a socket without listening. Returns no value if the port is in use.
/// With `may_reuse`, ports of closed connections count as free, as they do for
/// the servers of a test.
std::optional<tcp::acceptor> try_bind(asio::io_context& context, unsigned port,
                                      bool may_reuse)
{
    tcp::acceptor socket(context, tcp::v4());
    socket.set_option(tcp::acceptor::reuse_address(may_reuse));
    boost::system::error_code failure;
    socket.bind(
        {asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)},
        failure);
    if (failure)
        return std::nullopt;
    return socket;
}

} // namespace

port_block::port_block(unsigned port_count)
{
    const auto unit_count = (port_count + ports_per_unit - 1) / ports_per_unit;
    for (unsigned unit = 0; unit + unit_count <= unit_count_limit; ++unit)
        if (try_claim(unit, unit_count))
            return;
    throw std::runtime_error("no block of " + std::to_string(port_count) +
                             " loopback ports is free");
}

bool port_block::try_claim(unsigned first_unit, unsigned unit_count)
{
    locks_.clear();
    for (unsigned unit = first_unit; unit < first_unit + unit_count; ++unit)
    {
        auto lock = try_bind(context_, first_lock_port + unit, false);
        if (!lock)
            return false;
        locks_.push_back(std::move(*lock));
    }
    const auto first_port = first_unit_port + first_unit * ports_per_unit;
    for (unsigned i = 0; i < unit_count * ports_per_unit; ++i)
        if (!try_bind(context_, first_port + i, true))
            return false;
    first_port_ = static_cast<unsigned short>(first_port);
    return true;
}

void claim_ports_of_tests(unsigned port_count)
{
    static std::optional<port_block> block;
    block.emplace(port_count);
    ::setenv(first_port_variable, std::to_string(block->first_port()).c_str(),
             1);
}

unsigned short first_port_of_tests()
{
    const char* first_port = std::getenv(first_port_variable);
    if (first_port == nullptr)
        throw std::runtime_error("no ports were claimed for the tests");
    return static_cast<unsigned short>(std::stoul(first_port));
}

} // namespace fakes
