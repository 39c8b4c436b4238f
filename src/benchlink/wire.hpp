// The vocabulary of the bench's wire, in one place.
#pragma once

#include "config/decode.hpp"

namespace marblewood::benchlink::wire {

inline constexpr auto kTag = "t", kInstance = "scheduler_id", kClock = "clock";
inline constexpr auto kBatch = "Sync", kBatchEnd = "YourTurn", kReplyEnd = "Ready";

// Events.
inline constexpr auto kRoster = "Roster", kBoot = "Boot", kStop = "CrashNow", kUpdate = "Update";
inline constexpr auto kRequest = "WorkItem", kOutcome = "Verdict", kFirst = "Flowing", kLeft = "Left";
inline constexpr auto kTimer = "Timer", kProbed = "ProbeResult", kPeer = "Inbox";

// Actions.
inline constexpr auto kSend = "CallOut", kRefuse = "Decline", kFail = "RespondError", kCancel = "Abandon";
inline constexpr auto kProbe = "Touch", kClose = "HangUp", kSetTimer = "WakeMe", kWatch = "StreamChanges";
inline constexpr auto kTell = "Say", kLog = "Record", kFault = "GiveIn";

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
inline constexpr auto kFailed = "FAILED"; // a form that bears no list: a call failed, or the watch ended
inline constexpr Words<ListUpdate::Kind, 3> kForm{{{"INCREMENTAL", ListUpdate::Kind::Changes},
                                                   {"FULL", ListUpdate::Kind::Full},
                                                   {"SAVED", ListUpdate::Kind::Saved}}};

} // namespace marblewood::benchlink::wire
