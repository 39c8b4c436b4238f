/// \file
/// A bounded HTTP/1.1 parser: responses for the clients of discovery and telemetry, which have one exchange
/// at a time on a connection, and requests for the control address.
#pragma once

#include "net/sockets.hpp"

#include <optional>
#include <string>

namespace marblewood::net::http {

struct Response {
    int status = 0;
    std::string body;
    bool keep = true;                       ///< the connection may carry a further exchange
    std::optional<std::string> retry_after; ///< the value of the Retry-After header, as received
    std::size_t wire_bytes = 0;             ///< the response's length on the connection
};

struct Request {
    std::string method, target, body;
    std::size_t wire_bytes = 0; ///< the request's length in the input
};
/// Parses the request at the front of `in`, which stays unchanged. Empty while the request is incomplete.
/// Throws std::runtime_error if it is malformed or too large.
std::optional<Request> read_request(const std::string &in);

/// Parses the response at the front of `in` and removes it. Empty while the response is incomplete. Throws
/// std::runtime_error if it is malformed or too large. `ended`: the peer has closed the connection.
std::optional<Response> take(std::string &in, bool ended);

/// Waits for the response until `until` (Unix time). `in` holds what has been received of it, before and
/// after the call. Empty on any failure, after which the connection is closed.
asio::awaitable<std::optional<Response>> receive_response(tcp::socket &socket, std::string &in, Micros until,
                                                          core::Deadlines &deadlines);
/// Sends a request and waits for the response until `until` (Unix time). Empty on any failure, after which
/// the connection is closed.
asio::awaitable<std::optional<Response>> exchange(tcp::socket &socket, std::string request, Micros until,
                                                  core::Deadlines &deadlines);

} // namespace marblewood::net::http
