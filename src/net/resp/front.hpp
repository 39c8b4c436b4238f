/// \file
/// The RESP2 front end. The commands of one connection are executed in parallel and answered in the order in
/// which they were sent.
#pragma once

#include "core/request_dispatcher.hpp"
#include "net/clients.hpp"
#include "net/input_turns.hpp"
#include "net/resp/parser.hpp"
#include "net/resp/request_ids.hpp"

namespace marblewood::net::resp {

/// Serves a client until its connection has ended.
asio::awaitable<void> serve(Client &client, core::FrontEndServices services, InputTurns &turns,
                            RequestIds &ids);

/// Parses an OBJ.GET or OBJ.PUT command. Throws Malformed with the reason if it is invalid.
core::Request read_request(Value &&command, const Settings &settings);

} // namespace marblewood::net::resp
