/// \file
/// The concurrency limit AM-C: the most requests that one host keeps in flight at a node (Malrait, eq. 6.1).
#pragma once

#include "marblewood/events.hpp"
#include "policy/latency_average.hpp"

#include <algorithm>

namespace marblewood::policy {

/// The concurrency limit of one node.
///
/// Rule: limit = in flight / (1 + gain x (mean latency ratio - target)), clamped between a floor and a
/// ceiling. The limit falls for a node that answers more slowly than the latency objective, and rises for one
/// that answers faster. An overdue attempt, which is older than its latency objective, does not count as in
/// flight; instead its age counts as one more sample of the mean.
///
/// Inputs: latency ratios (latency / latency objective, dimensionless) of answers and of attempts in flight.
/// Output: a number of requests.
class ConcurrencyLimit {
public:
    /// A node with a lower mean latency ratio than this answers quickly: its queue is not full, and an
    /// attempt that is long overdue at it is an exception.
    static constexpr double kQuickRatio = 0.3;

    double value() const { return limit_; }
    const LatencyAverage &latency() const { return latency_; }

    /// Adds the latency ratio that a load report predicts, as if it were that of an answer.
    void add_expected(double ratio, Micros now) { latency_.add(ratio, now); }

    /// Updates the average with the outcome of an attempt that took `ratio` latency objectives.
    void record_outcome(Status status, double ratio, Micros now);

    /// Recomputes the limit. `age_of` returns the age of an attempt, as a multiple of its latency objective.
    template <typename Attempts, typename AgeOf>
    void update(const Attempts &in_flight, const AgeOf &age_of, Micros now) {
        LatencyAverage::State samples = latency_.decayed_to(now);
        auto on_time = static_cast<double>(in_flight.size());
        for (const auto &attempt : in_flight) {
            const double age = age_of(attempt);
            if (age <= 1)
                continue;
            samples.sum += age;
            samples.weight += 1;
            on_time -= 1;
        }
        const double mean = samples.weight > 0 ? samples.sum / samples.weight : kTargetLatencyRatio;
        limit_ =
            std::clamp(std::max(on_time, 1.0) / (1 + kGain * (mean - kTargetLatencyRatio)), kFloor, kCeiling);
    }

    /// Takes over the latency average of a predecessor process. The caller must call update() afterwards.
    void restore(const LatencyAverage::State &state) { latency_.restore(state); }

    static constexpr double kFloor = 1;   ///< requests; enough to keep receiving latency samples
    static constexpr double kCeiling = 2; ///< requests; one host's part of the queue of a node
    static constexpr double kInitial = 2; ///< requests; the limit before the first answer

private:
    // Less than 1 / kTargetLatencyRatio, so that the divisor in update() stays positive.
    static constexpr double kGain = 0.8;
    static constexpr double kRejectedRatio = 1.5; // lowest ratio that a rejection counts as

    LatencyAverage latency_;
    double limit_ = kInitial;
};

} // namespace marblewood::policy
