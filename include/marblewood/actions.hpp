/// \file
/// The actions that a Scheduler asks its caller to carry out. Each is one alternative of marblewood::Action.
#pragma once

#include "marblewood/types.hpp"

#include <optional>
#include <string>
#include <variant>

namespace marblewood {

/// Start an attempt of a request at a node. The attempts of a request are numbered 0, 1, 2, ... in the order
/// of their Send actions.
struct Send {
    RequestId id{};
    NodeId node{};
    Micros expires = 0; ///< time at which the attempt times out
    /// The request must not be written to the node after this time, because the node may then no longer
    /// recognise its idempotency key and would run it twice. 0: no bound.
    Micros start_by = 0;
};

/// Final answer: the request did not run, or running it again is harmless. The client may retry it.
struct Refuse {
    RequestId id{};
    Micros retry_after = 0; ///< how long the client should wait before it retries; 0: not stated
};

/// Final answer: the request may or may not have run, and running it again may not be safe.
struct Fail {
    RequestId id{};
};

/// Cancel an attempt in flight.
struct Cancel {
    RequestId id{};
    int attempt = 0;
};

/// Send a health check to a node; ProbeEnded reports its result.
struct Probe {
    NodeId node{};
};

/// Close the idle connections to a node. The Scheduler does not use this action at present.
struct CloseIdle {
    NodeId node{};
};

/// Call handle() with a TimerDue event that carries `token` after `delay`.
struct SetTimer {
    std::uint64_t token = 0;
    Micros delay = 0;
};

/// Send a message to another host.
struct SendPeerMessage {
    std::optional<int> peer; ///< index of the receiving host; empty: all hosts
    std::string data;
};

/// Write a line to the log.
struct Log {
    std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdle, SetTimer, SendPeerMessage, Log>;

} // namespace marblewood
