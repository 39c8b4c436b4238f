/// \file
/// The sub-command `keeper`: runs the cell coordinator of an installation.
#include "app/app.hpp"

#include "admin/admin_server.hpp"
#include "core/log.hpp"
#include "net/cells/coordinator_server.hpp"
#include "net/clients.hpp"

#include <boost/asio/signal_set.hpp>
#include <random>

namespace marblewood::app {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

net::cells::Layout read_operators_layout(const std::string &path) {
    const config::Operator operators = config::load_operator(path);
    if (operators.cells.isNull())
        throw config::Error("missing field 'cells': give --operator a file with cells");
    return net::cells::read_layout(operators.cells);
}

std::uint64_t random_seed() {
    std::random_device random;
    const auto high = static_cast<std::uint64_t>(random());
    return high << 32 | random();
}

admin::Operations operations_of(net::cells::CoordinatorServer &server) {
    admin::Operations operations;
    operations.stats = [&server] { return server.stats(); };
    operations.accepts_changes = [] { return true; };
    operations.cells = [&server](std::string name, std::string body) -> asio::awaitable<admin::Reply> {
        const net::link::OperatorReply reply = server.handle_call(name, body);
        co_return admin::Reply{reply.ok ? 200 : 409, reply.text};
    };
    return operations;
}

/// Reads the operators' file again; a file that is wrong is logged and changes nothing.
void reload_layout(net::cells::CoordinatorServer &server, const std::string &operators) {
    try {
        server.reload_layout(read_operators_layout(operators));
    } catch (const std::exception &error) {
        core::log("coordinator_layout_rejected reason=\"{}\"", error.what());
    }
}

} // namespace

int run_cell_coordinator(const std::string &operators, core::BlockedSignal &hangup) {
    const net::cells::Layout layout = read_operators_layout(operators);
    asio::io_context io(1);
    core::Clock clock;
    core::Deadlines deadlines(io, clock);
    net::cells::CoordinatorServer server(
        io, deadlines, layout,
        net::listen_at(io, address<tcp::endpoint>(layout.coordinator_link, "cells.keeper.link")),
        random_seed());
    admin::AdminServer control(
        io, deadlines,
        net::listen_at(io, address<tcp::endpoint>(layout.coordinator_control, "cells.keeper.control")),
        operations_of(server));
    core::log("coordinator_started cells={} link={}", layout.map.cells.size(), layout.coordinator_link);
    asio::signal_set hangups(io, SIGHUP);
    const std::function<void()> await_hangup = [&] {
        hangups.async_wait([&](const boost::system::error_code &error, int) {
            if (error)
                return;
            reload_layout(server, operators);
            await_hangup();
        });
    };
    await_hangup();
    hangup.unblock();
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error)
            io.stop();
    });
    io.run();
    core::log("coordinator_stopped");
    std::fflush(nullptr); // no destructors: coroutines refer to the objects above, as in serve()
    std::quick_exit(0);
}

} // namespace marblewood::app
