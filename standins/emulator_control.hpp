/// HTTP interface through which other processes inject faults into a platform
/// emulator and read its state.
#pragma once

#include "platform_emulator.hpp"

#include <oleandergrade/connection/http_server.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace standins
{

/// HTTP server on the loopback address. It answers these requests; the method
/// is not checked:
///
/// - `POST /fault`: injects the fault whose name and argument are in the body.
///   Status 200, or 400 with the error message as body.
/// - `GET /log/GROUP`: the writes in the log of the group's primary with the
///   highest term, as plain text with one "ITEM DATA" line per write.
/// - `GET /received/NUMBER`: the statements that the servers received from this
///   number on, up to about `max_page_bytes`, in the form of
///   received_statements::to_text(). Discards those with lower numbers. Status
///   400 if the number is missing.
/// - `GET /findings`, and every other path: the emulator's counters as JSON,
///   with the number of the next statement for /received (next_received).
class emulator_control
{
public:
    static constexpr std::size_t max_page_bytes = 1024 * 1024;

    /// Starts to listen on `port` of the loopback address. Throws
    /// boost::system::system_error if the port is taken.
    emulator_control(boost::asio::io_context& context, unsigned short port,
                     platform_emulator& emulator);

private:
    /// Produces the answer to one request.
    boost::asio::awaitable<oleandergrade::http_response>
    serve(oleandergrade::http_request request);

    platform_emulator& emulator_;
    oleandergrade::http_server server_;
};

} // namespace standins
