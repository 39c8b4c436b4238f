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

net::cells::Layout load_layout(const std::string &path) {
    const config::Operator operator_config = config::load_operator(path);
    if (operator_config.cells.isNull())
        throw config::Error("missing field 'cells': give --operator a file with cells");
    return net::cells::read_layout(operator_config.cells);
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

/// Reads the operator's file again. An invalid file is logged and has no other effect.
void reload_layout(net::cells::CoordinatorServer &server, const std::string &operator_file) {
    try {
        server.reload_layout(load_layout(operator_file));
    } catch (const std::exception &error) {
        core::log("coordinator_layout_rejected reason=\"{}\"", error.what());
    }
}

} // namespace

int run_cell_coordinator(const std::string &operator_file, core::BlockedSignal &blocked_hangup) {
    const net::cells::Layout layout = load_layout(operator_file);
    asio::io_context io(1);
    core::Clock clock;
    core::Deadlines deadlines(io, clock);
    net::cells::CoordinatorServer server(
        io, deadlines, layout,
        net::listen_at(io, address<tcp::endpoint>(layout.coordinator_link, "cells.keeper.link")),
        random_seed());
    admin::AdminServer admin(
        io, deadlines,
        net::listen_at(io, address<tcp::endpoint>(layout.coordinator_control, "cells.keeper.control")),
        operations_of(server));
    core::log("coordinator_started cells={} link={}", layout.map.cells.size(), layout.coordinator_link);
    asio::signal_set reload_signals(io, SIGHUP);
    const std::function<void()> await_reload_signal = [&] {
        reload_signals.async_wait([&](const boost::system::error_code &error, int) {
            if (error)
                return;
            reload_layout(server, operator_file);
            await_reload_signal();
        });
    };
    await_reload_signal();
    blocked_hangup.unblock();
    asio::signal_set termination_signals(io, SIGTERM, SIGINT);
    termination_signals.async_wait([&](const boost::system::error_code &error, int) {
        if (!error)
            io.stop();
    });
    io.run();
    core::log("coordinator_stopped");
    std::fflush(nullptr); // exits without destructors, as suspended coroutines refer to the objects above
    std::quick_exit(0);
}

} // namespace marblewood::app
