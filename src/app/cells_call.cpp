/// \file
/// The sub-command `cells`: sends one operator call over HTTP.
#include "app/app.hpp"

#include "core/clock.hpp"
#include "core/deadlines.hpp"
#include "net/clients.hpp"
#include "net/http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace marblewood::app {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Micros kCallTimeout = 3'000'000;
constexpr int kHttpOk = 200;
enum ExitCode { Done = 0, Rejected = 1, NoAnswer = 2 };

std::string join(const std::vector<std::string> &arguments) {
    std::string joined;
    for (const std::string &argument : arguments)
        joined += (joined.empty() ? "" : " ") + argument;
    return joined;
}

std::string http_request(const std::string &host, const std::string &call,
                         const std::vector<std::string> &arguments) {
    const bool read_only = call == "list" || call == "here" || call == "where";
    std::string path = call;
    std::string body = join(arguments);
    if (call == "where") {
        path += "/" + body;
        body.clear();
    }
    return fmt::format("{} /admin/cells/{} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{}",
                       read_only ? "GET" : "POST", path, host, body.size(), body);
}

asio::awaitable<std::optional<net::http::Response>> exchange(asio::io_context &io, core::Deadlines &deadlines,
                                                             tcp::endpoint address, std::string request) {
    tcp::socket socket(io);
    const Micros deadline = deadlines.clock.now() + kCallTimeout;
    if (co_await net::dial(socket, address, deadline, deadlines))
        co_return std::nullopt;
    co_return co_await net::http::exchange(socket, request, deadline, deadlines);
}

} // namespace

int call_cells(const std::string &admin_address, const std::string &call,
               const std::vector<std::string> &arguments) {
    const auto endpoint = address<tcp::endpoint>(admin_address, "--control");
    asio::io_context io(1);
    core::Clock clock;
    core::Deadlines deadlines(io, clock);
    std::optional<net::http::Response> response;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            response =
                co_await exchange(io, deadlines, endpoint, http_request(admin_address, call, arguments));
        },
        asio::detached);
    io.run();
    if (!response) {
        fmt::print(stderr, "{} does not answer\n", admin_address);
        return ExitCode::NoAnswer;
    }
    fmt::print("{}", response->body);
    return response->status == kHttpOk ? ExitCode::Done : ExitCode::Rejected;
}

} // namespace marblewood::app
