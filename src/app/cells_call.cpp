/// \file
/// The sub-command `cells`: one operator's call over HTTP.
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

constexpr Micros kCallTimeout = 3'000'000; // us
constexpr int kOkStatus = 200;
enum ExitCode { Done = 0, Refused = 1, NoReply = 2 };

std::string join(const std::vector<std::string> &words) {
    std::string joined;
    for (const std::string &word : words)
        joined += (joined.empty() ? "" : " ") + word;
    return joined;
}

std::string http_request(const std::string &control, const std::string &call,
                         const std::vector<std::string> &words) {
    const bool reads = call == "list" || call == "here" || call == "where";
    std::string path = call;
    std::string body = join(words);
    if (call == "where") {
        path += "/" + body;
        body.clear();
    }
    return fmt::format("{} /admin/cells/{} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{}",
                       reads ? "GET" : "POST", path, control, body.size(), body);
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

int call_cells(const std::string &control, const std::string &call, const std::vector<std::string> &words) {
    const auto control_address = address<tcp::endpoint>(control, "--control");
    asio::io_context io(1);
    core::Clock clock;
    core::Deadlines deadlines(io, clock);
    std::optional<net::http::Response> response;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
            response = co_await exchange(io, deadlines, control_address, http_request(control, call, words));
        },
        asio::detached);
    io.run();
    if (!response) {
        fmt::print(stderr, "{} does not answer\n", control);
        return ExitCode::NoReply;
    }
    fmt::print("{}", response->body);
    return response->status == kOkStatus ? ExitCode::Done : ExitCode::Refused;
}

} // namespace marblewood::app
