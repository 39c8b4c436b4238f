/// \file
/// The points in time of a graceful shutdown.
#pragma once

#include "marblewood/settings.hpp"

#include <algorithm>
#include <vector>

namespace marblewood::app {

/// What the broker guarantees to clients between SIGTERM and its exit. All times are Unix time.
///
/// - Until `close_connections_at` the broker serves as before.
/// - From then on it closes each client connection between two requests. New connections are still accepted,
///   since a client may reconnect at once after its connection was closed.
/// - At `answer_all_at` every open request is answered: refused if no node can have executed it or a retry is
///   harmless, failed otherwise. Connections in the accept queue are still accepted; then listening stops.
/// - By `exit_at` every accepted request has been answered. No timer enforces this: the process exits as
///   soon as all connections are closed and nothing is queued for sending to a successor.
struct ShutdownSchedule {
    /// After SIGTERM, the platform waits at least for the longest client deadline, capped at kMaxDeadline,
    /// plus kKillGrace before it kills the process.
    static constexpr Micros kMaxDeadline = 3'000'000;
    static constexpr Micros kKillGrace = 700'000;
    /// Time between `exit_at` and the earliest time at which the platform kills the process.
    static constexpr Micros kSafetyMargin = 150'000;
    /// Time from `close_connections_at` to `exit_at`.
    static constexpr Micros kClosingSpan = 400'000;
    /// Time from `answer_all_at` to `exit_at`.
    static constexpr Micros kFinalAnswersSpan = 200'000;

    Micros close_connections_at = 0;
    Micros answer_all_at = 0;
    Micros exit_at = 0;

    /// The schedule for a shutdown that begins at `now`.
    static ShutdownSchedule starting_at(Micros now, const std::vector<ClassSettings> &classes) {
        Micros longest_deadline = 0;
        for (const ClassSettings &settings : classes)
            longest_deadline = std::max(longest_deadline, settings.deadline);
        const Micros killed_at = now + std::min(longest_deadline, kMaxDeadline) + kKillGrace;
        const Micros exit_at = killed_at - kSafetyMargin;
        return {exit_at - kClosingSpan, exit_at - kFinalAnswersSpan, exit_at};
    }
};

} // namespace marblewood::app
