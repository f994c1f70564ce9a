/// Tests of the blocks of ports that keep test programs on one machine apart.
#include "fakes/port_block.hpp"

#include <criterion/criterion.h>

#include <optional>

namespace asio = boost::asio;
using asio::ip::tcp;

// Guards against tests of several trees that fail with "Address already in use"
// or reach each other's servers, because they take the same ports.
Test(port_block, blocks_claimed_at_the_same_time_are_disjoint)
{
    constexpr unsigned port_count = 1000;
    const fakes::port_block first(port_count);
    const fakes::port_block second(port_count);
    cr_assert(first.first_port() + port_count <= second.first_port() ||
              second.first_port() + port_count <= first.first_port());
    constexpr unsigned first_ephemeral_port = 32768;
    for (const auto* block : {&first, &second})
        cr_assert(block->first_port() + port_count <= first_ephemeral_port);
}

// Guards against a block of which another program uses a port.
Test(port_block, a_block_with_a_port_in_use_is_passed_over)
{
    constexpr unsigned port_count = 50;
    std::optional<fakes::port_block> block;
    const unsigned in_use = block.emplace(port_count).first_port() + 20U;
    asio::io_context context;
    const tcp::acceptor server(context, {asio::ip::address_v4::loopback(),
                                         static_cast<unsigned short>(in_use)});
    block.reset();
    block.emplace(port_count);
    cr_assert(block->first_port() > in_use ||
              block->first_port() + port_count <= in_use);
}
