// HTTP/1.1, parsed by hand and bounded: a client that has one exchange at a time on a connection, for
// discovery and telemetry, and the requests that the control address takes.
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
    std::size_t wire_bytes = 0;             // that it took up on the connection
};

struct Request {
    std::string method, target, body;
    std::size_t wire_bytes = 0; // that it takes up at the front of what was read
};
// Reads a request off the front of `in`, which it leaves as it is. Empty while it is not whole. Throws
// std::runtime_error where it is malformed or too large.
std::optional<Request> read_request(const std::string &in);

// Reads one response off the front of `in`, taking it out. Empty while it is not whole. Throws
// std::runtime_error where it is malformed or too large. `ended`: the peer has closed.
std::optional<Response> take(std::string &in, bool ended);

// Sends a request and awaits the response until the time given; empty on any failure, after which the
// connection is closed.
asio::awaitable<std::optional<Response>> exchange(tcp::socket &socket, std::string request, Micros until,
                                                  core::Deadlines &deadlines);

} // namespace marblewood::net::http
