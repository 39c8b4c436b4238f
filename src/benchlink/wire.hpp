// The vocabulary of the bench's wire, in one place.
#pragma once

#include "marblewood/scheduler.hpp"

#include <array>
#include <string_view>
#include <utility>

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
inline constexpr auto kFetch = "Fetch", kTell = "Say", kLog = "Record", kFault = "GiveIn";

template <typename T, std::size_t N> using Words = std::array<std::pair<std::string_view, T>, N>;

inline constexpr Words<Status, 8> kStatus{{{"GOOD", Status::Ok},
                                           {"BAD", Status::Error},
                                           {"FULL", Status::Full},
                                           {"LATE", Status::Timeout},
                                           {"NOCONN", Status::ConnectFailed},
                                           {"RST", Status::Reset},
                                           {"CXL", Status::Cancelled},
                                           {"NOP", Status::Moot}}};
inline constexpr Words<NodeState, 3> kState{
    {{"Ready", NodeState::Ready}, {"Terminating", NodeState::Draining}, {"Gone", NodeState::Gone}}};
inline constexpr Words<ListUpdate::Kind, 4> kForm{{{"INCREMENTAL", ListUpdate::Kind::Changes},
                                                   {"FULL", ListUpdate::Kind::Full},
                                                   {"SAVED", ListUpdate::Kind::Saved},
                                                   {"FAILED", ListUpdate::Kind::Failed}}};
inline constexpr Words<Effect, 3> kEffect{
    {{"idempotent", Effect::Safe}, {"deduplicated", Effect::Keyed}, {"at_most_once", Effect::Unsafe}}};
inline constexpr Words<Group, 3> kGroup{{{"all", Group::All}, {"zone", Group::Zone}, {"cell", Group::Cell}}};
inline constexpr Words<bool, 2> kMembership{{{"pushed", false}, {"on_request", true}}};

} // namespace marblewood::benchlink::wire
