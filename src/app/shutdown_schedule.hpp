/// \file
/// The instants of a graceful shutdown.
#pragma once

#include "marblewood/settings.hpp"

#include <algorithm>
#include <vector>

namespace marblewood::app {

/// What is owed to clients from SIGTERM to the exit. All times are Unix time in us.
///
/// - Until `close_connections_at` the broker serves as before.
/// - From then on each client connection is closed between two requests. New connections are still
///   accepted, since a client whose connection was closed may come again at once.
/// - At `answer_all_at` every open request is answered: refused if nothing can have run or a retry is
///   harmless, else failed. What waits in the accept queue is still accepted; then listening stops.
/// - By `exit_at` every accepted request has its answer. No timer enforces it: the process exits as soon as
///   all connections are closed and nothing waits to be sent to a successor.
struct ShutdownSchedule {
    /// The platform kills the process no sooner after SIGTERM than the longest client deadline, counted as
    /// kLongestDeadline at the most, and kKillGrace beyond that.
    static constexpr Micros kLongestDeadline = 3'000'000;
    static constexpr Micros kKillGrace = 700'000;
    /// `exit_at` is this long before that.
    static constexpr Micros kSafetyMargin = 150'000;
    /// From `close_connections_at` to `exit_at`.
    static constexpr Micros kClosingSpan = 400'000;
    /// From `answer_all_at` to `exit_at`.
    static constexpr Micros kFinalAnswersSpan = 200'000;

    Micros close_connections_at = 0;
    Micros answer_all_at = 0;
    Micros exit_at = 0;

    /// The schedule of a shutdown that begins at `now`.
    static ShutdownSchedule starting_at(Micros now, const std::vector<ClassSettings> &classes) {
        Micros longest_deadline = 0;
        for (const ClassSettings &one : classes)
            longest_deadline = std::max(longest_deadline, one.deadline);
        const Micros killed_at = now + std::min(longest_deadline, kLongestDeadline) + kKillGrace;
        const Micros exit_at = killed_at - kSafetyMargin;
        return {exit_at - kClosingSpan, exit_at - kFinalAnswersSpan, exit_at};
    }
};

} // namespace marblewood::app
