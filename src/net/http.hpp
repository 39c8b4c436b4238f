// A small HTTP/1.1 client: one exchange at a time on one connection. Parsed by hand, bounded, for discovery
// and telemetry.
#pragma once

#include "net/sockets.hpp"

#include <optional>
#include <string>

namespace marblewood::net::http {

struct Response {
    int status = 0;
    std::string body;
    bool keep = true;                       // the connection may carry a further exchange
    std::optional<std::string> retry_after; // the header's text
};

// Reads one response off the front of `in`, taking it out. Empty while it is not whole. Throws
// std::runtime_error where it is malformed or too large. `ended`: the peer has closed.
std::optional<Response> take(std::string &in, bool ended);

// Sends a request and awaits the response until the time given; empty on any failure, after which the
// connection is closed.
asio::awaitable<std::optional<Response>> exchange(tcp::socket &socket, std::string request, Micros until,
                                                  core::Deadlines &deadlines);

} // namespace marblewood::net::http
