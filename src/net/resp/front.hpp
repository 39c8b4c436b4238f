// The platform's front: RESP2 to clients. A connection's commands are worked in parallel and answered in
// their order.
#pragma once

#include "core/request_dispatcher.hpp"
#include "net/clients.hpp"
#include "net/resp/parser.hpp"

#include <unordered_set>

namespace marblewood::net::resp {

using OpenIds = std::unordered_set<std::string>; // of requests taken and not yet answered, of all clients

asio::awaitable<void> serve(Client &client, core::FrontEndServices services, OpenIds &open);

// What a command asks. Throws Malformed, which says what is wrong.
core::Request read_request(Value &&command, const Settings &settings);

} // namespace marblewood::net::resp
