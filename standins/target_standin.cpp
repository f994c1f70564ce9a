/// Stand-in for a database target: one server of a group behind HTTP/1.1.
#include "target_process.hpp"

#include <oleandergrade/connection/http_server.hpp>

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(listen, "127.0.0.1:7101", "address to listen on, IP:PORT");
DEFINE_string(primary, "", "address of the first primary; empty for itself");
DEFINE_uint32(group_size, 3, "servers in the database group");
DEFINE_uint32(slots, 3, "statements that run at the same time");
DEFINE_uint32(connections, 20, "connections accepted at the same time");
DEFINE_uint32(connect_ms, 10, "time that opening a connection takes");
DEFINE_uint32(service_us, 300, "time that one statement holds its slot");
DEFINE_string(state, "", "file that keeps the log over restarts, if any");
DEFINE_uint32(apply_delay_ms, 0, "replication lag as seen by reads");

int main(int argc, char** argv)
{
    using namespace oleandergrade;
    gflags::SetUsageMessage("stand-in for one database server");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto endpoint = parse_endpoint(FLAGS_listen);
    if (!succeeded(endpoint))
    {
        std::cerr << to_string(error_of(endpoint)) << "\n";
        return 2;
    }
    boost::asio::io_context context(1);
    standins::target_options options;
    options.address = FLAGS_listen;
    options.first_primary = FLAGS_primary;
    options.group_size = FLAGS_group_size;
    options.slots = FLAGS_slots;
    options.connections = FLAGS_connections;
    options.connect_time = milliseconds(FLAGS_connect_ms);
    options.service_time = microseconds(FLAGS_service_us);
    options.apply_delay = milliseconds(FLAGS_apply_delay_ms);
    options.state_file = FLAGS_state;
    standins::target_process process(context, options);
    http_handlers handlers;
    handlers.serve = [&](http_request request)
    { return process.serve(std::move(request)); };
    handlers.on_open = [&] { return process.open_delay(); };
    handlers.on_close = [&](std::uint64_t connection)
    { process.connection_closed(connection); };
    http_server server(context, value_of(endpoint), {}, handlers);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
