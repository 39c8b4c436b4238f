/// \file
/// What a Scheduler asks its caller to do: each action is one alternative of marblewood::Action.
#pragma once

#include "marblewood/types.hpp"

#include <optional>
#include <string>
#include <variant>

namespace marblewood {

/// Start an attempt. The attempts of a request are numbered 0, 1, 2, ... in the order of their Sends.
struct Send {
    RequestId id{};
    NodeId node{};
    Micros expires = 0; ///< the attempt is given up at this time
    Micros start_by =
        0; ///< must not be written later, when the node may no longer drop duplicates; 0: no bound
};

/// Final: nothing ran, or running it again is harmless. The client may retry.
struct Refuse {
    RequestId id{};
    Micros retry_after = 0;
};

/// Final: the request may or may not have run.
struct Fail {
    RequestId id{};
};

struct Cancel {
    RequestId id{};
    int attempt = 0;
};

/// Send a health check.
struct Probe {
    NodeId node{};
};

/// Close the connections to a node that are idle. No rule asks for it at present.
struct CloseIdle {
    NodeId node{};
};

/// Call handle() with TimerDue after `delay`.
struct SetTimer {
    std::uint64_t token = 0;
    Micros delay = 0;
};

struct SendPeerMessage {
    std::optional<int> peer; ///< index of the receiving host; empty: all
    std::string data;
};

struct Log {
    std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, Probe, CloseIdle, SetTimer, SendPeerMessage, Log>;

} // namespace marblewood
