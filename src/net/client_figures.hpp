/// \file
/// Close reasons and counters of client connections, for the log and the metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace marblewood::net {

/// Why a client connection ended or the broker began to close it. The first cause is recorded.
enum class CloseReason : std::size_t {
    ClientDisconnected, ///< the client closed or reset the connection
    SilentClient,       ///< a new client sent no request in time
    Idle,               ///< no new request within the idle timeout
    TooManyIdle,        ///< the longest idle one when too many connections were kept
    Evicted,            ///< closed to make room for a new connection
    Incomplete,         ///< a partial message was not completed in time, or memory was exhausted
    ProtocolError,      ///< the input could not be parsed
    Quit,               ///< the client sent QUIT
    NotReading,         ///< the client did not read its answers in time
    BrokenValue,        ///< a node broke off a value that was being streamed
    KeepAlive,          ///< an NVMe host sent nothing within its keep-alive timeout
    HandedOver,         ///< handed over to the successor process
    Quiesce,            ///< an operator quiesced the broker
    Shutdown,           ///< the process shuts down
    Failure,            ///< an exception while serving the client
};
inline constexpr std::array<std::string_view, 15> kCloseReasonNames{
    "client_left", "silent",      "idle",    "too_many_idle", "evicted",
    "incomplete",  "malformed",   "quit",    "not_reading",   "broken_value",
    "keep_alive",  "handed_over", "quiesce", "shutdown",      "failure"};

constexpr std::string_view name(CloseReason reason) {
    return kCloseReasonNames[static_cast<std::size_t>(reason)];
}

/// Counters of client connections of all front ends since the start of the process.
struct ClientFigures {
    std::uint64_t accepted = 0; ///< accepted from the listening sockets or inherited from a parent process
    std::array<std::uint64_t, kCloseReasonNames.size()> closed{};
    std::uint64_t closed_unread = 0; ///< closed by the broker with unparsed input from the client
    /// Closed by the broker with written bytes that the client's side had not acknowledged.
    std::uint64_t closed_undelivered = 0;
    /// Closed by the broker with open requests, whose clients get no whole answer.
    std::uint64_t closed_unanswered = 0;

    std::uint64_t &of(CloseReason reason) { return closed[static_cast<std::size_t>(reason)]; }
};

} // namespace marblewood::net
