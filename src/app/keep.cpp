#include "app/app.hpp"

#include "core/log.hpp"
#include "net/cells/office.hpp"
#include "net/clients.hpp"
#include "net/control/control.hpp"
#include "net/http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <random>

namespace marblewood::app {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

net::cells::Layout read(const std::string &operators) {
    const config::Operator added = config::load_operator(operators);
    if (added.cells.isNull())
        throw config::Error("missing field 'cells': give --operator a file with cells");
    return net::cells::read_layout(added.cells);
}

} // namespace

int keep(const std::string &operators, core::BlockedSignal &hangup) {
    const net::cells::Layout layout = read(operators);
    asio::io_context io(1);
    core::Clock clock;
    core::Deadlines deadlines(io, clock);
    std::random_device random;
    const std::uint64_t seed = static_cast<std::uint64_t>(random()) << 32 | random();
    net::cells::Office office(
        io, deadlines, layout,
        net::listen_at(io, address<tcp::endpoint>(layout.keeper_link, "cells.keeper.link")), seed);
    net::control::Operations operations;
    operations.stats = [&] { return office.stats(); };
    operations.acts = [] { return true; };
    operations.cells = [&](std::string what, std::string body,
                           bool) -> asio::awaitable<std::pair<int, std::string>> {
        const auto reply = office.call(what, body);
        co_return std::pair(reply.ok ? 200 : 409, reply.text);
    };
    net::control::Control control(
        io, deadlines,
        net::listen_at(io, address<tcp::endpoint>(layout.keeper_control, "cells.keeper.control")),
        std::move(operations));
    core::log("keeper of {} cells at {}", layout.map.cells.size(), layout.keeper_link);
    asio::signal_set hangups(io, SIGHUP); // the file is read again
    const std::function<void()> await_hangup = [&] {
        hangups.async_wait([&](const boost::system::error_code &error, int) {
            if (error)
                return;
            try {
                office.relayout(read(operators));
            } catch (const std::exception &wrong) {
                core::log("keeper: layout not taken: {}", wrong.what());
            }
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
    core::log("ended");
    std::fflush(nullptr); // coroutines refer to what stands above: see serve()
    std::quick_exit(0);
}

int call_cells(const std::string &control, const std::string &call, const std::vector<std::string> &words) {
    const auto at = address<tcp::endpoint>(control, "--control");
    std::string path = call, body;
    for (const std::string &word : words)
        body += (body.empty() ? "" : " ") + word;
    const bool reads = call == "list" || call == "here" || call == "where";
    if (call == "where")
        path += "/" + body, body.clear();
    const std::string text =
        fmt::format("{} /admin/cells/{} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{}",
                    reads ? "GET" : "POST", path, control, body.size(), body);
    asio::io_context io(1);
    core::Clock clock;
    core::Deadlines deadlines(io, clock);
    int code = 2;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            tcp::socket socket(io);
            const Micros until = clock.now() + 3'000'000;
            const auto error = co_await net::dial(socket, at, until, deadlines);
            std::optional<net::http::Response> response;
            if (!error)
                response = co_await net::http::exchange(socket, text, until, deadlines);
            if (response)
                fmt::print("{}", response->body);
            if (response)
                code = response->status == 200 ? 0 : 1;
            else
                fmt::print(stderr, "{} does not answer\n", control);
        },
        asio::detached);
    io.run();
    return code;
}

} // namespace marblewood::app
