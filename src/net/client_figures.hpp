// Why clients' connections end, and how many did, for the log and the figures.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace marblewood::net {

/// What ended a client's connection, or had the broker begin to end it. The first cause counts.
enum class CloseReason : std::size_t {
    ClientDisconnected, ///< the client closed, reset, or was found gone
    SilentClient,       ///< a new client asked for nothing in time
    Idle,               ///< a client that has asked before was silent for too long
    TooManyIdle,        ///< it was unused the longest when too many clients stayed
    Evicted,            ///< closed to make room for a new connection
    Incomplete,         ///< a message that had begun did not come whole in time, or found no room in memory
    ProtocolError,      ///< what came could not be read
    Quit,               ///< the client asked for the end
    NotReading,         ///< the client did not read its answers
    BrokenValue,        ///< a long value broke off at its node
    KeepAlive,          ///< an NVMe host sent no keep-alive
    HandedOver,         ///< it goes on in the successor process
    Quiesce,            ///< operators send clients away
    Shutdown,           ///< the process ends
    Failure,            ///< an exception in serving it
};
inline constexpr std::array<std::string_view, 15> kCloseReasonNames{
    "client_left", "silent",      "idle",    "too_many_idle", "evicted",
    "incomplete",  "malformed",   "quit",    "not_reading",   "broken_value",
    "keep_alive",  "handed_over", "quiesce", "shutdown",      "failure"};

constexpr std::string_view name(CloseReason reason) {
    return kCloseReasonNames[static_cast<std::size_t>(reason)];
}

/// Clients' connections over all fronts: counts since the start of the process.
struct ClientFigures {
    std::uint64_t accepted = 0; ///< taken from the listening sockets or from a predecessor
    std::array<std::uint64_t, kCloseReasonNames.size()> closed{};
    std::uint64_t closed_unread = 0; ///< shut down by the broker over bytes that it had not taken

    std::uint64_t &of(CloseReason reason) { return closed[static_cast<std::size_t>(reason)]; }
};

} // namespace marblewood::net
