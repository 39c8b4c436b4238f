// The platform's front: RESP2 to clients. A connection's commands are worked in parallel and answered in
// their order.
#pragma once

#include "core/planner.hpp"
#include "net/clients.hpp"
#include "net/resp/parser.hpp"

namespace marblewood::net::resp {

asio::awaitable<void> serve(Client &client, core::Desk desk);

// What a command asks. Throws Malformed, which says what is wrong.
core::Request read_request(Value &&command, const Settings &settings);

} // namespace marblewood::net::resp
