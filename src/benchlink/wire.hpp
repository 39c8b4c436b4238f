/// \file
/// The message and field names of the simulator's protocol.
#pragma once

#include "config/decode.hpp"

namespace marblewood::benchlink::wire {

inline constexpr auto kTag = "t", kInstance = "scheduler_id", kClock = "clock";
inline constexpr auto kBatch = "Sync", kBatchEnd = "YourTurn", kReplyEnd = "Ready";

// Events.
inline constexpr auto kEndpointList = "Roster", kStart = "Boot", kStop = "CrashNow", kListUpdate = "Update";
inline constexpr auto kRequest = "WorkItem", kAttemptEnded = "Verdict", kStreamStarted = "Flowing",
                      kClientDisconnected = "Left";
inline constexpr auto kTimer = "Timer", kProbeEnded = "ProbeResult", kPeerMessage = "Inbox";

// Actions.
inline constexpr auto kSend = "CallOut", kRefuse = "Decline", kFail = "RespondError", kCancel = "Abandon";
inline constexpr auto kProbe = "Touch", kCloseIdle = "HangUp", kSetTimer = "WakeMe",
                      kWatchList = "StreamChanges";
inline constexpr auto kSendPeerMessage = "Say", kLog = "Record", kFault = "GiveIn";

using config::Words;

inline constexpr Words<Status, 8> kStatus{{{"GOOD", Status::Ok},
                                           {"BAD", Status::Error},
                                           {"FULL", Status::Rejected},
                                           {"LATE", Status::Timeout},
                                           {"NOCONN", Status::ConnectFailed},
                                           {"RST", Status::Reset},
                                           {"CXL", Status::Cancelled},
                                           {"NOP", Status::Superseded}}};
inline constexpr config::EntryWords kEntry{
    "server",
    "site",
    "cluster",
    "condition",
    "boot_time",
    {{{"Ready", NodeState::Ready}, {"Terminating", NodeState::Draining}, {"Gone", NodeState::Gone}}}};
/// The form of a list update without a list: a call failed, or the watch ended.
inline constexpr auto kListFailed = "FAILED";
inline constexpr Words<ListUpdate::Kind, 3> kListKind{{{"INCREMENTAL", ListUpdate::Kind::Changes},
                                                       {"FULL", ListUpdate::Kind::Full},
                                                       {"SAVED", ListUpdate::Kind::Saved}}};

} // namespace marblewood::benchlink::wire
