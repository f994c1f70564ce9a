/// Lets other processes inject faults into an emulator and ask for its state.
#pragma once

#include "platform_emulator.hpp"

#include <oleandergrade/connection/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace standins
{

/// HTTP on loopback:
///
/// - `POST /fault` with a fault's line as body
/// - `GET /log/GROUP`: the items and data in the log of its newest primary
/// - `GET /findings`: counters as JSON
class emulator_control
{
public:
    /// Throws boost::system::system_error if the address is taken.
    emulator_control(boost::asio::io_context& context, unsigned short port,
                     platform_emulator& emulator);

private:
    boost::asio::awaitable<oleandergrade::http_response>
    serve(oleandergrade::http_request request);

    platform_emulator& emulator_;
    oleandergrade::http_server server_;
};

} // namespace standins
