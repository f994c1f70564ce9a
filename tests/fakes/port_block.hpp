/// Blocks of loopback ports that several test programs on one machine can use
/// at the same time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <vector>

namespace fakes
{

/// Consecutive ports below the range that the kernel assigns by itself. The
/// block belongs to this process until the object is destroyed or the process
/// ends, however it ends.
class port_block
{
public:
    /// Claims `port_count` ports of which none is in use. Throws
    /// std::runtime_error if there are none.
    explicit port_block(unsigned port_count);

    unsigned short first_port() const { return first_port_; }

private:
    /// Claims `unit_count` units from `first_unit` on. Returns whether all of
    /// them were free.
    bool try_claim(unsigned first_unit, unsigned unit_count);

    boost::asio::io_context context_;
    /// Bound to the lock port of each claimed unit. The kernel closes them when
    /// the process ends, so that a killed process leaves nothing claimed.
    std::vector<boost::asio::ip::tcp::acceptor> locks_;
    unsigned short first_port_ = 0;
};

/// Claims a block for all tests of this program. Criterion runs each test in a
/// process of its own, so this belongs into ReportHook(PRE_ALL), which runs in
/// the process that starts the others and outlives them.
void claim_ports_of_tests(unsigned port_count);
/// Returns the first port of the block that claim_ports_of_tests() has claimed.
/// Throws std::runtime_error if there is none.
unsigned short first_port_of_tests();

} // namespace fakes
